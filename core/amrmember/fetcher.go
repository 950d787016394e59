package amrmember

import (
	"math/rand/v2"
	"time"
)

// Fetcher schedules periodic fetches of data that many processes read from the
// same service. It spreads the fetches of processes that start at the same
// time, coalesces requests for an early fetch, and backs off while fetches fail.
// It is not safe for concurrent use.
type Fetcher struct {
	rand      *rand.Rand
	interval  time.Duration
	spread    time.Duration
	next      time.Time
	last      time.Time     // Start of the last fetch.
	jitter    time.Duration // Delay of a requested fetch. It is drawn once for each fetch, so that many requests do not shorten it.
	running   bool
	requested bool // A fetch was requested while one was running.
	failures  int  // Consecutive failed fetches.
}

// NewFetcher returns a Fetcher whose first fetch is due at a random time within
// spread after start. Later fetches are due after a random time between 3/4 and
// 5/4 of the interval.
func NewFetcher(start time.Time, interval, spread time.Duration, r *rand.Rand) *Fetcher {
	f := &Fetcher{rand: r, interval: interval, spread: spread, last: start.Add(-spread)}
	f.jitter = f.randomUpTo(spread)
	f.next = start.Add(f.jitter)
	return f
}

// SetInterval sets the mean time between fetches. It does not change the time of
// the next fetch.
func (f *Fetcher) SetInterval(interval time.Duration) {
	f.interval = interval
}

// Next returns the time at which the next fetch is due.
func (f *Fetcher) Next() time.Time {
	return f.next
}

// TryStart reports whether a fetch is due and none is running. If so, it
// records that the fetch has started, and the caller must report its end with
// Done.
func (f *Fetcher) TryStart(now time.Time) bool {
	if f.running || now.Before(f.next) {
		return false
	}
	f.running = true
	f.requested = false
	f.last = now
	f.jitter = f.randomUpTo(f.spread)
	return true
}

// RequestFetch requests an early fetch. The fetch is due after a random delay of
// at most the spread, counted from now or from one spread after the start of the
// last fetch, whichever is later. A request during a fetch takes effect when the
// fetch has ended. RequestFetch does not shorten the delay after a failed fetch.
func (f *Fetcher) RequestFetch(now time.Time) {
	if f.running {
		f.requested = true
		return
	}
	if f.failures > 0 {
		return
	}
	earliest := now
	if after := f.last.Add(f.spread); after.After(earliest) {
		earliest = after
	}
	if soon := earliest.Add(f.jitter); soon.Before(f.next) {
		f.next = soon
	}
}

// Done records the end of the fetch that TryStart started. If err is not nil,
// the next fetch is due after a random delay whose maximum grows with the number
// of consecutive failures, from a few times the spread up to about the interval.
func (f *Fetcher) Done(now time.Time, err error) {
	f.running = false
	if err != nil {
		f.failures++
		f.next = now.Add(f.spread/2 + f.randomUpTo(exponentialBackoff(f.spread, f.failures, f.interval)))
		return
	}
	f.failures = 0
	f.next = now.Add(f.interval*3/4 + f.randomUpTo(f.interval/2))
	if f.requested {
		f.RequestFetch(now)
	}
}

// randomUpTo returns a random duration between 0 and d.
func (f *Fetcher) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d) + 1))
}
