package amrdirect

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrplatform"
)

// shared takes in the rows that the routers share.
func (r *rollout) shared(u amrfollow.Update) {
	for _, row := range u.Rows {
		if row.Key == leaseKey && !row.Deleted {
			r.saw(amrplatform.Item{Key: row.Key, Value: row.Value, Version: row.Version}, u.Now)
		}
	}
}

// saw takes in a state of the lease's row. The time is that of the rows' clock,
// or 0 where it is not known.
func (r *rollout) saw(item amrplatform.Item, tableNow time.Duration) {
	now := r.boot.Now()
	r.mu.Lock()
	if !r.lease.Saw(now, item) {
		r.mu.Unlock()
		return
	}
	note := r.readNote(r.lease.Note())
	r.handover.saw(now, r.lease.Holder(), note.engines())
	r.mu.Unlock()
	r.apply(item.Version, note, tableNow)
	r.nudge()
}

// apply makes the fleet keep off the servers that the note names, and takes in
// when weights were named.
func (r *rollout) apply(row uint64, note rolloutNote, tableNow time.Duration) {
	r.fleet.SetChanges(row, note.changes())
	for _, n := range note.Namings {
		w := NewWeights{Model: n.Model, Version: n.Weights}
		at := time.Duration(n.AtMS) * time.Millisecond
		r.mu.Lock()
		known, ok := r.namings[w]
		if !ok || at < known {
			r.namings[w] = at
		}
		r.mu.Unlock()
		if tableNow > 0 {
			r.fleet.NamedSince(r.clock.Now().Add(at-tableNow), n.Model, n.Weights)
		}
	}
}

// announce writes the changes with the lease, and reports whether that was
// done.
func (r *rollout) announce(ctx context.Context) bool {
	now := r.boot.Now()
	r.mu.Lock()
	expiry := r.lease.Expiry()
	note := r.note()
	txn, ok := r.lease.Write(now, note.encode())
	r.mu.Unlock()
	if !ok || !r.write(ctx, txn) {
		return false
	}
	r.mu.Lock()
	r.handover.take(expiry)
	r.announced, r.endedAt = true, time.Time{}
	row := r.lease.Version()
	r.tell(row, note)
	r.mu.Unlock()
	r.apply(row, note, 0)
	return true
}

// write writes the lease's row.
func (r *rollout) write(ctx context.Context, txn amrplatform.Txn) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := r.ports.Rows.Write(callCtx, txn)
	r.mu.Lock()
	r.lease.Written(r.boot.Now(), version, err)
	r.mu.Unlock()
	if err != nil {
		r.log.Warn("cannot write the lease of orders", "err", err)
		r.reread(ctx, err)
		return false
	}
	return true
}

// resign gives the lease up.
func (r *rollout) resign(ctx context.Context) {
	r.mu.Lock()
	note := r.note()
	txn, ok := r.lease.Resign(r.boot.Now(), note.encode())
	r.mu.Unlock()
	if ok {
		r.log.Info("giving the lease of orders up", "written", r.write(ctx, txn))
	}
}

// reread reads the lease's row after a write that may have failed for its
// condition.
func (r *rollout) reread(ctx context.Context, err error) {
	if errorx.IsOfType(err, amrplatform.Unavailable) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := r.ports.Rows.Read(callCtx, leaseKey)
	if err != nil {
		r.log.Warn("cannot read the lease of orders", "err", err)
		return
	}
	r.saw(item, 0)
}
