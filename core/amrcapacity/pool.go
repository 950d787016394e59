package amrcapacity

import (
	"slices"
	"time"
)

const (
	// medianInterval is the minimum time between two computations of the pool's median.
	medianInterval = 100 * time.Millisecond

	// maxServerAge is the time after its last observation from which a server is forgotten,
	// and sweepInterval the minimum time between two searches for such servers.
	maxServerAge  = time.Minute
	sweepInterval = 10 * time.Second

	// estimateTTL is the time for which an estimate is used again if nothing is observed.
	// The selection of a server asks for each server's estimate several times.
	estimateTTL = 3 * time.Millisecond

	// maxRateFactor is the largest factor between the rate of a server and the median of
	// its pool, and maxLevelFactor between this median and the initial rate.
	maxRateFactor  = 8.0
	maxLevelFactor = 10.0

	// maxLate is the factor by which a prompt may take longer than expected before the
	// server counts as slower. Prompts differ, and estimates are not exact.
	maxLate = 1.5
)

// Pool learns the capacity of the servers of a pool. It is not safe for concurrent use.
// Create it with New.
type Pool struct {
	initial  float64       // Seconds for each prompt token before any observation.
	median   float64       // Median of the servers' seconds for each prompt token.
	overhead time.Duration // Median of the servers' overheads.
	latency  latency
	stepTime float64   // Median of the servers' step times in seconds; 0 if unknown.
	medianAt time.Time // Time at which these medians were computed.
	sweptAt  time.Time
	servers  map[Server]*serverState
}

// serverState is what was learned of a server.
type serverState struct {
	prefill   prefill
	overhead  overhead
	steps     steps
	pace      pace
	updatedAt time.Time

	estimate    Estimate // Computed at estimatedAt.
	estimatedAt time.Time
}

// Estimate is the estimated capacity of a server.
type Estimate struct {
	Observed    bool          // Whether requests at the server were observed; otherwise the estimates are the pool's medians.
	PrefillRate float64       // Prompt tokens per second at the usual pace.
	StepTime    time.Duration // Time for each generated token at the usual pace and the current load; 0 if unknown.
	StepFactor  float64       // StepTime as a multiple of the pool's median; 1 if unknown.
	Knee        int           // Number of requests from which steps slow down more than in proportion; 0 if none is known.
	Progress    time.Duration // Time that the server has probably spent on the prompt that it is computing, at the usual pace.
	Pace        float64       // How long work takes now, relative to the usual time.
}

// New returns a Pool without observations. Servers have the initial rate, in prompt
// tokens per second, until the first ones.
func New(initialRate float64) *Pool {
	return &Pool{
		initial: 1 / initialRate, median: 1 / initialRate, overhead: initialOverhead,
		servers: make(map[Server]*serverState),
	}
}

// Record applies an observation.
func (p *Pool) Record(now time.Time, o Observation) {
	p.sweep(now)
	switch o := o.(type) {
	case Sent:
		s := p.state(now, o.Server)
		s.prefill.sent(now, o)
	case Responded:
		p.recordResponse(now, o)
	case Ended:
		s := p.state(now, o.Server)
		if s.prefill.drop(o.Request) {
			break // The response went unnoticed.
		}
		s.steps.ended(now, o.Request, true, s.pace.reported(now), p.stepTime)
	case Dropped:
		s := p.state(now, o.Server)
		s.steps.ended(now, o.Request, false, s.pace.reported(now), p.stepTime)
		busy := s.prefill.busyTime(now, p.overhead)
		if s.prefill.drop(o.Request) && o.Held {
			left := s.prefill.busyTime(now, p.overhead)
			s.prefill.add(now, busy-left, 0, s.pace.at(now), p.medianTime(now))
		}
	}
}

// recordResponse applies the observation of a first token.
func (p *Pool) recordResponse(now time.Time, o Responded) {
	s := p.state(now, o.Server)
	s.pace.record(now, o.Pace)
	pace := s.pace.reported(now)
	s.steps.started(now, o, s.prefill.pendingCount())
	delivered, ok := s.prefill.deliver(now, o.Request, p.overhead, p.latency.estimate(p.medianTime(now)))
	if !ok {
		return
	}
	if !delivered.fetched {
		p.latency.record(firstToken{at: now, seconds: delivered.took.Seconds() / pace, tokens: float64(delivered.tokens)}, p.tokenTime(now, s))
	}
	s.overhead.record(now, s.prefill.observePeriod(delivered, pace))
	if delivered.known {
		s.prefill.add(now, delivered.busy, delivered.tokens, pace, p.medianTime(now))
	}
}

// Estimate returns the estimated capacity of the server.
func (p *Pool) Estimate(now time.Time, server Server) Estimate {
	s, ok := p.servers[server]
	if !ok {
		return Estimate{PrefillRate: 1 / p.medianTime(now), StepTime: time.Duration(p.stepTime * float64(time.Second)), StepFactor: 1, Pace: 1}
	}
	if now.Sub(s.estimatedAt) >= estimateTTL {
		s.estimate, s.estimatedAt = p.compute(now, s), now
	}
	return s.estimate
}

// Freeze returns a function that restores the computed medians and estimates, so that
// calls of Estimate in between change none of later ones. Nothing may be recorded before.
func (p *Pool) Freeze() (restore func()) {
	medians := *p
	states := make(map[*serverState]serverState, len(p.servers))
	for _, s := range p.servers {
		states[s] = *s
	}
	return func() {
		*p = medians
		for s, state := range states {
			s.estimate, s.estimatedAt = state.estimate, state.estimatedAt
		}
	}
}

// compute computes the estimated capacity of the server.
func (p *Pool) compute(now time.Time, s *serverState) Estimate {
	stepTime, factor := s.steps.stepTime(now, p.stepTime), 1.0
	if p.stepTime > 0 {
		factor = stepTime / p.stepTime
	}
	progress, pace := p.progress(now, s)
	return Estimate{
		Observed:    true,
		PrefillRate: 1 / p.tokenTime(now, s),
		StepTime:    time.Duration(stepTime * float64(time.Second)),
		StepFactor:  factor,
		Knee:        s.steps.knee,
		Progress:    progress,
		Pace:        pace,
	}
}

// progress returns how much of the prompt that the server is computing is probably done,
// as a time at the usual pace, and the pace. A prompt that takes longer than expected
// shows that the server is slower now, before a response tells so.
func (p *Pool) progress(now time.Time, s *serverState) (time.Duration, float64) {
	pace := s.pace.at(now)
	head := s.prefill.headTokens() * p.tokenTime(now, s)
	spent := s.prefill.busyTime(now, p.overhead).Seconds()
	if head > 0 && spent > maxLate*head*pace {
		pace = min(spent/(maxLate*head), maxPace)
	}
	return time.Duration(min(spent/pace, head) * float64(time.Second)), pace
}

// tokenTime returns the seconds that the server takes for each prompt token.
func (p *Pool) tokenTime(now time.Time, s *serverState) float64 {
	return s.prefill.tokenTime(now, p.medianTime(now))
}

// medianTime returns the median of the seconds that servers take for each prompt token. It
// computes all medians of the pool anew if they are older than medianInterval.
func (p *Pool) medianTime(now time.Time) float64 {
	if now.Sub(p.medianAt) < medianInterval {
		return p.median
	}
	p.medianAt = now
	var times, overheads, stepTimes []float64
	for _, s := range p.servers {
		if t, ok := s.prefill.computed.perToken(now); ok {
			times = append(times, t)
		}
		if t, ok := s.steps.measured(now); ok {
			stepTimes = append(stepTimes, t)
		}
		if o, ok := s.overhead.seconds(); ok {
			overheads = append(overheads, o)
		}
	}
	if len(stepTimes) > 0 {
		p.stepTime = median(stepTimes)
	}
	if len(times) > 0 {
		p.median = min(max(median(times), p.initial/maxLevelFactor), p.initial*maxLevelFactor)
	}
	if len(overheads) > 0 {
		p.overhead = min(max(time.Duration(median(overheads)*float64(time.Second)), 0), p.latency.estimate(p.median)+maxOverhead)
	}
	return p.median
}

// median returns the median of the values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// state returns the state of the server, which it creates if there is none.
func (p *Pool) state(now time.Time, server Server) *serverState {
	s, ok := p.servers[server]
	if !ok {
		s = &serverState{steps: newSteps()}
		p.servers[server] = s
	}
	s.updatedAt, s.estimatedAt = now, time.Time{}
	return s
}

// sweep forgets the servers without recent observations.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for server, s := range p.servers {
		if now.Sub(s.updatedAt) >= maxServerAge {
			delete(p.servers, server)
		}
	}
}
