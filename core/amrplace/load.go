package amrplace

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate is the assumed prefill rate of an engine, in tokens
	// per second, until its sidecar has reported the rate.
	defaultPrefillRate = 20_000

	// reportDecay is the time constant with which the influence of a load
	// report on the expected wait decays.
	reportDecay = time.Second

	// meanSmoothing is the weight of a report in the moving average of the wait
	// over all backend servers.
	meanSmoothing = 0.05

	// notInView is the position of a server that is not in the view.
	notInView = -1
)

// Load is the load of a backend server as reported by its sidecar.
type Load struct {
	EngineIncarnation string
	Wait              time.Duration // Expected wait of a request whose prompt is fully cached.
	WaitingTokens     int           // Prompt tokens accepted and not computed yet.
	Running           int           // Requests that are running.
	Queued            int           // Requests that are queued.
	BatchLimit        int           // Requests that can run at the same time.
	PrefillRate       float64       // Tokens per second.
}

// server is the state of a backend server as known to the placer.
type server struct {
	name     string
	zone     string
	slot     uint32 // Position in the slots of the placer.
	epoch    uint32 // Identifies the cache of the engine; a new engine gets a new epoch.
	position int    // Position in the view, or notInView.
	engine   string // Incarnation of the engine; empty if it is unknown.

	reported    bool          // The engine's load has been reported.
	reportedAt  time.Time     // Time of the last report.
	wait        time.Duration // Expected wait at the time of the last report.
	prefillRate float64       // Prefill rate in tokens per second.
	requests    int           // Running and queued requests in the last report.
	pending     int           // Uncached tokens of dispatches of this placer without a reply.
	inFlight    int           // Dispatches of this placer without a reply.

	lastDispatch uint64 // The decision that last dispatched a request to the server.

	// decision is the number of the last decision that had the server as a
	// candidate. The fields after it belong to this decision.
	decision      uint64
	learnedBlocks int     // Leading blocks of the prompt that the server is known to hold.
	hashedBlocks  float64 // Leading blocks of the prompt that hashing predicts on the server.
	source        Source
}

// RecordDispatched records that the request is sent to the candidate. The
// caller must then call RecordAccepted, RecordDeclined or RecordNoReply with
// the same candidate.
func (p *Placer) RecordDispatched(c Candidate) {
	s := p.byName[c.Name]
	if s == nil {
		return
	}
	s.pending += c.UncachedTokens
	s.inFlight++
	s.lastDispatch = p.decisions
}

// RecordNoReply records that the candidate did not reply to the request.
func (p *Placer) RecordNoReply(c Candidate) {
	if s := p.byName[c.Name]; s != nil {
		s.release(c)
	}
}

// RecordLoad records a load report of a backend server.
func (p *Placer) RecordLoad(now time.Time, name string, l Load) {
	if s := p.byName[name]; s != nil {
		p.updateLoad(now, s, l)
	}
}

// updateLoad sets the load of the server, and clears the state of its previous
// engine if the engine has restarted.
func (p *Placer) updateLoad(now time.Time, s *server, l Load) {
	p.updateEngine(s, l.EngineIncarnation)
	if l.PrefillRate > 0 {
		s.prefillRate = l.PrefillRate
	}
	s.reported = true
	s.reportedAt = now
	s.wait = max(l.Wait, s.prefillTime(l.WaitingTokens))
	s.requests = l.Running + l.Queued
	p.mean.observe(s.wait)
}

// release removes the request that RecordDispatched counted as one without a
// reply.
func (s *server) release(c Candidate) {
	s.pending = max(s.pending-c.UncachedTokens, 0)
	s.inFlight = max(s.inFlight-1, 0)
}

// prefillTime returns the time that the engine needs to compute the tokens.
func (s *server) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.prefillRate * float64(time.Second))
}

// expectedWait returns the expected wait of a request that arrives at time now.
// With the age of the last report, it moves from the reported wait to the mean
// over all backend servers. The mean is randomized, so that several routers do
// not all choose the same server as the one with the shortest wait.
func (p *Placer) expectedWait(now time.Time, s *server) time.Duration {
	own := s.prefillTime(s.pending)
	if !s.reported {
		return own + p.randomizedMean(1)
	}
	age := now.Sub(s.reportedAt)
	weight := math.Exp(-float64(age) / float64(reportDecay))
	remaining := max(s.wait-age, 0)
	return own + time.Duration(weight*float64(remaining)) + p.randomizedMean(1-weight)
}

// randomizedMean returns the share of the mean wait, multiplied by a random
// factor between 0.5 and 1.5.
func (p *Placer) randomizedMean(share float64) time.Duration {
	return time.Duration(share * (0.5 + p.random.Float64()) * float64(p.mean.value))
}

// average is an exponential moving average of durations. It begins at zero: the
// first report is that of a single server, which may be the only busy one.
type average struct {
	value time.Duration
}

func (a *average) observe(d time.Duration) {
	a.value += time.Duration(meanSmoothing * float64(d-a.value))
}
