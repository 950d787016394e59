package amrorder

import (
	"encoding/json"
	"time"

	"amaranthreach.example/core/amrplatform"
)

// followedMargin is what must be left of a lease for an order to be given under
// it, so that it arrives while the lease holds.
const followedMargin = 250 * time.Millisecond

// FollowedLease is one router's side of a lease whose item it follows, so that
// it sees each change without reading.
//
// The lease of a holder ends when it is not renewed within the TTL of the
// holder's clock, which must go on while the host is suspended. Another host
// takes it over when it has seen the item unchanged for the TTL, or at once
// after the holder resigned. The item also carries a note of the holder to all
// who follow it. FollowedLease is not safe for concurrent use; create it with
// NewFollowedLease.
type FollowedLease struct {
	key         string
	host        string
	incarnation string
	ttl         time.Duration

	seen       amrplatform.Item
	seenSince  time.Time
	value      followedValue
	sentAt     time.Time // Start of the write on its way; zero for none.
	wanted     followedValue
	validUntil time.Time
}

// followedValue is the value of the item.
type followedValue struct {
	Host        string          `json:"host"`
	Incarnation string          `json:"incarnation"`
	Fence       uint64          `json:"fence"`
	Resigned    bool            `json:"resigned,omitempty"` // The holder gives no more orders.
	Note        json.RawMessage `json:"note,omitempty"`
}

// NewFollowedLease returns a lease that the host has not. The incarnation must
// be another one at each start of the process.
func NewFollowedLease(start time.Time, key, host, incarnation string, ttl time.Duration) *FollowedLease {
	return &FollowedLease{
		key:         key,
		host:        host,
		incarnation: incarnation,
		ttl:         ttl,
		seenSince:   start,
	}
}

// Saw takes in a state of the item. It returns whether the item is newer than
// the last one seen.
func (l *FollowedLease) Saw(now time.Time, item amrplatform.Item) bool {
	if item.Version <= l.seen.Version {
		return false
	}
	l.seen = item
	l.seenSince = now
	l.value = followedValue{}
	if err := json.Unmarshal(item.Value, &l.value); err != nil {
		l.value = followedValue{Fence: l.value.Fence} // Nobody can hold what nobody can read.
	}
	if !l.own() {
		l.validUntil = time.Time{}
	}
	return true
}

// Expiry returns until when the last holder may have given orders.
func (l *FollowedLease) Expiry() time.Time {
	if l.value.Resigned {
		return l.seenSince
	}
	return l.seenSince.Add(l.ttl)
}

// Note returns the note of the last holder.
func (l *FollowedLease) Note() json.RawMessage {
	return l.value.Note
}

// Version returns the version of the item that the lease was last seen with.
func (l *FollowedLease) Version() uint64 {
	return l.seen.Version
}

// Holder returns the host that held the lease last.
func (l *FollowedLease) Holder() string {
	return l.value.Host
}

func (l *FollowedLease) own() bool {
	return l.value.Host == l.host && l.value.Incarnation == l.incarnation
}

// Held returns the fencing number, and whether an order may be given now.
func (l *FollowedLease) Held(now time.Time) (fence uint64, ok bool) {
	if !l.own() || l.value.Resigned || now.Add(followedMargin).After(l.validUntil) {
		return 0, false
	}
	return l.value.Fence, true
}

// Write returns a write that takes or renews the lease with the note, to be
// sent at once and reported with Written. It returns false where another host
// may hold the lease, or a write is on its way.
func (l *FollowedLease) Write(now time.Time, note json.RawMessage) (amrplatform.Txn, bool) {
	if !l.sentAt.IsZero() || !l.free(now) {
		return amrplatform.Txn{}, false
	}
	next := followedValue{Host: l.host, Incarnation: l.incarnation, Fence: l.value.Fence, Note: note}
	if !l.own() || l.value.Resigned {
		next.Fence++
	}
	return l.write(now, next), true
}

// Resign returns a write that gives the lease up and leaves the note, as Write
// does. It returns false where the lease is not held.
func (l *FollowedLease) Resign(now time.Time, note json.RawMessage) (amrplatform.Txn, bool) {
	if _, held := l.Held(now); !held || !l.sentAt.IsZero() {
		return amrplatform.Txn{}, false
	}
	l.validUntil = time.Time{}
	return l.write(now, followedValue{Host: l.host, Incarnation: l.incarnation, Fence: l.value.Fence, Resigned: true, Note: note}), true
}

func (l *FollowedLease) write(now time.Time, next followedValue) amrplatform.Txn {
	data, err := json.Marshal(next)
	if err != nil {
		panic(err) // Strings, numbers and valid JSON can always be encoded.
	}
	l.sentAt = now
	l.wanted = next
	return amrplatform.Txn{
		Checks: []amrplatform.Check{{Key: l.key, Version: l.seen.Version}},
		Puts:   []amrplatform.Put{{Key: l.key, Value: data}},
	}
}

// free reports whether this host may take the lease or has it.
func (l *FollowedLease) free(now time.Time) bool {
	return l.value.Host == "" || l.value.Host == l.host || !now.Before(l.Expiry())
}

// Written takes in the outcome of the write: the version it made the item, or
// the error. After an unknown outcome the followed item tells.
func (l *FollowedLease) Written(now time.Time, version uint64, err error) {
	sentAt := l.sentAt
	l.sentAt = time.Time{}
	if err != nil || version <= l.seen.Version {
		return
	}
	l.seen.Version = version
	l.seenSince = now
	l.value = l.wanted
	l.validUntil = sentAt.Add(l.ttl)
}

// RenewalDue reports whether a holder must renew for the lease to go on.
func (l *FollowedLease) RenewalDue(now time.Time) bool {
	return l.own() && now.Add(l.ttl/2).After(l.validUntil)
}
