package amrpool

import (
	"math"
	"time"
)

const (
	// chunkTokens is the number of prompt tokens that an engine reads at once, which a
	// more urgent request does not interrupt.
	chunkTokens = 2048

	// waitMargin is the share of a request's wait limit that its expected wait may take.
	// It is below 1 because half of the requests wait longer than expected.
	waitMargin = 0.6
)

// Shortage is the resource of which the servers had too little for a refused request.
type Shortage int

// The shortages.
const (
	ShortOfNothing  Shortage = iota // Admission by urgency did not refuse the request.
	ShortOfPrefill                  // Too many prompt tokens of the same or higher urgency are to be processed.
	ShortOfSlots                    // Too many requests hold or wait for slots.
	ShortOfMemory                   // Too many tokens are held.
	ShortOfFairPart                 // The team has more than its fair part and would wait too long.
	ShortOfReports                  // Servers may have memory, but their reports tell too little of other routers' requests.
)

// String returns the text of the shortage in logs.
func (s Shortage) String() string {
	return [...]string{"nothing", "prefill", "slots", "memory", "fair-part", "reports"}[min(max(s, 0), ShortOfReports)]
}

// WithAdmissionByUrgency lets all pools admit requests by urgency. By default, only
// pools do so of which a server has reported its pace.
func WithAdmissionByUrgency() Option {
	return func(f *Fleet) { f.allByUrgency = true }
}

// byUrgency reports whether the pool admits requests by urgency.
func (f *Fleet) byUrgency(pool string) bool {
	return f.allByUrgency || f.paced[pool]
}

// AdmitsByUrgency reports whether the pool admits requests by urgency.
func (f *Fleet) AdmitsByUrgency(pool string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byUrgency(pool)
}

// expectedWait is the wait that a request is expected to have at a server, and why.
type expectedWait struct {
	time  time.Duration
	short Shortage
}

// waitAt returns the expected wait of the request at the server until its prompt is read.
// It waits for the prompt tokens of the same or higher urgency and a chunk that is being
// read, and meanwhile for a slot and for memory.
func (f *Fleet) waitAt(now time.Time, r *Request, s *server) expectedWait {
	wait := expectedWait{f.slotWait(now, r, s), ShortOfSlots}
	if r.Model == "" {
		return wait
	}
	ahead, behind := sumUpTo(&s.occupancy.pending, r.priority())
	if read := f.prefillTime(s, float64(ahead+min(behind, chunkTokens))); read > wait.time {
		wait = expectedWait{read, ShortOfPrefill}
	}
	if memory := f.memoryWait(now, r, s); memory > wait.time {
		wait = expectedWait{memory, ShortOfMemory}
	}
	return wait
}

// slotWait returns the time until the server has a slot for the request, after those that
// wait for one and are as urgent or more. Requests of other routers count as such.
func (f *Fleet) slotWait(now time.Time, r *Request, s *server) time.Duration {
	slots := float64(s.slots())
	if slots == 0 {
		return 0
	}
	others := s.otherRequests(now)
	waiting := float64(s.inFlight) + others - slots
	if waiting < 0 {
		return 0
	}
	ahead, _ := sumUpTo(&s.occupancy.unbegun, r.priority())
	needed := min(waiting, float64(ahead)+others) + 1
	return max(seconds(needed/slots*f.slotHold(s)), s.occupancy.answers.untilSlots(now, int(needed)))
}

// memoryWait returns the time until the server has memory for the request, after those
// that wait for some and are as urgent or more.
func (f *Fleet) memoryWait(now time.Time, r *Request, s *server) time.Duration {
	bound := f.cacheTokens(r.Pool)
	if bound == 0 {
		return 0
	}
	m := &s.occupancy.memory
	need := m.need(r)
	missing := m.tokens + need - bound
	if missing <= 0 {
		return 0
	}
	missing -= s.occupancy.heldLater(r.priority(), m.tokens-bound)
	if missing <= 0 {
		return 0
	}
	mean := seconds(float64(missing) / float64(bound) * f.tokenHold(s, need))
	return max(mean, s.occupancy.answers.untilTokens(now, missing))
}

// seconds returns the duration of the given number of seconds.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// roomCost returns the cost of the wait for a slot or for memory, which the cost of
// pending prompt tokens does not include.
func (f *Fleet) roomCost(now time.Time, r *Request, s *server) time.Duration {
	if !f.byUrgency(r.Pool) {
		return 0
	}
	cost := f.slotWait(now, r, s)
	if r.Model != "" {
		cost = max(cost, f.memoryWait(now, r, s))
	}
	return cost
}

// serverTime returns the time in seconds for which the request takes up the server: of
// its prefill, its slot or its memory, whichever is the largest part.
func (f *Fleet) serverTime(r *Request, c candidate) float64 {
	total := 0.0
	if slots := c.server.slots(); slots > 0 {
		total = f.slotHold(c.server) / float64(slots)
	}
	if r.Model == "" {
		return total
	}
	total = max(total, f.prefillTime(c.server, c.work.prefill).Seconds())
	if bound := f.cacheTokens(r.Pool); bound > 0 {
		need := c.server.occupancy.memory.need(r)
		total = max(total, f.tokenHold(c.server, need)*float64(need)/float64(bound))
	}
	return total
}

// waitLimit returns how long the request may wait at the server so that its answer begins
// within its goal and ends before its caller's deadline. Its own prefill is deducted from
// the goal, and its run from the time left, but at least minLimitShare of the goal remains,
// so that prompts are not refused for their size. Its run counts for at most that share of
// the time left, because the mean time for which slots are held may exceed its own.
func (f *Fleet) waitLimit(r *Request, c candidate) time.Duration {
	limit := time.Duration(math.MaxInt64)
	own := f.prefillTime(c.server, c.work.prefill)
	if goal := max(r.MaxWait, r.Goal); goal > 0 {
		limit = max(goal-own, time.Duration(minLimitShare*float64(goal)))
	}
	if r.TimeLeft > 0 {
		run := min(own+seconds(f.slotHold(c.server)), time.Duration(minLimitShare*float64(r.TimeLeft)))
		limit = min(limit, r.TimeLeft-run)
	}
	return limit
}

// admission is the decision on a request at a server.
type admission struct {
	wait     expectedWait
	limit    time.Duration
	admitted bool
}

// waitBehind returns the expected wait of the request at the server, which is longer by
// the time of the more urgent requests that arrive meanwhile.
func (f *Fleet) waitBehind(now time.Time, r *Request, s *server, d *groupDemand, servers int) expectedWait {
	wait := f.waitAt(now, r, s)
	wait.time = time.Duration(float64(wait.time) / (1 - d.reserve(r.priority(), servers)))
	return wait
}

// decide decides whether the server is expected to begin with the request in time. The
// expected wait is corrected by the error of the last predictions. The limit is lower for
// a team with more than its fair part.
func (f *Fleet) decide(now time.Time, r *Request, c candidate, d *groupDemand, servers int) admission {
	wait := f.waitBehind(now, r, c.server, d, servers)
	wait.time = time.Duration(float64(wait.time) * f.waitFactor(c.server))
	limit := time.Duration(waitMargin * float64(f.waitLimit(r, c)))
	if d.starves(r.priority(), servers) && c.server.yields(now, r.priority()) {
		limit = 0
	}
	fairLimit := time.Duration(unfairShare * float64(limit))
	if wait.time > fairLimit && wait.time <= limit && d.aboveFairPart(r.teamID()) {
		return admission{expectedWait{wait.time, ShortOfFairPart}, fairLimit, false}
	}
	return admission{wait, limit, wait.time <= limit}
}

// recordAdmitted records a request that a server was selected for. It returns the time
// after which its answer is predicted to begin, or 0 if there is no prediction.
func (f *Fleet) recordAdmitted(now time.Time, r *Request, c candidate, servers int) time.Duration {
	if !f.byUrgency(r.Pool) {
		return 0
	}
	d := f.demandOf(now, r)
	predicted := f.waitBehind(now, r, c.server, d, servers).time + f.prefillTime(c.server, c.work.prefill)
	d.record(r, f.serverTime(r, c), true)
	return predicted
}
