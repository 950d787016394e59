package amrpool

import (
	"time"

	"amaranthreach.example/core/amrgossip"
)

// Result says what became of a request at a server.
type Result int

// The results.
const (
	Completed    Result = iota // The server's whole answer came.
	Rejected                   // The server was full and did not run it.
	WrongServer                // Another server has the address.
	WrongWeights               // The server holds other weights.
	Unreachable                // No connection was made.
	Failed                     // The server failed, or its answer broke off.
	Canceled                   // The router ended it, for its caller or its deadline.
)

// String returns the result as it appears in logs.
func (r Result) String() string {
	return [...]string{"completed", "rejected", "wrong-server", "wrong-weights", "unreachable", "failed", "canceled"}[r]
}

// Answered notes that the server began to answer, so that it has read the
// prompt, and what it said of its load; nil for nothing.
func (c *Choice) Answered(now time.Time, load *Load) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s := c.server
	if load != nil {
		s.load = *load
		s.loadAt = now
		s.ownAtLoad = s.inFlight
	}
	if c.started {
		return
	}
	c.started = true
	s.pendingTokens -= c.Missing
	if s.version[c.model] == c.Version {
		s.parts.add(now, c.prompt.keys, c.prompt.parts)
		s.filled += c.prompt.untold()
		f.notify(c.Version, c.prompt, 0, amrgossip.Cached, s.hash)
	}
	if c.SaveTo != "" {
		f.store.saved(now, c.Version, c.prompt)
		f.notify(c.Version, c.prompt, 0, amrgossip.Stored, c.prompt.store.hash)
	}
}

// SawVersion notes the version of the weights that the server answered with.
func (c *Choice) SawVersion(now time.Time, version int) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c.server.sawVersion(now, c.model, version)
}

// Done notes the end of the request at the server.
func (c *Choice) Done(now time.Time, result Result) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s := c.server
	s.inFlight--
	s.heldTokens -= c.tokens
	if !c.started {
		c.started = true
		s.pendingTokens -= c.Missing
	}
	switch result {
	case Completed:
		s.relieve(now)
	case Rejected:
		s.avoid(now.Add(busyFor))
	case WrongServer:
		s.gone = now
	case Unreachable:
		s.fault(now, 1)
		s.avoid(now.Add(refusedFor))
	case Failed:
		s.fault(now, 1)
	}
	if s.isGone(now) && s.inFlight == 0 && f.byName[s.Name] == s {
		f.remove(s)
	}
}
