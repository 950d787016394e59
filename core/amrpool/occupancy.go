package amrpool

import "time"

// priorities is the number of priorities.
const priorities = 10

// occupancy is what the requests in flight at a server take of it, as far as this router
// sent or placed them, by their priority.
type occupancy struct {
	pending  [priorities]int // Prompt tokens that are not known to be processed.
	unbegun  [priorities]int // Requests whose answer is not known to have begun.
	waiting  [priorities]int // Memory that these take without shared parts, in tokens.
	memory   heldMemory
	selected heldMemory // The part of memory for which this router selected the server.
	slots    drain
	tokens   drain // Of memory.

	answers  answers
	accuracy accuracy
}

// charge is what a request takes of its server.
type charge struct {
	counted  bool
	priority int
	prefill  int
	own      int
	keys     []uint64 // Of its shared parts.
	selected bool     // This router selected the server.
	begun    bool
	output   int    // Expected number of generated tokens.
	answer   answer // The zero value until the answer has begun.

	at        time.Time
	predicted time.Duration // Time until its answer begins; 0 if this router did not predict it.
}

// poolDrains are the drains of all servers of a pool together.
type poolDrains struct {
	slots, tokens drain
	accuracy      accuracy
}

// priority returns the priority of the request within the known range.
func (r *Request) priority() int {
	return min(max(r.Priority, 0), priorities-1)
}

// sumUpTo returns the sum of the numbers of the priority and all more urgent ones, and
// the sum of the others.
func sumUpTo(numbers *[priorities]int, priority int) (upTo, others int) {
	for i, n := range numbers {
		if i <= priority {
			upTo += n
		} else {
			others += n
		}
	}
	return upTo, others
}

// heldLater returns the memory of the requests less urgent than the priority that wait
// because the requests at the server exceed its memory by the given number of tokens. If
// no others wait, they do so whole, each with the mean of those that have not begun.
func (o *occupancy) heldLater(priority, excess int) int {
	_, tokens := sumUpTo(&o.waiting, priority)
	ahead, requests := sumUpTo(&o.unbegun, priority)
	if excess <= 0 || requests == 0 {
		return 0
	}
	if ahead == 0 {
		mean := max(1, tokens/requests)
		excess = (excess + mean - 1) / mean * mean
	}
	return min(tokens, excess)
}

// occupy counts what the request takes of the chosen server, where its answer is predicted
// to begin after the given time. It follows count.
func (f *Fleet) occupy(now time.Time, c *Choice, r *Request, predicted time.Duration) {
	c.charge = charge{counted: true, priority: r.priority(), prefill: c.PrefillTokens, output: r.OutputTokens, at: now, predicted: predicted}
	o := &c.server.occupancy
	if r.Model != "" {
		c.charge.own, c.charge.keys = r.ownTokens(), r.PrefixKeys()[:r.shared()]
		o.memory.hold(now, r)
	}
	o.pending[c.charge.priority] += c.charge.prefill
	o.unbegun[c.charge.priority]++
	o.waiting[c.charge.priority] += c.charge.own
	f.observeDrains(now, c.server, 0, 0)
}

// begin records that the server has begun to answer the request.
func (f *Fleet) begin(now time.Time, c *Choice) {
	if c.charge.counted && !c.charge.begun {
		f.recordWait(now, c, true)
		c.server.occupancy.begin(&c.charge)
		f.expectEnd(now, c)
	}
}

// begin no longer counts the request among those whose answer has not begun.
func (o *occupancy) begin(c *charge) {
	if c.begun {
		return
	}
	c.begun = true
	o.pending[c.priority] -= c.prefill
	o.unbegun[c.priority]--
	o.waiting[c.priority] -= c.own
}

// vacate takes back occupy at the end of the request.
func (f *Fleet) vacate(now time.Time, c *Choice, result Result) {
	o := &c.server.occupancy
	if !c.charge.counted {
		return
	}
	ran := result == Completed || c.charge.begun
	if !ran && result == Canceled {
		f.recordWait(now, c, false)
	}
	o.begin(&c.charge)
	c.answerEnded()
	tokens := 0
	if c.model != "" {
		tokens = o.memory.release(now, c.charge.own, c.charge.keys)
	}
	if c.charge.selected {
		o.selected.release(now, c.charge.own, c.charge.keys)
	}
	c.charge.counted = false
	if ran {
		f.observeDrains(now, c.server, 1, float64(tokens))
	} else {
		f.observeDrains(now, c.server, 0, 0)
	}
}

// observeDrains records what of the server is in use and what came free.
func (f *Fleet) observeDrains(now time.Time, s *server, requests, tokens float64) {
	o := &s.occupancy
	inUse, held := float64(s.inFlight), float64(o.memory.tokens)
	if slots := s.slots(); slots > 0 {
		inUse = min(inUse, float64(slots))
	}
	if bound := f.cacheTokens(s.Pool); bound > 0 {
		held = min(held, float64(bound))
	}
	p := f.drainsOf(s.Pool)
	p.slots.add(now, o.slots.set(now, inUse), requests)
	p.tokens.add(now, o.tokens.set(now, held), tokens)
	o.slots.freed += requests
	o.tokens.freed += tokens
}

// slots returns the number of requests that the server runs concurrently: by its last
// report, or else by its listing. It is 0 if that is unknown.
func (s *server) slots() int {
	if !s.loadAt.IsZero() && s.load.Slots > 0 {
		return s.load.Slots
	}
	return s.Slots
}

// slotHold returns the time in seconds for which a request holds a slot of the server.
func (f *Fleet) slotHold(s *server) float64 {
	pool := f.drainsOf(s.Pool).slots.hold(priorHold.Seconds(), priorRequests)
	return s.occupancy.slots.hold(pool, priorRequests)
}

// tokenHold returns the time in seconds for which a request holds the memory of a token.
// The tokens that the request needs determine how much the prior counts.
func (f *Fleet) tokenHold(s *server, need int) float64 {
	units := float64(priorRequests * need)
	pool := f.drainsOf(s.Pool).tokens.hold(priorHold.Seconds(), units)
	return s.occupancy.tokens.hold(pool, units)
}
