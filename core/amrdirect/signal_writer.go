package amrdirect

import (
	"context"
	"strings"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrpool"
)

// signalWriter keeps the signals of backend servers in the shared table, where routers that
// start find them.
type signalWriter struct {
	router *Router
	rows   *signalRows // Used by write only.
	writer *rowWriter
}

func newSignalWriter(r *Router) *signalWriter {
	return &signalWriter{
		router: r, rows: newSignalRows(r.settings.Host),
		writer: newRowWriter(r, "signals", "amr_signal_rows_total", "Writes of rows with signals of backend servers (limits, leaving) by result."),
	}
}

// write writes the rows that are due.
func (w *signalWriter) write(ctx context.Context) {
	r := w.router
	if !r.sharedApplied.Load() {
		return
	}
	now, table := r.clock.Now(), r.copies.Followers[tableShared].Copy()
	w.writer.write(ctx, w.rows.txn(signalState{now: now, tableNow: table.TableNow(now), rows: table.Rows(), servers: r.fleet.StoredSignals(now)}))
}

// applyShared applies changed rows of the shared table.
func (w *signalWriter) applyShared(u amrfollow.Update) {
	r := w.router
	now := r.clock.Now()
	for _, row := range u.Rows {
		server, ok := strings.CutPrefix(row.Key, signalPrefix)
		if !ok || row.Deleted {
			continue
		}
		stored, ok := decodeSignals(row)
		if !ok {
			r.log.Warn("cannot decode the signals of a backend server; ignoring them", "row", row.Key)
			continue
		}
		started := time.UnixMilli(stored.StartedMS)
		if stored.Leaving && r.fleet.ApplyLeaving(amrpool.LeavingServer{Server: amrpool.IDOf(server), Started: started}) {
			r.log.Info("backend server is leaving, as the shared table tells", "server", server, "started", started.UTC())
		}
		at := now.Add(-max(0, u.Now-stored.at()))
		notice := amrpool.LimitNotice{Server: amrpool.IDOf(server), Started: started, PerSecond: stored.PerSecond, SentAt: at, ReceivedAt: at}
		if stored.PerSecond > 0 && r.fleet.ApplyStoredLimit(now, notice) {
			r.log.Info("limit of a backend server, as the shared table tells", "server", server, "requests-per-second", stored.PerSecond, "age", now.Sub(at))
		}
	}
}
