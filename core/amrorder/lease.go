// Package amrorder decides who may order backend servers to load weights, which
// orders are given, and which of them a sidecar lets through.
//
// Lease is a router's side of the lease of a deployment's orders, Rollout plans
// the orders of its holder, and Fence is the sidecar's check of each order.
// None of them does I/O: they take events with their time and return actions.
package amrorder

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrplatform"
)

// DefaultTTL is the time for which a lease holds without renewal.
const DefaultTTL = 6 * time.Second

// renewalsPerTTL is the number of times a holder renews within the TTL.
const renewalsPerTTL = 3

// LeaseKey returns the key of the table item that holds the lease of a
// deployment's orders.
func LeaseKey(deployment string) string {
	return "lease/orders/" + deployment
}

// Lease is one router's candidacy for the lease of a deployment's orders.
//
// No clocks are compared: a candidate takes a lease over when it has seen the
// item unchanged for the TTL of its own clock, and a holder counts its time
// from before it sent the write that granted it. A holder that was paused may
// still believe for a moment that it holds the lease; the fencing number of
// each order keeps it from doing anything. Lease is not safe for concurrent
// use, and its zero value is not usable.
type Lease struct {
	key    string
	holder string
	ttl    time.Duration

	waiting    bool // A read or a write is on its way.
	nextAt     time.Time
	seen       amrplatform.Item
	seenSince  time.Time
	fence      uint64
	validUntil time.Time
	sentAt     time.Time // Start of the first write whose outcome is not known; zero for none.
	checked    uint64    // Version that the last write checks.
	resigning  bool
	tookOver   bool
	goal       string
	insist     bool
}

// NewLease returns a candidacy that begins some time within the TTL from start,
// so that the candidates of one lease do not all come at once. The holder must
// name the process uniquely: a process that restarts must not use the same name.
func NewLease(start time.Time, deployment, holder string, ttl time.Duration, opts ...LeaseOption) Lease {
	l := Lease{key: LeaseKey(deployment), holder: holder, ttl: ttl}
	l.nextAt = start.Add(l.lag())
	for _, opt := range opts {
		opt(&l)
	}
	return l
}

// LeaseOption configures a Lease.
type LeaseOption func(*Lease)

// WithGoal names what the lease is wanted for. Resign leaves the goal in the
// item, and a candidate that finds its own goal there ends its candidacy.
func WithGoal(goal string) LeaseOption {
	return func(l *Lease) { l.goal = goal }
}

// WithInsistence makes the candidate take the lease though its goal was reached
// before.
func WithInsistence() LeaseOption {
	return func(l *Lease) { l.insist = true }
}

// Held returns the fencing number of the lease, and whether the candidate may
// give orders under it now.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	if l.resigning || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.fence, true
}

// TookOver reports whether the lease was taken over from a holder that had not
// given it up, so that its last orders may still be under way.
func (l *Lease) TookOver() bool {
	return l.tookOver
}

// SetGoal replaces the goal, when what is wanted has changed.
func (l *Lease) SetGoal(goal string) {
	l.goal = goal
}

// Resign gives the lease up and ends the candidacy.
func (l *Lease) Resign() {
	l.resigning = true
	l.nextAt = time.Time{}
}

// Resigned reports whether the candidacy has ended and nothing is to be done.
func (l *Lease) Resigned() bool {
	return l.resigning && !l.waiting && l.fence == 0
}

// LeaseEvent is something that Lease takes in: a LeaseTick, LeaseRead or
// LeaseWritten.
type LeaseEvent interface {
	leaseEvent()
}

// LeaseTick says that time passed.
type LeaseTick struct{}

// LeaseRead is the outcome of a ReadLease. An error of kind
// amrplatform.NotFound says that nobody has ever held the lease.
type LeaseRead struct {
	Item amrplatform.Item
	Err  error
}

// LeaseWritten is the outcome of a WriteLease.
type LeaseWritten struct {
	Err error
}

func (LeaseTick) leaseEvent()    {}
func (LeaseRead) leaseEvent()    {}
func (LeaseWritten) leaseEvent() {}

// LeaseAction is something that Lease wants done: a ReadLease or WriteLease.
type LeaseAction interface {
	leaseAction()
}

// ReadLease asks for the item under the key.
type ReadLease struct {
	Key string
}

// WriteLease asks for a commit of the transaction.
type WriteLease struct {
	Txn amrplatform.Txn
}

func (ReadLease) leaseAction()  {}
func (WriteLease) leaseAction() {}

// Apply takes in an event and returns what is to be done, or nil.
func (l *Lease) Apply(now time.Time, event LeaseEvent) LeaseAction {
	switch e := event.(type) {
	case LeaseTick:
		if l.waiting || now.Before(l.nextAt) || l.Resigned() {
			return nil
		}
		return l.read()
	case LeaseRead:
		l.waiting = false
		return l.takeRead(now, e)
	case LeaseWritten:
		l.waiting = false
		return l.takeWritten(now, e.Err)
	}
	return nil
}

func (l *Lease) read() LeaseAction {
	l.waiting = true
	return ReadLease{Key: l.key}
}

func (l *Lease) takeRead(now time.Time, e LeaseRead) LeaseAction {
	if e.Err != nil && !errorx.IsOfType(e.Err, amrplatform.NotFound) {
		l.pause(now)
		return nil
	}
	value := decodeLease(e.Item.Value)
	if e.Item.Version != l.seen.Version {
		l.seen = e.Item
		l.seenSince = now
	}
	if value.Holder == l.holder {
		return l.takeOwn(now, value)
	}
	l.fence = 0
	l.validUntil = time.Time{}
	if l.resigning {
		return nil
	}
	free := value.Holder == "" || now.Sub(l.seenSince) >= l.ttl
	if !free {
		l.sentAt = time.Time{} // A write still on its way meets a changed version.
		l.nextAt = now.Add(l.ttl + l.lag())
		return nil
	}
	if value.Holder == "" && l.goal != "" && value.Goal == l.goal && !l.insist {
		l.resigning = true
		return nil
	}
	l.tookOver = value.Holder != ""
	return l.write(now, leaseValue{Holder: l.holder, Fence: value.Fence + 1})
}

// takeOwn takes in an item that names this candidate. A write whose outcome is
// not known has taken effect once the version has moved past its check; until
// then it may still come, and a contender counts from that moment.
func (l *Lease) takeOwn(now time.Time, value leaseValue) LeaseAction {
	l.fence = value.Fence
	if !l.sentAt.IsZero() && l.seen.Version > l.checked {
		l.granted()
	}
	if l.resigning {
		return l.write(now, leaseValue{Fence: value.Fence, Goal: l.goal})
	}
	return l.write(now, value)
}

func (l *Lease) write(now time.Time, value leaseValue) LeaseAction {
	l.waiting = true
	if l.sentAt.IsZero() {
		l.sentAt = now
	}
	l.checked = l.seen.Version
	return WriteLease{Txn: amrplatform.Txn{
		Checks: []amrplatform.Check{{Key: l.key, Version: l.seen.Version}},
		Puts:   []amrplatform.Put{{Key: l.key, Value: value.encode()}},
	}}
}

func (l *Lease) takeWritten(now time.Time, err error) LeaseAction {
	switch {
	case err == nil && l.resigning:
		l.fence = 0
		l.sentAt = time.Time{}
	case err == nil:
		if l.fence == 0 {
			l.fence = decodeLease(l.seen.Value).Fence + 1
		}
		l.granted()
		l.pause(now)
	case errorx.IsOfType(err, amrplatform.Unavailable):
		l.pause(now)
	default: // Conflict or an unknown outcome: the item tells.
		return l.read()
	}
	return nil
}

// granted notes that a write has taken effect.
func (l *Lease) granted() {
	if until := l.sentAt.Add(l.ttl); until.After(l.validUntil) {
		l.validUntil = until
	}
	l.sentAt = time.Time{}
}

// pause puts the next read off.
func (l *Lease) pause(now time.Time) {
	l.nextAt = now.Add(l.ttl / renewalsPerTTL)
}

// lag spreads the reads of the candidates of one lease.
func (l *Lease) lag() time.Duration {
	return time.Duration(xxh3.HashString(l.holder) % uint64(l.ttl))
}

// leaseValue is the value of the lease's item. An empty holder says that the
// lease is free, and the goal then is what the last holder reached.
type leaseValue struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	Goal   string `json:"goal,omitempty"`
}

func (v leaseValue) encode() []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // A string and a number can always be encoded.
	}
	return data
}

// decodeLease returns the value of the item, or the zero value when there is
// none.
func decodeLease(data []byte) leaseValue {
	var value leaseValue
	_ = json.Unmarshal(data, &value) // An unreadable value belongs to nobody; its version still guards the write.
	return value
}

// LeaseFence returns the fencing number that an item of a lease holds.
func LeaseFence(item amrplatform.Item) uint64 {
	return decodeLease(item.Value).Fence
}
