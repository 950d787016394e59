package amrdirect

import (
	"context"
	"sync"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrsuspect"
)

// strikeWriter keeps strikes of requests that crash backend servers in the shared table,
// where routers that start find them.
type strikeWriter struct {
	router    *Router
	rows      *strikeRows // Used by write only, as nextWrite is.
	nextWrite time.Time   // Time from which rows that are not urgent are written.
	writer    *rowWriter

	mu    sync.Mutex
	known map[amrsuspect.Fingerprint]time.Time // Last strikes in the rows that were applied.
}

func newStrikeWriter(r *Router) *strikeWriter {
	return &strikeWriter{
		router: r, rows: newStrikeRows(r.settings.Host), known: make(map[amrsuspect.Fingerprint]time.Time),
		writer: newRowWriter(r, "strikes", "amr_strike_rows_total", "Writes of rows with strikes of requests that crash backend servers by result."),
	}
}

// write writes the rows that are due.
func (w *strikeWriter) write(ctx context.Context) {
	r := w.router
	now := r.clock.Now()
	strikes := r.forward.RepeatedStrikes(now)
	if len(strikes) == 0 && w.isIdle() || !r.sharedApplied.Load() {
		return
	}
	table := r.copies.Followers[tableShared].Copy()
	txn := w.rows.txn(strikeState{now: now, tableNow: table.TableNow(now), rows: table.Rows(), strikes: strikes, urgentOnly: now.Before(w.nextWrite)})
	if w.writer.write(ctx, txn) {
		w.nextWrite = now.Add(rowWriteInterval)
		w.rows.recordWrite(now, txn)
	}
}

// isIdle reports whether there are no rows and there is nothing to remember of former ones.
func (w *strikeWriter) isIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.known) == 0 && len(w.rows.turns.seen) == 0
}

// applyShared applies changed rows of the shared table. A row that is missing after the table
// was restored from an older copy does not clear the strikes, but is written again.
func (w *strikeWriter) applyShared(u amrfollow.Update) {
	now := w.router.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range u.Rows {
		fingerprint, ok := fingerprintOfRow(row.Key)
		if !ok {
			continue
		}
		if row.Deleted {
			w.remove(now, fingerprint, u.Restored)
			continue
		}
		strikes, ok := decodeStrikes(row, now, u.Now)
		w.known[fingerprint] = strikes.Last()
		if !ok {
			w.router.log.Warn("cannot decode the strikes of a request; ignoring them", "row", row.Key)
			continue
		}
		if w.router.forward.ApplyStoredStrikes(now, strikes) {
			w.router.log.Info("strikes of a request, as the shared table tells", "fingerprint", fingerprint, "strikes", len(strikes.Strikes), "age", now.Sub(strikes.Last()))
		}
	}
}

// remove applies the deletion of the row of a request: the strikes in it no longer count. The
// caller must hold mu.
func (w *strikeWriter) remove(now time.Time, fingerprint amrsuspect.Fingerprint, restored bool) {
	last, ok := w.known[fingerprint]
	delete(w.known, fingerprint)
	if !ok || restored {
		return
	}
	until := last.Add(strikeTolerance)
	if until.After(now) {
		until = now
	}
	w.router.forward.ClearStoredStrikes(fingerprint, until)
}
