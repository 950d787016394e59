package amrpool

import (
	"math"
	"time"
)

const (
	// pressureTime is the time over which the wait in a pool is averaged. Short
	// waits, as while some servers change their weights, are borne.
	pressureTime = 1500 * time.Millisecond

	// calmShare is the mean wait, as a share of the longest wait of a request, up
	// to which a pool is not overloaded.
	calmShare = 0.3

	// urgentWait is how much longer the queue before an urgent request may be.
	urgentWait = 2

	// pressedShare is the share of the longest wait that is left to requests of
	// a pool that is heavily overloaded, and spreadShare how far the wait of a
	// request and the mean may lie together.
	pressedShare = 0.5
	spreadShare  = 0.9
)

// pressure is the mean wait in a pool, averaged over time.
type pressure struct {
	wait time.Duration
	at   time.Time
}

// overloaded reports whether the request would wait too long at the chosen
// server while its pool is overloaded, and what that is judged by.
func (f *Fleet) overloaded(now time.Time, r Request, c candidate, eligible []*server) (Denial, bool) {
	if r.MaxWait <= 0 {
		return Denial{}, false
	}
	longest := r.MaxWait.Seconds()
	if r.Urgent {
		longest *= urgentWait
	}
	mean := f.press(now, r.Pool, eligible)
	if mean.Seconds() < calmShare*longest {
		return Denial{}, false
	}
	limit := min(longest, max(pressedShare*longest, spreadShare*longest-mean.Seconds()))
	wait := f.reading(float64(f.pending(now, c.server)))
	return Denial{Reason: Overloaded, Server: c.server.Name, Wait: wait, Mean: mean}, wait.Seconds() > limit
}

// press takes the waits of the servers into the mean of their pool, which it
// returns.
func (f *Fleet) press(now time.Time, pool string, servers []*server) time.Duration {
	tokens := 0
	for _, s := range servers {
		tokens += f.pending(now, s)
	}
	wait := f.reading(float64(tokens) / float64(len(servers)))
	p := f.pressures[pool]
	keep := 0.0
	if !p.at.IsZero() {
		keep = math.Exp(-now.Sub(p.at).Seconds() / pressureTime.Seconds())
	}
	p.wait = wait + time.Duration(keep*float64(p.wait-wait))
	p.at = now
	f.pressures[pool] = p
	return p.wait
}
