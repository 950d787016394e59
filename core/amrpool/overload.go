package amrpool

import (
	"math"
	"time"
)

const (
	// meanWaitTimeConstant is the time constant of the exponential moving
	// average of the wait in a pool. It is long enough to tolerate short waits,
	// such as those while some servers load weights.
	meanWaitTimeConstant = 1500 * time.Millisecond

	// overloadShare is the mean wait in a pool, as a share of the request's
	// maximum wait, from which the pool counts as overloaded.
	overloadShare = 0.3

	// urgentWaitFactor is the factor by which the wait of an urgent request may
	// exceed its maximum wait.
	urgentWaitFactor = 2

	// minLimitShare and waitSumShare determine the limit on the wait of a
	// request in an overloaded pool, as shares of its maximum wait. The
	// request's wait and the mean wait of the pool together may be at most
	// waitSumShare, but the limit does not fall below minLimitShare, however
	// long the mean wait is.
	minLimitShare = 0.5
	waitSumShare  = 0.9
)

// waitKey identifies the servers over which a wait is averaged: a group of a pool.
type waitKey struct {
	pool  string
	group Group
}

// meanWait is the exponential moving average of the wait in a pool.
type meanWait struct {
	wait time.Duration
	at   time.Time // Time of the last update.
}

// admit decides on the request by urgency if its pool does so. If the server with the
// lowest cost has no room, it returns the one with the lowest cost among those that
// have. If there is none, it returns the denial.
func (f *Fleet) admit(now time.Time, r *Request, best candidate, eligible []*server, p *prompt) (candidate, Denial, bool) {
	if !f.byUrgency(r.Pool) {
		denial, refused := f.overloaded(now, r, best, eligible)
		return best, denial, refused
	}
	d := f.demandOf(now, r)
	first := f.decide(now, r, best, d, len(eligible))
	if first.admitted {
		return best, Denial{}, false
	}
	other := candidate{}
	for _, s := range eligible {
		c := f.evaluate(now, r, s, p)
		if (other.server == nil || c.cost < other.cost) && f.fits(now, r, s) && f.decide(now, r, c, d, len(eligible)).admitted {
			other = c
		}
	}
	if other.server != nil {
		return other, Denial{}, false
	}
	serverTime := f.serverTime(r, best)
	d.record(r, serverTime, false)
	return best, Denial{
		Reason: Overloaded, Server: best.server.Name, Wait: first.wait.time, Short: first.wait.short,
		Pause: d.takeTurn(now, first.wait.time-first.limit, serverTime, len(eligible)),
	}, true
}

// overloaded reports whether the pool is overloaded and the request would wait
// too long at the selected server. If so, it also returns the denial.
func (f *Fleet) overloaded(now time.Time, r *Request, c candidate, eligible []*server) (Denial, bool) {
	if r.MaxWait <= 0 {
		return Denial{}, false
	}
	maxWait := r.MaxWait.Seconds()
	if r.Urgent {
		maxWait *= urgentWaitFactor
	}
	mean := f.updateMeanWait(now, waitKey{r.Pool, r.Group}, eligible)
	if mean.Seconds() < overloadShare*maxWait {
		return Denial{}, false
	}
	limit := min(maxWait, max(minLimitShare*maxWait, waitSumShare*maxWait-mean.Seconds()))
	wait := f.pendingTime(c.server)
	return Denial{Reason: Overloaded, Server: c.server.Name, Wait: wait, MeanWait: mean}, wait.Seconds() > limit
}

// updateMeanWait adds the current wait at the servers to the mean wait of their
// group and returns the result. For an explanation, it only returns it.
func (f *Fleet) updateMeanWait(now time.Time, key waitKey, servers []*server) time.Duration {
	wait := time.Duration(0)
	for _, s := range servers {
		wait += f.pendingTime(s)
	}
	wait /= time.Duration(len(servers))
	mean := f.meanWaits[key]
	decay := 0.0
	if !mean.at.IsZero() {
		decay = math.Exp(-now.Sub(mean.at).Seconds() / meanWaitTimeConstant.Seconds())
	}
	mean.wait = wait + time.Duration(decay*float64(mean.wait-wait))
	mean.at = now
	if !f.explaining {
		f.meanWaits[key] = mean
	}
	return mean.wait
}
