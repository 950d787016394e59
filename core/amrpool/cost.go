package amrpool

import "time"

// Cost is what the estimated cost of running a request at a server consists of.
type Cost struct {
	Prompt   time.Duration // Time to process the prompt after the pending ones, and the cost of duplicate parts.
	Progress time.Duration // Time that the server has probably spent on the prompt that it is computing, which is deducted.
	Requests time.Duration // Cost of the requests in progress.
	Memory   time.Duration // Cost of little free memory.
	Room     time.Duration // Wait for a slot or for memory, with admission by urgency.
	Zone     time.Duration // Cost of another availability zone.
	Weights  time.Duration // Cost of outdated weights.
	Faults   time.Duration // Cost of recent faults.
}

// Total returns the sum, by which servers are compared.
func (c Cost) Total() time.Duration {
	return c.Prompt - c.Progress + c.Requests + c.Memory + c.Room + c.Zone + c.Weights + c.Faults
}

// costOf estimates the cost of running the request at the server, where it requires the
// given work.
func (f *Fleet) costOf(now time.Time, r *Request, s *server, w work) Cost {
	var c Cost
	load := f.requests(now, s)
	if r.Model == "" {
		c.Requests = f.slotsCost(r, s, load)
	} else {
		c.Prompt = f.prefillTime(s, w.prefill-w.copied+float64(s.pendingTokens)+w.duplicate*duplicateWeight)
		c.Requests = time.Duration(load * float64(f.requestCost(s)))
		c.Progress = f.progress(s)
		if bound := f.cacheTokens(r.Pool); bound > 0 && s.heldTokens+r.PromptTokens > int(memoryFullShare*float64(bound)) {
			c.Memory = memoryFullCost
		}
	}
	c.Room = f.roomCost(now, r, s)
	c.Zone = f.zoneCost(r, s)
	if f.staleFor(now, s, r.Model) >= f.stale.After {
		c.Weights = staleCost
	}
	c.Faults = time.Duration(s.faultScore(now) * float64(faultCost))
	return c
}

// excess returns the part of the cost that a request would not have at an idle server that
// has to process as many of its tokens.
func (f *Fleet) excess(s *server, cost time.Duration, prefillTokens int) time.Duration {
	return max(0, cost-f.prefillTime(s, float64(prefillTokens)))
}
