// Package amrbytes accounts for the bytes that a router holds for its callers: bodies of
// requests, and parts of answers that their callers have not read yet.
//
// An Account bounds their sum. Three measures keep it, in this order: answers are read
// ahead of their callers only up to a share of the bound, new requests are refused when
// the others hold a share of it, and if requests that were admitted need more than the
// bound nonetheless, those that hold the most are broken off. The package does no I/O.
package amrbytes

import "sync"

const (
	// refuseShare is the share of the bound beyond which new requests are refused. What
	// is read ahead does not count, so that callers that read slowly do not cause the
	// requests of others to be refused. It is bounded by aheadShare. The rest is for
	// bodies that grow after their admission.
	refuseShare = 0.6
	aheadShare  = 0.3

	// maxShare is the share of the bound beyond which nothing is read ahead, whatever
	// holds the rest.
	maxShare = 0.9

	// At most 1/aheadParts of the bound, and at most maxAheadBytes, is read ahead of one
	// caller. Five callers that do not read can thus use up aheadShare of a small bound.
	aheadParts    = 16
	maxAheadBytes = 1 << 20
)

// RequestBytes is what a request in progress counts besides its body and its answer: the
// buffers of the connections to its caller (8 KiB) and its server (2 KiB), a buffer for
// copying (4 KiB) and the smallest stack of a goroutine (2 KiB). The resident memory of a
// process grows by about 40 KB for each, garbage included, for which the bound leaves room.
const RequestBytes = 16 << 10

// DefaultBound is a bound in bytes for a router whose memory is not known.
const DefaultBound = 64 << 20

// usualEventBytes is the size up to which an incomplete event is no sign of an event without
// end.
const usualEventBytes = 64 << 10

// Account bounds the bytes that are held. It is safe for concurrent use. Create it with
// New.
type Account struct {
	bound int64

	mu        sync.Mutex
	held      int64
	ahead     int64 // Part of held that was read ahead of callers.
	releasing int64 // Part of held that holders which were broken off are about to release.
	holders   map[*Holder]struct{}
	refusals  int64
	breaks    int64
}

// New returns an Account that bounds the sum of held bytes.
func New(bound int64) *Account {
	return &Account{bound: bound, holders: make(map[*Holder]struct{})}
}

// Stats are the present state of an Account and its counters.
type Stats struct {
	Bound    int64
	Held     int64
	Refusals int64 // Number of requests that were refused.
	Breaks   int64 // Number of holders that were broken off.
}

// Stats returns the present state and the counters.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{Bound: a.bound, Held: a.held, Refusals: a.refusals, Breaks: a.breaks}
}

// Open returns the holder of a new request that holds RequestBytes and n more bytes. It
// returns nil if the request must be refused. A request is always admitted when there is
// no other. The function breakOff is called at most once, if the request is to be broken
// off; it must not block. The caller must close the holder.
func (a *Account) Open(n int64, breakOff func()) *Holder {
	n += RequestBytes
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.holders) > 0 && float64(a.held-a.ahead+n) > refuseShare*float64(a.bound) {
		a.refusals++
		return nil
	}
	h := &Holder{account: a, bytes: n, breakOff: breakOff}
	a.holders[h] = struct{}{}
	a.held += n
	return h
}

// aheadLimit returns the number of bytes that may be read ahead of one caller.
func (a *Account) aheadLimit() int64 {
	return min(maxAheadBytes, a.bound/aheadParts)
}

// makeRoom breaks off holders until n more bytes for the holder are within the bound: first
// those with the largest incomplete events, then the largest. It returns the functions that
// break them off, to be called without the lock, and false if the holder itself is one of
// them. The caller must hold a.mu.
func (a *Account) makeRoom(h *Holder, n int64) (breakOff []func(), ok bool) {
	for a.held-a.releasing+n > a.bound {
		largest, most := h, h.size(n)
		for other := range a.holders {
			if size := other.size(0); !other.broken && size.exceeds(most) {
				largest, most = other, size
			}
		}
		largest.broken = true
		a.releasing += largest.bytes
		a.breaks++
		breakOff = append(breakOff, largest.breakOff)
		if largest == h {
			return breakOff, false
		}
	}
	return breakOff, true
}
