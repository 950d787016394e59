package amrorder

import (
	"slices"
	"time"
)

const (
	// priorPreparation and priorLoad are the times that a server is assumed to need
	// until it is ready to load and for the load, before a change has shown them.
	priorPreparation = 400 * time.Millisecond
	priorLoad        = 1100 * time.Millisecond

	// minLoadShare is the share of priorLoad after which a load slot may become free as
	// long as no load has ended. It is low because a load slot that stays free delays
	// the rollout.
	minLoadShare = 0.5

	// changeSampleWeight is the weight of the last change in the learned times.
	changeSampleWeight = 0.3
)

// learnedTime is the moving average of a time.
type learnedTime struct {
	mean  time.Duration
	known bool
}

// add adds a sample.
func (l *learnedTime) add(sample time.Duration) {
	if !l.known {
		l.mean, l.known = sample, true
		return
	}
	l.mean += time.Duration(changeSampleWeight * float64(sample-l.mean))
}

// estimate returns the average, or the prior if there was no sample.
func (l *learnedTime) estimate(prior time.Duration) time.Duration {
	if !l.known {
		return prior
	}
	return l.mean
}

// shortestLoad returns the time that a load takes at least, as far as it is known.
func (u *Upgrade) shortestLoad() time.Duration {
	return u.load.estimate(time.Duration(minLoadShare * float64(priorLoad)))
}

// loadSlots holds the times from which load slots are expected to be free.
type loadSlots []time.Time

// loadSlots returns the given number of slots as they are after the turns of all servers
// whose change is in progress. Servers that do not answer have no turn.
func (u *Upgrade) loadSlots(now time.Time, loads int) loadSlots {
	preparation, load := u.preparation.estimate(priorPreparation), u.shortestLoad()
	var slots loadSlots
	var ready []time.Time // Times at which servers are ready to load.
	for _, c := range u.running {
		switch {
		case c.reached(ChangeLoading):
			slots = append(slots, later(now, c.at[ChangeLoading].Add(load)))
		case c.reached(ChangeReady):
			ready = append(ready, now)
		case !c.silent(now):
			ready = append(ready, later(now, c.at[ChangePlanned].Add(preparation)))
		}
	}
	slices.SortFunc(slots, time.Time.Compare)
	slots = slots[max(0, len(slots)-loads):]
	for len(slots) < loads {
		slots = append(slots, now)
	}
	slices.SortFunc(ready, time.Time.Compare)
	for _, at := range ready {
		slots.take(at, load)
	}
	return slots
}

// first returns the time from which a slot is free.
func (s loadSlots) first() time.Time {
	return slices.MinFunc(s, time.Time.Compare)
}

// take takes the slot that is free first, for a load that begins at the given time or, if
// the slot is not free yet, later.
func (s loadSlots) take(at time.Time, load time.Duration) {
	first := s.first()
	s[slices.Index(s, first)] = later(at, first).Add(load)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ceilDiv returns a divided by b, rounded up.
func ceilDiv[T ~int | ~int64](a, b T) int {
	return int((a + b - 1) / b)
}
