package amrplace

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate is an engine's speed in tokens a second until its
	// sidecar tells.
	defaultPrefillRate = 20_000

	// relaxation is the time in which a load report loses most of its worth.
	relaxation = time.Second

	// meanSmoothing is the weight of a report in the mean of all.
	meanSmoothing = 0.05

	absent = -1
)

// Load is the state of a backend server as its sidecar reports it.
type Load struct {
	EngineIncarnation string
	Wait              time.Duration // Of a request with nothing to compute.
	WaitingTokens     int           // Prompt tokens accepted and not yet computed.
	Running           int
	Queued            int
	BatchLimit        int
	PrefillRate       float64 // Tokens a second.
}

// server is what the placer knows of a backend server.
type server struct {
	name     string
	zone     string
	slot     uint32
	epoch    uint32 // Of its engine's cache.
	position int    // In the view, or absent.
	engine   string

	known    bool
	at       time.Time // Of the last report.
	wait     time.Duration
	rate     float64
	requests int // Running and queued.
	pending  int // Tokens of own dispatches that have no reply yet.
	inFlight int // Own dispatches without a reply.

	dispatched uint64 // Decision that last sent it work.

	mark    uint64 // The decision that the next fields belong to.
	learned int
	hashed  float64
	source  Source
}

// Dispatched notes that the request goes to the candidate. A call of
// Accepted, Declined or Failed with the same candidate must follow.
func (p *Placer) Dispatched(c Candidate) {
	s := p.byName[c.Name]
	if s == nil {
		return
	}
	s.pending += c.UncachedTokens
	s.inFlight++
	s.dispatched = p.decisions
}

// Failed notes that no reply came.
func (p *Placer) Failed(c Candidate) {
	if s := p.byName[c.Name]; s != nil {
		s.settle(c)
	}
}

// Reported notes the load of a backend server.
func (p *Placer) Reported(now time.Time, name string, l Load) {
	if s := p.byName[name]; s != nil {
		p.report(now, s, l)
	}
}

func (p *Placer) report(now time.Time, s *server, l Load) {
	p.sawEngine(s, l.EngineIncarnation)
	if l.PrefillRate > 0 {
		s.rate = l.PrefillRate
	}
	s.known = true
	s.at = now
	s.wait = max(l.Wait, s.compute(l.WaitingTokens))
	s.requests = l.Running + l.Queued
	p.mean.observe(s.wait)
}

// settle takes back what Dispatched noted.
func (s *server) settle(c Candidate) {
	s.pending = max(s.pending-c.UncachedTokens, 0)
	s.inFlight = max(s.inFlight-1, 0)
}

// compute returns the time in which the engine computes the tokens.
func (s *server) compute(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.rate * float64(time.Second))
}

// expectedWait returns the wait of a request that arrives now. A report
// counts less with age: what it says drifts towards the mean, with a random
// part so that several routers do not all take one server for the idlest.
func (p *Placer) expectedWait(now time.Time, s *server) time.Duration {
	own := s.compute(s.pending)
	if !s.known {
		return own + p.uncertain(1)
	}
	age := now.Sub(s.at)
	worth := math.Exp(-float64(age) / float64(relaxation))
	left := max(s.wait-age, 0)
	return own + time.Duration(worth*float64(left)) + p.uncertain(1-worth)
}

func (p *Placer) uncertain(share float64) time.Duration {
	return time.Duration(share * (0.5 + p.random.Float64()) * float64(p.mean.value))
}

// average is a moving average of durations.
type average struct {
	value time.Duration
	begun bool
}

func (a *average) observe(d time.Duration) {
	if !a.begun {
		a.value, a.begun = d, true
		return
	}
	a.value += time.Duration(meanSmoothing * float64(d-a.value))
}
