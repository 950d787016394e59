package amrdirect

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrplatform"
)

// applyShared applies changed rows of the shared table.
func (r *rollout) applyShared(u amrfollow.Update) {
	for _, row := range u.Rows {
		if row.Key == leaseKey && !row.Deleted {
			r.observeLease(amrplatform.Item{Key: row.Key, Value: row.Value, Version: row.Version}, u.Now)
		}
	}
}

// observeLease applies a state of the lease's row. The argument tableNow is the
// time of the shared table's clock, or 0 if it is unknown.
func (r *rollout) observeLease(item amrplatform.Item, tableNow time.Duration) {
	now := r.boot.Now()
	r.mu.Lock()
	if !r.lease.Observe(now, item) {
		r.mu.Unlock()
		return
	}
	note := r.readNote(r.lease.Note())
	r.handover.observeLease(now, r.lease.Holder(), note.engines())
	r.mu.Unlock()
	r.applyNote(item.Version, note, tableNow)
	r.signal()
}

// applyNote tells the fleet which servers the note names, so that they get no
// new requests, and records when the weights in the note were declared. The
// argument row is the version of the shared row.
func (r *rollout) applyNote(row uint64, note rolloutNote, tableNow time.Duration) {
	r.fleet.SetChanges(row, note.changes())
	for _, n := range note.Targets {
		w := TargetWeights{Model: n.Model, Version: n.Weights}
		at := time.Duration(n.AtMS) * time.Millisecond
		r.mu.Lock()
		known, ok := r.targetTimes[w]
		if !ok || at < known {
			r.targetTimes[w] = at
		}
		r.mu.Unlock()
		if tableNow > 0 {
			r.fleet.SetTargetTime(r.clock.Now().Add(at-tableNow), n.Model, n.Weights)
		}
	}
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
	r.announced, r.endedAt = true, time.Time{}
	row := r.lease.Version()
	r.queueChanging(row, note)
	r.mu.Unlock()
	r.applyNote(row, note, 0)
	return true
}

// writeLease writes the lease's row and reports whether the write succeeded.
func (r *rollout) writeLease(ctx context.Context, txn amrplatform.Txn) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := r.deps.Rows.Write(callCtx, txn)
	r.mu.Lock()
	r.lease.TxnDone(r.boot.Now(), version, err)
	r.mu.Unlock()
	if err != nil {
		r.log.Warn("cannot write the rollout lease", "err", err)
		r.rereadLease(ctx, err)
		return false
	}
	return true
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
	item, err := r.deps.Rows.Read(callCtx, leaseKey)
	if err != nil {
		r.log.Warn("cannot read the rollout lease", "err", err)
		return
	}
	r.observeLease(item, 0)
}
