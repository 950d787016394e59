package amrpool

import (
	"slices"
	"time"
)

// answer is an answer that a server has begun.
type answer struct {
	end    time.Time // Time at which it is expected to end.
	tokens int       // Memory that comes free then, without shared parts.
}

// answers are the answers that a server has begun, in the order of their ends. Under
// overload, requests that were admitted together begin and end together, so that slots
// and memory come free in groups: the mean rate at which they do says little about the
// next time.
type answers []answer

// compareEnd compares the end of the answer with the given time.
func compareEnd(a answer, end time.Time) int {
	return a.end.Compare(end)
}

// add adds an answer.
func (a *answers) add(b answer) {
	i, _ := slices.BinarySearchFunc(*a, b.end, compareEnd)
	*a = slices.Insert(*a, i, b)
}

// remove removes the answer.
func (a *answers) remove(b answer) {
	i, _ := slices.BinarySearchFunc(*a, b.end, compareEnd)
	for ; i < len(*a) && (*a)[i].end.Equal(b.end); i++ {
		if (*a)[i] == b {
			*a = slices.Delete(*a, i, i+1)
			return
		}
	}
}

// due returns the answers that are expected to end from now on. It is unknown when overdue
// ones end.
func (a answers) due(now time.Time) answers {
	i, _ := slices.BinarySearchFunc(a, now, compareEnd)
	return a[i:]
}

// untilSlots returns the time until n of the answers that are not overdue are expected to
// have ended, or 0 if there are fewer.
func (a answers) untilSlots(now time.Time, n int) time.Duration {
	due := a.due(now)
	if n <= 0 || n > len(due) {
		return 0
	}
	return due[n-1].end.Sub(now)
}

// untilTokens returns the time until those of the answers that are not overdue are expected
// to have ended which hold the given memory, or 0 if all of them hold less.
func (a answers) untilTokens(now time.Time, tokens int) time.Duration {
	for _, b := range a.due(now) {
		tokens -= b.tokens
		if tokens <= 0 {
			return b.end.Sub(now)
		}
	}
	return 0
}

// expectEnd records that the answer of the request has begun. It records nothing if it is
// unknown how long the server takes for a token.
func (f *Fleet) expectEnd(now time.Time, c *Choice) {
	e, ok := f.estimate(c.server)
	if !ok || e.StepTime == 0 || c.charge.output == 0 {
		return
	}
	run := time.Duration(float64(c.charge.output) * e.Pace * float64(e.StepTime))
	c.charge.answer = answer{end: now.Add(run), tokens: c.charge.own}
	c.server.occupancy.answers.add(c.charge.answer)
}

// answerEnded takes back expectEnd.
func (c *Choice) answerEnded() {
	if !c.charge.answer.end.IsZero() {
		c.server.occupancy.answers.remove(c.charge.answer)
	}
}
