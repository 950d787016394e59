package amrorder

import (
	"encoding/json"
	"strconv"
	"time"

	"amaranthreach.example/core/amrplatform"
)

// eraShift is the position of the era in a fencing token. The bits below it hold
// the version of the item. A token fits into the 53 bits of a JSON number up to
// era 8191.
const eraShift = 40

// orderMargin is the time that a lease must still be valid for an order to be
// sent under it, so that the order arrives before the lease expires.
const orderMargin = 250 * time.Millisecond

// FollowedLease is a router's view of a lease that is stored in a replicated
// item. The router is notified of each change of the item and need not poll it.
//
// A holder loses the lease when it does not renew it within the TTL by its own
// clock, which must keep running while the host is suspended. Another host may
// acquire the lease once it has seen the item unchanged for the TTL, or
// immediately after the holder resigned. The item also carries a note in which
// the holder publishes data to all routers that follow the item.
//
// The table may be restored from an older copy, which begins a new era: writes of
// the last seconds are lost, also acknowledged ones, and versions are given out
// again. Each era therefore has an item of its own, so that a write which was sent
// in an earlier era has no effect on it. A lease of an earlier era is not valid in
// the new one. Since the item does not tell who held that lease, another host may
// acquire the new one only when the TTL has passed.
//
// FollowedLease is not safe for concurrent use; create it with NewFollowedLease.
type FollowedLease struct {
	key         string
	host        string
	incarnation string
	ttl         time.Duration

	era        uint64    // Newest known era of the table.
	freeFrom   time.Time // When any lease of an earlier era has expired.
	observed   amrplatform.Item
	observedAt time.Time
	value      followedValue
	sentAt     time.Time     // When the write in flight was sent; zero if there is none.
	inFlight   followedValue // Value of the write in flight.
	validUntil time.Time     // When this host's lease expires; zero if it is not the holder.
}

// followedValue is the value of the item, encoded as JSON.
type followedValue struct {
	Host        string          `json:"host"`
	Incarnation string          `json:"incarnation"`
	Fence       uint64          `json:"fence"`
	Resigned    bool            `json:"resigned,omitempty"` // The holder sends no more orders.
	Note        json.RawMessage `json:"note,omitempty"`
}

// NewFollowedLease returns a lease that the host does not hold. The incarnation
// must be unique to each start of the process, so that a restarted process does
// not continue the lease of its predecessor.
func NewFollowedLease(start time.Time, key, host, incarnation string, ttl time.Duration) *FollowedLease {
	return &FollowedLease{
		key:         key,
		host:        host,
		incarnation: incarnation,
		ttl:         ttl,
		observedAt:  start,
	}
}

// SetEra records at time now that the table is in the given era, and reports
// whether that is newer than the known one. The lease must then be acquired again.
func (l *FollowedLease) SetEra(now time.Time, era uint64) bool {
	if era <= l.era {
		return false
	}
	l.freeFrom = now.Add(l.ttl)
	if l.isHolder() && !l.value.Resigned && now.Before(l.validUntil) {
		l.freeFrom = now // No other host can have held the lease of the earlier era until now.
	}
	l.era = era
	l.observed, l.observedAt = amrplatform.Item{}, now
	l.value = followedValue{}
	l.validUntil = time.Time{}
	return true
}

// Era returns the newest known era of the table.
func (l *FollowedLease) Era() uint64 {
	return l.era
}

// Key returns the key of the item in the newest known era.
func (l *FollowedLease) Key() string {
	if l.era == 0 {
		return l.key
	}
	return l.key + "/" + strconv.FormatUint(l.era, 10)
}

// Observe processes a version of the item with the given era, which was received
// at time now. It reports whether it is newer than the last one; others are
// ignored.
func (l *FollowedLease) Observe(now time.Time, era uint64, item amrplatform.Item) bool {
	l.SetEra(now, era)
	if era < l.era || item.Key != l.Key() || item.Version <= l.observed.Version {
		return false
	}
	l.observed = item
	l.observedAt = now
	l.value = followedValue{}
	if err := json.Unmarshal(item.Value, &l.value); err != nil {
		l.value = followedValue{} // The holder is unknown, and may still send orders until the TTL has passed.
	}
	if !l.isHolder() {
		l.validUntil = time.Time{}
	}
	return true
}

// Expiry returns the time until which the last holder may send orders.
func (l *FollowedLease) Expiry() time.Time {
	if l.value.Resigned {
		return l.observedAt
	}
	return l.observedAt.Add(l.ttl)
}

// Note returns the note in the last item seen.
func (l *FollowedLease) Note() json.RawMessage {
	return l.value.Note
}

// Version returns the version of the last item seen.
func (l *FollowedLease) Version() uint64 {
	return l.observed.Version
}

// Holder returns the name of the host that last held the lease, or an empty
// string if none is known.
func (l *FollowedLease) Holder() string {
	return l.value.Host
}

// isHolder reports whether the item names this process as the holder.
func (l *FollowedLease) isHolder() bool {
	return l.value.Host == l.host && l.value.Incarnation == l.incarnation
}

// Held returns the fencing token of the lease, and whether this process holds
// the lease for long enough that it may send an order now.
func (l *FollowedLease) Held(now time.Time) (fence uint64, ok bool) {
	if !l.isHolder() || l.value.Resigned || now.Add(orderMargin).After(l.validUntil) {
		return 0, false
	}
	return l.value.Fence, true
}

// AcquireTxn returns a transaction that acquires or renews the lease and sets the
// note. The caller must commit it immediately and report the result with
// TxnDone. AcquireTxn returns false if another host may hold the lease or a
// transaction is in flight.
func (l *FollowedLease) AcquireTxn(now time.Time, note json.RawMessage) (amrplatform.Txn, bool) {
	if !l.sentAt.IsZero() || !l.mayAcquire(now) {
		return amrplatform.Txn{}, false
	}
	next := followedValue{Host: l.host, Incarnation: l.incarnation, Fence: l.value.Fence, Note: note}
	if !l.isHolder() || l.value.Resigned {
		next.Fence = l.nextFence()
	}
	return l.newTxn(now, next), true
}

// nextFence returns the fencing token of an acquisition of the lease. It follows
// from the era and from the version of the item that the acquisition replaces, so
// that it exceeds all earlier tokens whatever the item contains.
func (l *FollowedLease) nextFence() uint64 {
	return l.era<<eraShift + l.observed.Version + 1
}

// ResignTxn returns a transaction that releases the lease and sets the note. From
// then on the lease is not held, even if the transaction fails. The caller must
// commit it immediately and report the result with TxnDone. ResignTxn returns
// false if the lease is not held or a transaction is in flight.
func (l *FollowedLease) ResignTxn(now time.Time, note json.RawMessage) (amrplatform.Txn, bool) {
	if _, held := l.Held(now); !held || !l.sentAt.IsZero() {
		return amrplatform.Txn{}, false
	}
	l.validUntil = time.Time{}
	return l.newTxn(now, followedValue{Host: l.host, Incarnation: l.incarnation, Fence: l.value.Fence, Resigned: true, Note: note}), true
}

// newTxn returns the transaction that writes the next value if the item is
// still at the version last seen, and records that it is in flight.
func (l *FollowedLease) newTxn(now time.Time, next followedValue) amrplatform.Txn {
	data, err := json.Marshal(next)
	if err != nil {
		panic(err) // Strings, numbers and valid JSON are always encodable.
	}
	l.sentAt = now
	l.inFlight = next
	return amrplatform.Txn{
		Checks: []amrplatform.Check{{Key: l.Key(), Version: l.observed.Version}},
		Puts:   []amrplatform.Put{{Key: l.Key(), Value: data}},
	}
}

// mayAcquire reports whether this host may write the lease: it was the last holder,
// or the last holder's lease has expired. If there has been no holder in this era,
// any lease of an earlier one must have expired.
func (l *FollowedLease) mayAcquire(now time.Time) bool {
	if l.observed.Version == 0 {
		return !now.Before(l.freeFrom)
	}
	return l.value.Host == l.host || !now.Before(l.Expiry())
}

// TxnDone processes the result of the transaction txn that AcquireTxn or ResignTxn
// returned: the era of the table and the version of the item that it wrote, or the
// error. If the outcome is unknown, the next version of the item shows whether it
// was applied. A transaction that was applied in a later era than the one in which
// it was sent acquires nothing.
func (l *FollowedLease) TxnDone(now time.Time, txn amrplatform.Txn, era, version uint64, err error) {
	sentAt := l.sentAt
	l.sentAt = time.Time{}
	if err != nil {
		return
	}
	l.SetEra(now, era)
	if txn.Puts[0].Key != l.Key() || version <= l.observed.Version {
		return
	}
	l.observed.Version = version
	l.observedAt = now
	l.value = l.inFlight
	l.validUntil = sentAt.Add(l.ttl)
}

// RenewalDue reports whether the item names this process as the holder and less
// than half of the TTL remains, so that it must renew the lease to keep it. It
// does not check whether the process has resigned.
func (l *FollowedLease) RenewalDue(now time.Time) bool {
	return l.isHolder() && now.Add(l.ttl/2).After(l.validUntil)
}
