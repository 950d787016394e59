package amrpool

import "time"

// Result is the outcome of a request at a backend server.
type Result int

// The results.
const (
	Completed    Result = iota // The server sent a complete response.
	Rejected                   // The server had no capacity and did not run the request.
	WrongServer                // Another server answers at the address.
	WrongWeights               // The server holds another version of the weights.
	Unreachable                // No connection to the server could be established.
	Failed                     // The server failed, or its response was incomplete.
	Canceled                   // The router canceled the request because its caller left, its deadline passed or it had not begun in time.
	Withheld                   // The router did not send the request, because by then the server must not get it.
)

// String returns the text of the result in logs.
func (r Result) String() string {
	return [...]string{"completed", "rejected", "wrong-server", "wrong-weights", "unreachable", "failed", "canceled", "withheld"}[r]
}

// Observer is told of the progress of a request at its server.
type Observer interface {
	// ResponseStarted is called when the server has begun to respond. The load is
	// nil if the server reported none.
	ResponseStarted(load *Load)

	// Done is called when the request has ended.
	Done(result Result)
}

// SetObserver sets the observer of the request's progress.
func (c *Choice) SetObserver(o Observer) {
	c.observer = o
}

// Excess returns the part of the cost that the request would not have at an idle
// server that has to process as many of its tokens.
func (c *Choice) Excess() time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.excess(c.server, c.Cost, c.PrefillTokens)
}

// LeavesZone reports whether the server is in another availability zone than this router.
func (c *Choice) LeavesZone() bool {
	return c.server.AvailabilityZone != c.fleet.zone
}

// ResponseStarted records that the server began to respond, which means that it
// has completed the prefill of the prompt. The load is the one that the server
// reported in its response, or nil if it reported none.
func (c *Choice) ResponseStarted(now time.Time, load *Load) {
	if c.observer != nil {
		c.observer.ResponseStarted(load)
	}
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s := c.server
	s.answeredAt = now
	c.observeResponse(now, load)
	if load != nil {
		s.load = *load
		s.loadAt = now
		s.inFlightAtLoad = s.inFlight
		s.occupancy.memory.report(now, f.cacheTokens(s.Pool), s.earlierRequests(now))
		f.paced[s.Pool] = f.paced[s.Pool] || load.Pace > 0
	}
	c.recordStart(now)
	f.begin(now, c)
	if c.pendingReleased {
		return
	}
	c.pendingReleased = true
	s.pendingTokens -= c.PrefillTokens
	if s.version[c.model] == c.WeightsVersion {
		s.parts.add(now, c.prompt.keys, c.prompt.parts)
		f.recordCommon(s, c.WeightsVersion, c.prompt)
	}
	if c.SaveTo != "" {
		f.store.markSaved(now, c.WeightsVersion, c.prompt)
	}
}

// ObserveVersion records the version of the weights that the server reported in
// its response.
func (c *Choice) ObserveVersion(version int) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c.server.observeVersion(c.model, version)
}

// OutdatedFor returns for how long newer weights than those of the server have been declared,
// or 0 if it holds the newest ones as far as this router knows.
func (c *Choice) OutdatedFor(now time.Time) time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.staleFor(now, c.server, c.model)
}

// StartTimeLeft returns the time in which the request must begin at the server, as far as is
// known now. It is not positive if newer weights than those of the server have been declared
// for so long that it must not begin any more.
func (c *Choice) StartTimeLeft(now time.Time) time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.stale.Start - c.fleet.staleFor(now, c.server, c.model)
}

// Done records the end of the request at the server and its result.
func (c *Choice) Done(now time.Time, result Result) {
	if c.observer != nil {
		c.observer.Done(result)
	}
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s := c.server
	c.observeEnd(now, result)
	s.inFlight--
	s.heldTokens -= c.tokens
	if !c.pendingReleased {
		c.pendingReleased = true
		s.pendingTokens -= c.PrefillTokens
	}
	f.vacate(now, c, result)
	switch result {
	case Withheld:
		c.uncountLimited()
	case Completed:
		s.reduceFaults(now)
	case Rejected:
		s.avoid(now.Add(rejectedBackoff))
	case WrongServer:
		s.goneAt = now
	case Unreachable:
		if s.answeredAt.Before(c.selectedAt) { // Otherwise others reach the server.
			s.addFault(now, 1)
			s.avoid(now.Add(unreachableBackoff))
		}
	case Failed:
		s.addFault(now, 1)
	}
	if s.isGone(now) && s.inFlight == 0 && f.byName[s.Name] == s {
		f.remove(s)
	}
}
