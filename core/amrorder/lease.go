// Package amrorder coordinates the orders that make backend servers load
// weights: it elects the router that may send them, plans them, and checks them
// in the sidecar of each backend server.
//
// The holder of a lease sends the orders. A Lease concerns one deployment and
// polls its item in the table service; a FollowedLease is notified of changes of
// a replicated item. Rollout plans the orders under a Lease, and Upgrade those
// under a FollowedLease. OrderGuard checks each order in the sidecar. The package
// does no I/O: the types process events with the time at which they occurred, and
// return actions for the caller to perform.
package amrorder

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrplatform"
)

// DefaultTTL is the time for which a lease is valid without renewal.
const DefaultTTL = 6 * time.Second

// renewalsPerTTL is the number of times that a holder renews its lease within
// the TTL.
const renewalsPerTTL = 3

// LeaseKey returns the key of the table item that stores the rollout lease of
// the deployment.
func LeaseKey(deployment string) string {
	return "lease/orders/" + deployment
}

// Lease is a router's candidacy for the rollout lease of a deployment.
//
// It does not compare the clocks of hosts. A candidate takes the lease over
// once it has seen the item unchanged for the TTL by its own clock, and a holder
// measures the TTL from the time before it sent the write that granted the
// lease. A holder that was paused may briefly still consider itself the holder;
// the fencing token in its orders makes sidecars reject them. Lease is not safe
// for concurrent use; create it with NewLease.
type Lease struct {
	key    string
	holder string
	ttl    time.Duration

	pending           bool      // A read or a write is in flight.
	nextAt            time.Time // When the item is read next.
	observed          amrplatform.Item
	observedAt        time.Time // When the version of the item was first seen.
	fence             uint64    // Fencing token of this candidate; 0 if the item does not name it as the holder.
	validUntil        time.Time
	unresolvedSince   time.Time // When the first write with an unresolved outcome was sent; zero if there is none.
	requiredVersion   uint64    // Item version that the last write requires.
	releasing         bool      // The last write releases the lease.
	resigning         bool
	tookOver          bool
	goal              string
	ignoreReachedGoal bool // Acquire the lease even if the item says that the goal is reached.
}

// NewLease returns a candidacy that first reads the lease within the TTL after
// start. The delay depends on the holder's name, so that the candidates for a
// lease do not all read it at the same time. The holder name must be unique to
// the process: a restarted process must not reuse it.
func NewLease(start time.Time, deployment, holder string, ttl time.Duration, opts ...LeaseOption) Lease {
	l := Lease{key: LeaseKey(deployment), holder: holder, ttl: ttl}
	l.nextAt = start.Add(l.jitter())
	for _, opt := range opts {
		opt(&l)
	}
	return l
}

// LeaseOption configures a Lease.
type LeaseOption func(*Lease)

// WithGoal sets an identifier of the state that the holder of the lease works
// towards. Resign stores the goal in the item, and a candidate that finds its
// own goal there ends its candidacy because the work is done.
func WithGoal(goal string) LeaseOption {
	return func(l *Lease) { l.goal = goal }
}

// WithReachedGoalIgnored makes the candidate acquire the lease even if a
// previous holder has stored the same goal as reached.
func WithReachedGoalIgnored() LeaseOption {
	return func(l *Lease) { l.ignoreReachedGoal = true }
}

// Held returns the fencing token of the lease, and whether the candidate holds
// the lease and may send orders under it now.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	if l.resigning || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.fence, true
}

// TookOver reports whether the lease was taken over from a holder that did not
// release it, so that orders of that holder may still be in progress.
func (l *Lease) TookOver() bool {
	return l.tookOver
}

// SetGoal replaces the goal. It is called when the desired state has changed
// during the candidacy.
func (l *Lease) SetGoal(goal string) {
	l.goal = goal
}

// Resign ends the candidacy and makes the next LeaseTick release the lease if
// it is held.
func (l *Lease) Resign() {
	l.resigning = true
	l.nextAt = time.Time{}
}

// Resigned reports whether the candidacy has ended and no action is in flight
// or due.
func (l *Lease) Resigned() bool {
	return l.resigning && !l.pending && l.fence == 0
}

// LeaseEvent is an input of Lease.Apply: a LeaseTick, a LeaseRead or a
// LeaseWritten.
type LeaseEvent interface {
	leaseEvent()
}

// LeaseTick reports that time has passed.
type LeaseTick struct{}

// LeaseRead is the result of a ReadLease action. An error of kind
// amrplatform.NotFound means that the lease has never been held.
type LeaseRead struct {
	Item amrplatform.Item
	Err  error
}

// LeaseWritten is the result of a WriteLease action.
type LeaseWritten struct {
	Err error
}

func (LeaseTick) leaseEvent()    {}
func (LeaseRead) leaseEvent()    {}
func (LeaseWritten) leaseEvent() {}

// LeaseAction is an action that Lease asks its caller to perform: a ReadLease
// or a WriteLease.
type LeaseAction interface {
	leaseAction()
}

// ReadLease requests a read of the item under the key. The result is reported
// with LeaseRead.
type ReadLease struct {
	Key string
}

// WriteLease requests that the transaction be committed. The result is reported
// with LeaseWritten.
type WriteLease struct {
	Txn amrplatform.Txn
}

func (ReadLease) leaseAction()  {}
func (WriteLease) leaseAction() {}

// Apply processes an event that occurred at time now. It returns the action
// that the caller must perform, or nil if there is none.
func (l *Lease) Apply(now time.Time, event LeaseEvent) LeaseAction {
	switch e := event.(type) {
	case LeaseTick:
		if l.pending || now.Before(l.nextAt) || l.Resigned() {
			return nil
		}
		return l.startRead()
	case LeaseRead:
		l.pending = false
		return l.handleRead(now, e)
	case LeaseWritten:
		l.pending = false
		return l.handleWritten(now, e.Err)
	}
	return nil
}

func (l *Lease) startRead() LeaseAction {
	l.pending = true
	return ReadLease{Key: l.key}
}

func (l *Lease) handleRead(now time.Time, e LeaseRead) LeaseAction {
	if e.Err != nil && !errorx.IsOfType(e.Err, amrplatform.NotFound) {
		l.scheduleNextRead(now)
		return nil
	}
	value, _ := decodeLease(e.Item) // The caller logs the error; see CheckLease.
	if e.Item.Version != l.observed.Version {
		l.observed = e.Item
		l.observedAt = now
	}
	if value.Holder == l.holder {
		return l.renew(now, value)
	}
	l.fence = 0
	l.validUntil = time.Time{}
	if l.resigning {
		return nil
	}
	free := value.Holder == "" || now.Sub(l.observedAt) >= l.ttl
	if !free {
		l.unresolvedSince = time.Time{} // A write still in flight will fail, since the item has a later version.
		l.nextAt = now.Add(l.ttl + l.jitter())
		return nil
	}
	if value.Holder == "" && l.goal != "" && value.Goal == l.goal && !l.ignoreReachedGoal {
		l.resigning = true
		return nil
	}
	l.tookOver = value.Holder != ""
	return l.startWrite(now, leaseValue{Holder: l.holder, Fence: value.Fence + 1})
}

// renew processes an item that names this candidate as the holder, and renews
// or releases the lease. A write with an unresolved outcome was applied if the
// version is above the one that it required. Otherwise it has not been applied,
// although it may be later. Until then, other candidates measure the TTL from an
// earlier write, so the lease is not extended.
func (l *Lease) renew(now time.Time, value leaseValue) LeaseAction {
	l.fence = value.Fence
	if !l.unresolvedSince.IsZero() && l.observed.Version > l.requiredVersion {
		l.extend()
	}
	if l.resigning {
		return l.startWrite(now, leaseValue{Fence: value.Fence, Goal: l.goal})
	}
	return l.startWrite(now, value)
}

// startWrite returns a write of the value that requires the item version last
// seen.
func (l *Lease) startWrite(now time.Time, value leaseValue) LeaseAction {
	l.pending = true
	if l.unresolvedSince.IsZero() {
		l.unresolvedSince = now
	}
	l.requiredVersion = l.observed.Version
	l.releasing = value.Holder == ""
	return WriteLease{Txn: amrplatform.Txn{
		Checks: []amrplatform.Check{{Key: l.key, Version: l.observed.Version}},
		Puts:   []amrplatform.Put{{Key: l.key, Value: value.encode()}},
	}}
}

func (l *Lease) handleWritten(now time.Time, err error) LeaseAction {
	switch {
	case err == nil && l.releasing:
		l.fence = 0
		l.unresolvedSince = time.Time{}
	case err == nil:
		if l.fence == 0 {
			value, _ := decodeLease(l.observed) // The caller has logged the error.
			l.fence = value.Fence + 1
		}
		l.extend()
		if !l.resigning { // Otherwise the next LeaseTick releases the lease.
			l.scheduleNextRead(now)
		}
	case errorx.IsOfType(err, amrplatform.Unavailable):
		l.scheduleNextRead(now)
	default: // After a conflict or an unknown outcome, the item shows the state of the lease.
		return l.startRead()
	}
	return nil
}

// extend records that a write was applied. The lease is then valid for the TTL
// from the time at which the first unresolved write was sent.
func (l *Lease) extend() {
	if until := l.unresolvedSince.Add(l.ttl); until.After(l.validUntil) {
		l.validUntil = until
	}
	l.unresolvedSince = time.Time{}
}

// scheduleNextRead schedules the read that precedes the next renewal or retry.
func (l *Lease) scheduleNextRead(now time.Time) {
	l.nextAt = now.Add(l.ttl / renewalsPerTTL)
}

// jitter returns a delay below the TTL that is derived from the holder's name.
// It spreads the reads of the candidates for a lease.
func (l *Lease) jitter() time.Duration {
	return time.Duration(xxh3.HashString(l.holder) % uint64(l.ttl))
}

// leaseValue is the value of the item that stores a lease, encoded as JSON. If
// the holder is empty, the lease is free and the goal is the one that the last
// holder reached.
type leaseValue struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	Goal   string `json:"goal,omitempty"`
}

func (v leaseValue) encode() []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Strings and numbers are always encodable.
	}
	return data
}

// decodeLease returns the value of the item, or the zero value if it has none. An
// item that cannot be decoded counts as free, with a fencing token that is not below
// any earlier one: each write raises the token by at most one and the version of the
// item by at least one.
func decodeLease(item amrplatform.Item) (leaseValue, error) {
	if len(item.Value) == 0 {
		return leaseValue{}, nil
	}
	var value leaseValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return leaseValue{Fence: item.Version}, err
	}
	return value, nil
}

// CheckLease returns an error if the item that stores a Lease cannot be decoded. It
// then counts as free.
func CheckLease(item amrplatform.Item) error {
	_, err := decodeLease(item)
	return err
}

// LeaseFence returns the fencing token in an item that stores a Lease, or 0 for an
// empty item. For one that cannot be decoded, it returns a token that is not below any
// earlier one.
func LeaseFence(item amrplatform.Item) uint64 {
	value, _ := decodeLease(item) // The holder logs the error.
	return value.Fence
}
