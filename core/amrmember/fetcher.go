package amrmember

import (
	"math/rand/v2"
	"time"
)

// Fetcher decides when a process fetches something that many processes fetch
// from one place. It spreads the fetches of processes that start together,
// joins wishes for a fetch into one, and backs off while fetches fail. It is
// not safe for concurrent use.
type Fetcher struct {
	rand     *rand.Rand
	interval time.Duration
	spread   time.Duration
	next     time.Time
	last     time.Time     // Start of the last fetch.
	jitter   time.Duration // Pause of a wished fetch; drawn once for each fetch, so that many wishes do not shorten it.
	running  bool
	wanted   bool // A wish came in while a fetch was running.
	failures int
}

// NewFetcher returns a Fetcher that fetches every interval, give or take a
// quarter, and whose first fetch comes within the spread after the start.
func NewFetcher(start time.Time, interval, spread time.Duration, r *rand.Rand) *Fetcher {
	f := &Fetcher{rand: r, interval: interval, spread: spread, last: start.Add(-spread)}
	f.jitter = f.upTo(spread)
	f.next = start.Add(f.jitter)
	return f
}

// SetInterval sets the time between fetches from the next one on.
func (f *Fetcher) SetInterval(interval time.Duration) {
	f.interval = interval
}

// Next returns the time of the next fetch.
func (f *Fetcher) Next() time.Time {
	return f.next
}

// Due reports whether a fetch is to start, and if so notes that it has.
func (f *Fetcher) Due(now time.Time) bool {
	if f.running || now.Before(f.next) {
		return false
	}
	f.running = true
	f.wanted = false
	f.last = now
	f.jitter = f.upTo(f.spread)
	return true
}

// Want asks for a fetch soon: within the spread, and not sooner than the
// spread after the last one. It does not shorten a pause after a failure.
func (f *Fetcher) Want(now time.Time) {
	if f.running {
		f.wanted = true
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

// Done notes the end of the fetch that Due started.
func (f *Fetcher) Done(now time.Time, err error) {
	f.running = false
	if err != nil {
		f.failures++
		f.next = now.Add(f.spread/2 + f.upTo(doubled(f.spread, f.failures, f.interval)))
		return
	}
	f.failures = 0
	f.next = now.Add(f.interval*3/4 + f.upTo(f.interval/2))
	if f.wanted {
		f.Want(now)
	}
}

// upTo returns a random duration from 0 to d.
func (f *Fetcher) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d) + 1))
}
