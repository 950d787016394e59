package amrcapacity

import (
	"math"
	"time"
)

const (
	// minOutputTokens is the minimum number of tokens of an answer from which the step
	// time is measured.
	minOutputTokens = 4

	// stepTimeConstant is the time after which an observation of a step time has 1/e of
	// its weight, and priorSteps the number of observations that have as much weight as
	// the pool's median.
	stepTimeConstant = 5 * time.Second
	priorSteps       = 2.0

	// maxStepChange limits the factor by which an observation may differ from the
	// estimate, and maxStepFactor that between the estimate and the pool's median.
	maxStepChange = 4.0
	maxStepFactor = 8.0

	// maxStarted is the maximum number of requests in progress at a server whose start is
	// remembered.
	maxStarted = 1024
)

// steps estimates the time that a server takes for each generated token, at its current
// number of requests.
type steps struct {
	requests map[uint64]startedRequest // Requests whose answer has begun.
	sum      float64                   // Weighted sum of observed step times.
	weight   float64
	at       time.Time
	overdue  float64 // Least step time according to the answers that are not complete; 0 if unknown.
	times    curve
	knee     int
}

// startedRequest is a request whose answer has begun.
type startedRequest struct {
	at           time.Time
	running      int
	outputTokens int
}

func newSteps() steps {
	return steps{requests: make(map[uint64]startedRequest)}
}

// started records the beginning of an answer, with the number of pending prompts.
func (s *steps) started(now time.Time, o Responded, pending int) {
	running := o.Running
	if running == 0 {
		running = len(s.requests) + pending
	}
	if len(s.requests) < maxStarted {
		s.requests[o.Request] = startedRequest{at: now, running: running, outputTokens: o.OutputTokens}
	}
	s.updateOverdue(now)
}

// updateOverdue computes the least step time according to the answers that are not
// complete. Without it, a server that slows down so much that no answer is completed
// would go unnoticed. The slowest answer does not count: it may be an outlier.
func (s *steps) updateOverdue(now time.Time) {
	first, second := 0.0, 0.0
	for _, r := range s.requests {
		if r.outputTokens < minOutputTokens {
			continue
		}
		t := r.perToken(now)
		first, second = max(first, t), max(second, min(first, t))
	}
	s.overdue = second
}

// perToken returns the seconds for each token if the answer is complete now.
func (r startedRequest) perToken(now time.Time) float64 {
	return now.Sub(r.at).Seconds() / float64(r.outputTokens-1)
}

// ended records the end of an answer. If it was complete, its step time counts; if not,
// only if it is longer than the estimate.
func (s *steps) ended(now time.Time, request uint64, complete bool, pace, median float64) {
	r, ok := s.requests[request]
	delete(s.requests, request)
	if len(s.requests) == 0 {
		s.overdue = 0 // No answer is incomplete.
	}
	if !ok || r.outputTokens < minOutputTokens {
		return
	}
	observed := r.perToken(now) / pace
	known := s.stepTime(now, median)
	if !complete && observed < known {
		return
	}
	if known > 0 {
		observed = min(max(observed, known/maxStepChange), known*maxStepChange)
	}
	decay := s.decay(now)
	s.sum = s.sum*decay + observed
	s.weight = s.weight*decay + 1
	s.at = now
	s.times.record(now, r.running, observed)
	s.knee = s.times.knee(now)
}

// decay returns the weight that remains of the observations.
func (s *steps) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.at).Seconds()) / stepTimeConstant.Seconds())
}

// measured returns the step time in seconds without the prior. It returns false if there
// are too few observations.
func (s *steps) measured(now time.Time) (float64, bool) {
	if s.weight*s.decay(now) < priorSteps/2 {
		return 0, false
	}
	return s.sum / s.weight, true
}

// stepTime returns the step time in seconds with the median as prior, or 0 if both are
// unknown.
func (s *steps) stepTime(now time.Time, median float64) float64 {
	if median == 0 {
		if s.weight == 0 {
			return 0
		}
		return s.sum / s.weight
	}
	decay := s.decay(now)
	t := (s.sum*decay + priorSteps*median) / (s.weight*decay + priorSteps)
	t = max(t, s.overdue)
	return min(max(t, median/maxStepFactor), median*maxStepFactor)
}
