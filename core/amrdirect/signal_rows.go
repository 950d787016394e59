package amrdirect

import (
	"encoding/json"
	"math"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
)

const (
	// signalPrefix is the prefix of the keys of the shared rows with the signals of backend
	// servers. The name of the server follows.
	signalPrefix = "server-signals/"

	// limitTolerance is the fraction by which the limit in a row may differ from the current
	// one, so that a limit that varies is not written all the time.
	limitTolerance = 0.1

	// leavingDelay is the time for which the list may say that a server is ready which has
	// said that it is leaving. The entry follows within it unless the server cannot write it.
	leavingDelay = time.Second

	// unlistedSignalTime is the time for which a row stays after its server has left the
	// list. A server may be missing there for seconds after the store was away.
	unlistedSignalTime = time.Minute
)

// signalRow is the value of the row with the signals of a backend server.
type signalRow struct {
	StartedMS int64   `json:"started-ms"` // Start of the incarnation by the list.
	PerSecond float64 `json:"requests-per-second,omitempty"`
	AtMS      int64   `json:"at-ms"` // Time of the statement of the limit by the clock of the shared table.
	Leaving   bool    `json:"leaving,omitempty"`
}

// signalRows decides which rows with signals of servers this router writes: those that
// differ from what the servers have said and that it is the turn of this router to write. It
// does no I/O and is not safe for concurrent use. Create it with newSignalRows.
type signalRows struct {
	turns *rowTurns // By server.
}

func newSignalRows(host string) *signalRows {
	return &signalRows{turns: newRowTurns(host)}
}

// signalState is what signalRows decides on.
type signalState struct {
	now      time.Time
	tableNow time.Duration           // Reading of the shared table's clock.
	rows     []amrfollow.Row         // Rows of the shared table.
	servers  []amrpool.StoredSignals // All listed servers.
}

// txn returns the transaction with the writes that are due, which is empty if there are none.
// It has no effect if another router has changed a row meanwhile.
func (s *signalRows) txn(state signalState) amrplatform.Txn {
	rows, hosts := splitRows(state.rows, signalPrefix)
	var txn amrplatform.Txn
	for _, server := range state.servers {
		name, row := server.Server, rows[server.Server]
		delete(rows, name)
		put, remove, delay := compareSignals(state, server, row)
		if !s.turns.mayWrite(state.now, rowChange{name: name, version: row.Version, outdated: put || remove, delay: delay}, hosts) || len(txn.Checks) >= maxRowWrites {
			continue
		}
		txn.Checks = append(txn.Checks, amrplatform.Check{Key: signalPrefix + name, Version: row.Version})
		if put {
			txn.Puts = append(txn.Puts, amrplatform.Put{Key: signalPrefix + name, Value: encodeSignals(state, server)})
		} else {
			txn.Deletes = append(txn.Deletes, signalPrefix+name)
		}
	}
	for name, row := range rows { // Their servers are not listed.
		if s.turns.mayWrite(state.now, rowChange{name: name, version: row.Version, outdated: true, delay: unlistedSignalTime}, hosts) && len(txn.Checks) < maxRowWrites {
			txn.Checks = append(txn.Checks, amrplatform.Check{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	return txn
}

// compareSignals reports whether the row of the server must be written or removed, and the
// delay after which. A row that tells of a later statement than this router has received
// stays.
func compareSignals(state signalState, server amrpool.StoredSignals, row amrfollow.Row) (put, remove bool, delay time.Duration) {
	if !server.Kept {
		return false, false, 0
	}
	stored, ok := decodeSignals(row)
	limited := server.PerSecond > 0
	delay = leavingDelay
	if limited {
		delay = 0
	}
	needed := limited || server.Leaving
	switch {
	case !ok:
		return needed, row.Key != "" && !needed, delay
	case stored.StartedMS > server.Started.UnixMilli(): // The list of this router is older than the row.
		return false, false, 0
	case stored.StartedMS < server.Started.UnixMilli():
		return needed, !needed, delay
	}
	later := !server.ReceivedAt.IsZero() && state.tableNow-state.now.Sub(server.ReceivedAt) > stored.at()
	limitDiffers := later && math.Abs(server.PerSecond-stored.PerSecond) > limitTolerance*stored.PerSecond
	switch {
	case !needed && (later || stored.PerSecond == 0):
		return false, true, 0
	case limitDiffers:
		return true, false, 0
	case server.Leaving && !stored.Leaving:
		return true, false, leavingDelay
	}
	return false, false, 0
}

// encodeSignals returns the value of the row of the server.
func encodeSignals(state signalState, server amrpool.StoredSignals) []byte {
	row := signalRow{StartedMS: server.Started.UnixMilli(), PerSecond: server.PerSecond, Leaving: server.Leaving}
	if !server.ReceivedAt.IsZero() {
		row.AtMS = (state.tableNow - state.now.Sub(server.ReceivedAt)).Milliseconds()
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // A struct of finite numbers can always be encoded.
	}
	return value
}

// decodeSignals decodes the row of a server, and returns false if there is none or it has
// another format.
func decodeSignals(row amrfollow.Row) (signalRow, bool) {
	var value signalRow
	err := json.Unmarshal(row.Value, &value)
	return value, err == nil
}

// at returns the time of the statement by the clock of the shared table.
func (r signalRow) at() time.Duration {
	return time.Duration(r.AtMS) * time.Millisecond
}
