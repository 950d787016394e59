package amrpool

import (
	"maps"
	"slices"
	"time"

	"amaranthreach.example/core/amrcapacity"
)

// requestSteps is the cost of each request in progress at a server whose step time is
// known, in steps of the server.
const requestSteps = 0.1

// kneeWeight is the cost of a request beyond the knee of a server, as a multiple of that
// of other requests, in addition to it.
const kneeWeight = 3.0

// poolCapacity is the learned capacity of the servers of a pool. There is one for each
// pool in which a server has reported a pace or, if all pools admit requests by urgency,
// its load. The servers of other pools count as equally fast; see prefillRate.
type poolCapacity struct {
	learned  *amrcapacity.Pool
	requests uint64    // Number of requests that were observed; the last one's ID.
	now      time.Time // Time of the last event.
}

// capacityKey returns the key of the incarnation of the server.
func (s *server) capacityKey() amrcapacity.Server {
	return amrcapacity.Server{ID: uint32(s.id), Started: s.Started.UnixNano()}
}

// capacityOf returns the learned capacity of the pool as of now, or nil if it is not
// learned.
func (f *Fleet) capacityOf(now time.Time, pool string) *poolCapacity {
	c := f.capacities[pool]
	if c != nil && now.After(c.now) {
		c.now = now
	}
	return c
}

// estimate returns the estimated capacity of the server. It returns false if the capacity
// of its pool is not learned.
func (f *Fleet) estimate(s *server) (amrcapacity.Estimate, bool) {
	c := f.capacities[s.Pool]
	if c == nil {
		return amrcapacity.Estimate{}, false
	}
	return c.learned.Estimate(c.now, s.capacityKey()), true
}

// observeSent records that this router selected the server for the request. Requests that
// another router placed are not observed, because this router does not know what else
// that router has placed there.
func (c *Choice) observeSent(now time.Time, r *Request) {
	p := c.fleet.capacityOf(now, r.Pool)
	if p == nil || r.Model == "" || r.Uncoordinated {
		return
	}
	p.requests++
	c.capacityID, c.outputTokens = p.requests, r.OutputTokens
	fetched := c.fetchedTokens(now)
	p.learned.Record(now, amrcapacity.Sent{
		Server: c.server.capacityKey(), Request: c.capacityID,
		Tokens: c.PrefillTokens - fetched, Fetches: 2*fetched > c.PrefillTokens,
	})
}

// fetchedTokens returns the number of tokens that the server fetches instead of computing
// them.
func (c *Choice) fetchedTokens(now time.Time) int {
	if c.FetchFrom == "" {
		return 0
	}
	p := c.prompt
	have := min(c.server.parts.recentDepth(now.Add(-cachedPartTTL), p.keys), p.shared)
	return sumTokens(p.parts[have:max(have, p.fetchable(c.server))])
}

// observeResponse records that the server has begun to respond, and the pace that it
// reported.
func (c *Choice) observeResponse(now time.Time, load *Load) {
	f := c.fleet
	if load != nil && (load.Pace > 0 || f.allByUrgency) && f.capacities[c.server.Pool] == nil {
		f.capacities[c.server.Pool] = &poolCapacity{learned: amrcapacity.New(f.prefillRate)}
	}
	p := f.capacityOf(now, c.server.Pool)
	if p == nil || c.capacityID == 0 {
		return
	}
	o := amrcapacity.Responded{Server: c.server.capacityKey(), Request: c.capacityID, OutputTokens: c.outputTokens}
	if load != nil {
		o.Running, o.Pace = load.Running, load.Pace
	}
	p.learned.Record(now, o)
}

// observeEnd records the end of the request.
func (c *Choice) observeEnd(now time.Time, result Result) {
	p := c.fleet.capacityOf(now, c.server.Pool)
	if p == nil || c.capacityID == 0 {
		return
	}
	var o amrcapacity.Observation = amrcapacity.Dropped{Server: c.server.capacityKey(), Request: c.capacityID, Held: result == Canceled}
	if result == Completed {
		o = amrcapacity.Ended{Server: c.server.capacityKey(), Request: c.capacityID}
	}
	p.learned.Record(now, o)
}

// prefillTime returns the time that the server needs to process the prompt tokens.
func (f *Fleet) prefillTime(s *server, tokens float64) time.Duration {
	rate, pace := f.prefillRate, 1.0
	if e, ok := f.estimate(s); ok {
		rate, pace = e.PrefillRate, e.Pace
	}
	return time.Duration(tokens / rate * pace * float64(time.Second))
}

// progress returns the time that the server has probably spent on the prompt that it is
// computing, at its current pace.
func (f *Fleet) progress(s *server) time.Duration {
	e, ok := f.estimate(s)
	if !ok {
		return 0
	}
	return time.Duration(float64(e.Progress) * e.Pace)
}

// pendingTime returns the time that the server needs to process the prompt tokens that
// are not known to be processed.
func (f *Fleet) pendingTime(s *server) time.Duration {
	return max(0, f.prefillTime(s, float64(s.pendingTokens))-f.progress(s))
}

// requestCost returns the cost of each request in progress at the server.
func (f *Fleet) requestCost(s *server) time.Duration {
	e, ok := f.estimate(s)
	if !ok {
		return requestCost
	}
	factor := e.Pace * max(1, e.StepFactor)
	if beyond := s.inFlight - e.Knee; e.Knee > 0 && beyond > 0 {
		factor *= 1 + kneeWeight*float64(beyond)/float64(s.inFlight)
	}
	cost := requestCost
	if e.StepTime > 0 {
		cost = time.Duration(requestSteps * float64(e.StepTime))
	}
	return time.Duration(factor * float64(cost))
}

// ServerCapacity is the estimated capacity of a backend server.
type ServerCapacity struct {
	amrcapacity.Estimate
	Name string
	Pool string
}

// Capacities returns the estimated capacity of the servers of the pools whose capacity is
// learned.
func (f *Fleet) Capacities(now time.Time) []ServerCapacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	var capacities []ServerCapacity
	for _, pool := range slices.Sorted(maps.Keys(f.capacities)) {
		f.capacityOf(now, pool)
		for _, s := range f.pools[pool] {
			e, _ := f.estimate(s)
			capacities = append(capacities, ServerCapacity{Estimate: e, Name: s.Name, Pool: pool})
		}
	}
	return capacities
}
