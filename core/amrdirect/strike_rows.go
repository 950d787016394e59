package amrdirect

import (
	"encoding/json"
	"strings"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrsuspect"
)

const (
	// strikePrefix is the prefix of the keys of the shared rows with the strikes of requests.
	// The fingerprint of the request follows.
	strikePrefix = "struck-request/"

	// secondStrikeDelay is the time after the second strike of a request from which there is
	// a row. Most requests that other ones have given two strikes complete before, so that
	// they cost no call. If all routers are killed meanwhile, the request may crash
	// amrsuspect.MaxStrikes more servers.
	secondStrikeDelay = time.Second

	// strikesEndDelay is the time after the end of the strikes from which their row is
	// deleted. Within it, this router applies the row if it has just arrived.
	strikesEndDelay = time.Second

	// strikeTolerance is the time by which the last strike in a row may be earlier than the
	// one that a router knows, since routers learn of strikes at different times.
	strikeTolerance = 2 * time.Second

	// maxStrikeRows is the number of rows from which no further one is written, so that an
	// outage of many servers does not fill the table that all routers follow.
	maxStrikeRows = 256
)

// strikeRow is the value of the row with the strikes of a request.
type strikeRow struct {
	Strikes []storedStrike `json:"strikes"` // Oldest first.
}

// storedStrike is a strike in a row.
type storedStrike struct {
	Server uint64 `json:"server,string"` // Hash of the name of the server.
	AtMS   int64  `json:"at-ms"`         // Time of the strike by the clock of the shared table.
}

// strikeRows decides which rows with strikes of requests this router writes or deletes: those
// that differ from what it knows and that it is its turn to write. It does no I/O and is not
// safe for concurrent use. Create it with newStrikeRows.
type strikeRows struct {
	turns *rowTurns // By fingerprint.
}

func newStrikeRows(host string) *strikeRows {
	return &strikeRows{turns: newRowTurns(host)}
}

// strikeState is what strikeRows decides on.
type strikeState struct {
	now      time.Time
	tableNow time.Duration              // Reading of the shared table's clock.
	rows     []amrfollow.Row            // Rows of the shared table.
	strikes  []amrsuspect.StoredStrikes // Strikes that this router knows and that must be stored.

	urgentOnly bool // Only rows of quarantines are written, so that one call later writes several others.
}

// txn returns the transaction with the writes that are due, which is empty if there are none.
// It has no effect if another router has changed a row meanwhile.
func (s *strikeRows) txn(state strikeState) amrplatform.Txn {
	rows, hosts := splitRows(state.rows, strikePrefix)
	room := maxStrikeRows - len(rows)
	known := make(map[string]bool)
	var txn amrplatform.Txn
	for _, strikes := range state.strikes {
		name := strikes.Fingerprint.String()
		known[name] = true
		row, exists := rows[name]
		change := state.changeOf(strikes, row)
		due := s.turns.mayWrite(state.now, change, hosts) && (change.urgent || !state.urgentOnly)
		if !due || len(txn.Checks) >= maxRowWrites || !exists && room <= 0 {
			continue
		}
		if !exists {
			room--
		}
		txn.Checks = append(txn.Checks, amrplatform.Check{Key: strikePrefix + name, Version: row.Version})
		txn.Puts = append(txn.Puts, amrplatform.Put{Key: strikePrefix + name, Value: state.encode(strikes)})
	}
	for name, row := range rows {
		if known[name] {
			continue
		}
		known[name] = true
		end := rowChange{name: name, version: row.Version, outdated: true, delay: strikesEndDelay}
		if s.turns.mayWrite(state.now, end, hosts) && !state.urgentOnly && len(txn.Checks) < maxRowWrites {
			txn.Checks = append(txn.Checks, amrplatform.Check{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	s.turns.keep(state.now, func(name string) bool { return known[name] })
	return txn
}

// recordWrite records that the transaction was applied.
func (s *strikeRows) recordWrite(now time.Time, txn amrplatform.Txn) {
	for _, check := range txn.Checks {
		s.turns.recordWrite(now, strings.TrimPrefix(check.Key, strikePrefix))
	}
}

// changeOf returns the change that makes the row tell of the strikes.
func (s strikeState) changeOf(known amrsuspect.StoredStrikes, row amrfollow.Row) rowChange {
	stored, ok := decodeStrikes(row, s.now, s.tableNow)
	c := rowChange{name: known.Fingerprint.String(), version: row.Version, delay: secondStrikeDelay}
	c.outdated = !ok || len(stored.Strikes) != len(known.Strikes) || known.Last().Sub(stored.Last()) > strikeTolerance
	if len(known.Strikes) >= amrsuspect.MaxStrikes {
		c.urgent, c.delay = true, 0
	}
	return c
}

// encode returns the value of the row with the strikes.
func (s strikeState) encode(strikes amrsuspect.StoredStrikes) []byte {
	var row strikeRow
	for _, k := range strikes.Strikes {
		row.Strikes = append(row.Strikes, storedStrike{Server: k.Server, AtMS: (s.tableNow - s.now.Sub(k.At)).Milliseconds()})
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // A struct of numbers can always be encoded.
	}
	return value
}

// decodeStrikes decodes the row with the strikes of a request. The clock of the shared table
// reads tableNow at the time now. It returns false if there is no such row or it has another
// format.
func decodeStrikes(row amrfollow.Row, now time.Time, tableNow time.Duration) (amrsuspect.StoredStrikes, bool) {
	var strikes amrsuspect.StoredStrikes
	fingerprint, ok := fingerprintOfRow(row.Key)
	var value strikeRow
	if !ok || json.Unmarshal(row.Value, &value) != nil {
		return strikes, false
	}
	strikes.Fingerprint = fingerprint
	for _, k := range value.Strikes {
		age := max(0, tableNow-time.Duration(k.AtMS)*time.Millisecond)
		strikes.Strikes = append(strikes.Strikes, amrsuspect.Strike{Server: k.Server, At: now.Add(-age)})
	}
	return strikes, true
}

// fingerprintOfRow returns the fingerprint of the request whose strikes the row with the key
// holds, and false if it is another kind of row.
func fingerprintOfRow(key string) (amrsuspect.Fingerprint, bool) {
	text, ok := strings.CutPrefix(key, strikePrefix)
	if !ok {
		return amrsuspect.Fingerprint{}, false
	}
	return amrsuspect.ParseFingerprint(text)
}
