package amrdirect

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
)

// applyShared applies changed rows of the shared table.
func (r *rollout) applyShared(u amrfollow.Update) {
	r.observeEra(u.Era)
	for _, row := range u.Rows {
		if !strings.HasPrefix(row.Key, leaseKey) || row.Deleted {
			continue
		}
		if !r.observeLease(u.Era, amrplatform.Item{Key: row.Key, Value: row.Value, Version: row.Version}, u.Now) {
			r.readOldLease(row, u.Now)
		}
	}
}

// observeEra records the era of the shared table.
func (r *rollout) observeEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setEra(era)
}

// setEra records the era of the shared table. In a new era, hosts may have given
// orders that this router cannot know of, as the rows that named the engines may
// be lost. The caller must hold r.mu.
func (r *rollout) setEra(era uint64) {
	now := r.boot.Now()
	_, held := r.lease.Held(now)
	if !r.lease.SetEra(now, era) {
		return
	}
	r.announced = len(r.changes) == 0
	if !held {
		r.handover.forget(now)
	}
	clear(r.orderTimes) // The clock of the table may have begun anew.
	r.eraAt = now
	r.log.Info("shared table has a new era; the lease of orders must be acquired again", "era", era, "held", held)
	r.signal()
}

// readOldLease records when weights were declared from the row of a lease of an
// earlier era.
func (r *rollout) readOldLease(row amrfollow.Row, tableNow time.Duration) {
	r.mu.Lock()
	current := r.lease.Key()
	r.mu.Unlock()
	if row.Key == current {
		return // An old version of the row.
	}
	var value struct {
		Note json.RawMessage `json:"note"`
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		r.log.Warn("cannot decode the row of an earlier rollout lease; ignoring it", "row", row.Key, "err", err)
		return
	}
	r.recordNotedTargets(r.readNote(value.Note), tableNow)
}

// observeLease applies a state of the lease's row, and reports whether it is newer
// than the last one. It tells the fleet which servers the note names, so that they get no
// new requests. The argument tableNow is the time of the shared table's
// clock, or 0 if it is unknown.
func (r *rollout) observeLease(era uint64, item amrplatform.Item, tableNow time.Duration) bool {
	now := r.boot.Now()
	r.mu.Lock()
	if !r.lease.Observe(now, era, item) {
		r.mu.Unlock()
		return false
	}
	note := r.readNote(r.lease.Note())
	clockNow := tableNow
	if clockNow == 0 {
		clockNow = r.tableNow()
	}
	r.orderTimes.merge(note.Orders)
	r.handover.observeLease(now, r.lease.Holder(), r.observedOrders(note, clockNow))
	r.mu.Unlock()
	r.fleet.SetChanges(amrpool.RowPosition{Era: era, Version: item.Version}, note.changes())
	r.recordNotedTargets(note, clockNow)
	r.signal()
	return true
}

// announce takes or renews the lease and writes the changes with it. It reports
// whether the write succeeded.
func (r *rollout) announce(ctx context.Context) bool {
	now := r.boot.Now()
	r.mu.Lock()
	expiry := r.lease.Expiry()
	note := r.note()
	txn, ok := r.lease.AcquireTxn(now, note.encode())
	r.mu.Unlock()
	if !ok || !r.writeLease(ctx, txn) {
		return false
	}
	r.mu.Lock()
	r.handover.takeOver(expiry)
	if txn.Checks[0].Version == 0 && r.lease.Era() <= firstEra {
		r.handover.noneBefore(r.boot.Now()) // Nobody has held the lease before.
	}
	r.announced, r.endedAt = true, time.Time{}
	row := amrpool.RowPosition{Era: r.lease.Era(), Version: r.lease.Version()}
	r.queueBegun(row, note)
	r.mu.Unlock()
	r.fleet.SetChanges(row, note.changes())
	return true
}

// writeLease writes the lease's row and reports whether the write succeeded.
func (r *rollout) writeLease(ctx context.Context, txn amrplatform.Txn) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	position, err := r.deps.Rows.Write(callCtx, txn)
	r.mu.Lock()
	if err == nil {
		r.setEra(position.Era)
	}
	r.lease.TxnDone(r.boot.Now(), txn, position.Era, position.Version, err)
	written := err == nil && txn.Puts[0].Key == r.lease.Key()
	r.mu.Unlock()
	switch {
	case err != nil:
		r.log.Warn("cannot write the rollout lease", "err", err)
		r.rereadLease(ctx, err)
	case !written:
		r.log.Warn("the rollout lease was written in an earlier era of the shared table", "row", txn.Puts[0].Key, "era", position.Era)
	}
	return written
}

// resign releases the lease if this router holds it.
func (r *rollout) resign(ctx context.Context) {
	r.mu.Lock()
	note := r.note()
	txn, ok := r.lease.ResignTxn(r.boot.Now(), note.encode())
	r.mu.Unlock()
	if ok {
		r.log.Info("tried to resign the rollout lease", "written", r.writeLease(ctx, txn))
	}
}

// rereadLease reads the lease's row after a write failed with err, which may
// mean that another router changed the row. It does nothing if the table was
// unavailable.
func (r *rollout) rereadLease(ctx context.Context, err error) {
	if errorx.IsOfType(err, amrplatform.Unavailable) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	key := r.lease.Key()
	r.mu.Unlock()
	item, era, err := r.deps.Rows.Read(callCtx, key)
	if err != nil {
		r.log.Warn("cannot read the rollout lease", "err", err)
		return
	}
	r.observeLease(era, item, 0)
}
