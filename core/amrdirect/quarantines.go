package amrdirect

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrsuspect"
)

const (
	// quarantinePrefix is the prefix of the keys of the shared rows with
	// quarantined parts of prompts.
	quarantinePrefix = "quarantined-part/"

	// quarantineRowTime is the age from which a row is deleted when another one is
	// written. It is longer than any quarantine.
	quarantineRowTime = 3 * time.Hour

	// maxQuarantineChanges is the number of changes that can wait to be written.
	// Further ones are not written, and routers that start then learn of them from
	// crashes.
	maxQuarantineChanges = 64
)

// quarantineRow is the value of the row of a quarantined part.
type quarantineRow struct {
	Level int   `json:"level"`
	AtMS  int64 `json:"at-ms"` // Start of the quarantine by the clock of the shared table.
	Sound bool  `json:"was-sound,omitempty"`
}

// quarantines keeps quarantined parts of prompts in the shared table, where routers
// that start find them.
type quarantines struct {
	router  *Router
	changes chan amrforward.PartChange
}

func newQuarantines(r *Router) *quarantines {
	return &quarantines{router: r, changes: make(chan amrforward.PartChange, maxQuarantineChanges)}
}

// store queues a change to be written.
func (q *quarantines) store(c amrforward.PartChange) {
	select {
	case q.changes <- c:
	default:
		q.router.log.Warn("too many changes of quarantined parts wait to be written; dropping one", "part", rowKey(c.Part), "lifted", c.Lifted)
	}
}

// run writes changes until ctx is done. It always returns nil.
func (q *quarantines) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-q.changes:
			q.write(ctx, c)
		}
	}
}

// write writes a change. It retries until the write has succeeded or ctx is done.
func (q *quarantines) write(ctx context.Context, c amrforward.PartChange) {
	r := q.router
	for ctx.Err() == nil {
		txn := q.txn(c)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := r.deps.Rows.Write(callCtx, txn)
		cancel()
		if err == nil {
			r.log.Info("change of a quarantined part written", "row", rowKey(c.Part), "level", c.Level, "lifted", c.Lifted, "old-rows-deleted", len(txn.Deletes))
			return
		}
		r.log.Warn("cannot write the change of a quarantined part; retrying", "row", rowKey(c.Part), "lifted", c.Lifted, "err", err)
		if r.rollout.sleep(ctx, registerRetryDelay) != nil {
			return
		}
	}
}

// txn returns the transaction for a change. A new quarantine also deletes the rows that
// are too old to matter.
func (q *quarantines) txn(c amrforward.PartChange) amrplatform.Txn {
	if c.Lifted {
		return amrplatform.Txn{Deletes: []string{rowKey(c.Part)}}
	}
	r := q.router
	now := r.clock.Now()
	rows := r.copies.Followers[tableShared].Copy()
	tableNow := rows.TableNow(now)
	value, err := json.Marshal(quarantineRow{Level: c.Level, AtMS: (tableNow - now.Sub(c.Since)).Milliseconds(), Sound: c.Sound})
	if err != nil {
		panic(err) // A struct of numbers can always be encoded.
	}
	txn := amrplatform.Txn{Puts: []amrplatform.Put{{Key: rowKey(c.Part), Value: value}}}
	for _, row := range rows.Rows() {
		if state, ok := q.decode(row); ok && row.Key != rowKey(c.Part) && tableNow-state.at() >= quarantineRowTime {
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	return txn
}

// at returns the start of the quarantine by the clock of the shared table.
func (s quarantineRow) at() time.Duration {
	return time.Duration(s.AtMS) * time.Millisecond
}

// applyShared applies changed rows of the shared table. A row that is missing after
// the table was restored from an older copy does not lift the quarantine, but is
// written again, by each router at another time unless one has already done so.
func (q *quarantines) applyShared(u amrfollow.Update) {
	r := q.router
	if u.Restored {
		spread := time.Duration(r.routers.Load()) * registerSpread
		r.clock.AfterFunc(time.Duration(rand.Int64N(int64(spread))), q.restore)
	}
	now := r.clock.Now()
	for _, row := range u.Rows {
		part, ok := partOfRow(row.Key)
		if !ok {
			continue
		}
		if row.Deleted {
			if !u.Restored {
				r.forward.LiftQuarantine(part)
			}
			continue
		}
		if state, ok := q.decode(row); ok {
			age := max(0, u.Now-state.at())
			r.forward.ApplyQuarantine(amrsuspect.PartQuarantine{Part: part, Level: state.Level, Since: now.Add(-age), Sound: state.Sound})
		}
	}
}

// restore writes the quarantines again that the shared table has lost.
func (q *quarantines) restore() {
	rows := q.router.copies.Followers[tableShared].Copy()
	for _, known := range q.router.forward.Quarantines() {
		if _, ok := rows.Row(rowKey(known.Part)); !ok {
			q.store(amrforward.PartChange{PartQuarantine: known})
		}
	}
}

// decode decodes the row of a quarantined part. It logs a value that it cannot decode.
func (q *quarantines) decode(row amrfollow.Row) (quarantineRow, bool) {
	var state quarantineRow
	if _, ok := partOfRow(row.Key); !ok {
		return state, false
	}
	if err := json.Unmarshal(row.Value, &state); err != nil {
		q.router.log.Warn("cannot decode the row of a quarantined part; ignoring it", "row", row.Key, "err", err)
		return state, false
	}
	return state, true
}

// rowKey returns the key of the row of a quarantined part.
func rowKey(part amrsuspect.PartKey) string {
	return fmt.Sprintf("%s%016x", quarantinePrefix, uint64(part))
}

// partOfRow returns the part that the row with the key is about, and false if it is
// another kind of row.
func partOfRow(key string) (amrsuspect.PartKey, bool) {
	text, ok := strings.CutPrefix(key, quarantinePrefix)
	if !ok {
		return 0, false
	}
	part, err := strconv.ParseUint(text, 16, 64)
	return amrsuspect.PartKey(part), err == nil
}
