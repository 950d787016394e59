package amrlimit

import (
	"slices"
	"time"
)

// turns are the times at which the callers of refused requests of a team may come back.
type turns struct {
	list []turn // In order of their times.
}

// turn is the time from which the credit for a refused request is there.
type turn struct {
	at       time.Time
	kept     float64 // Credit that is kept for the request. It may be less than the weight of the request.
	priority int
	caller   uint32
}

// add adds a turn.
func (t *turns) add(n turn) {
	i, _ := slices.BinarySearchFunc(t.list, n.at, func(a turn, at time.Time) int {
		if a.at.After(at) {
			return 1
		}
		return -1
	})
	t.list = slices.Insert(t.list, i, n)
}

// creditNeeded returns the credit that is needed now so that there is enough for each turn at
// its time if further credit accrues at the rate.
func (t *turns) creditNeeded(now time.Time, rate float64) float64 {
	most, sum := 0.0, 0.0
	for _, n := range t.list {
		sum += n.kept
		most = max(most, sum-rate*max(0, n.at.Sub(now).Seconds()))
	}
	return most
}

// lapse ends the turns whose callers did not come back in time.
func (t *turns) lapse(now time.Time) {
	n := 0
	for n < len(t.list) && now.Sub(t.list[n].at) > turnGrace {
		n++
	}
	t.list = slices.Delete(t.list, 0, n)
}

// indexOf returns the index of a turn of the caller whose time has come, or -1.
func (t *turns) indexOf(now time.Time, caller uint32) int {
	for i, n := range t.list {
		if n.at.After(now) {
			return -1
		}
		if n.caller == caller {
			return i
		}
	}
	return -1
}

// remove removes and returns a turn.
func (t *turns) remove(i int) turn {
	removed := t.list[i]
	t.list = slices.Delete(t.list, i, i+1)
	return removed
}

// has reports whether there is a turn of the same or a higher urgency.
func (t *turns) has(priority int) bool {
	return slices.ContainsFunc(t.list, func(n turn) bool { return n.priority <= priority })
}

// keptFor returns the credit of all turns of the same or a higher urgency.
func (t *turns) keptFor(priority int) float64 {
	sum := 0.0
	for _, n := range t.list {
		if n.priority <= priority {
			sum += n.kept
		}
	}
	return sum
}
