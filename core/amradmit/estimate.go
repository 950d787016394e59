package amradmit

import "time"

// ahead returns the waiting requests that run before e.
func (q *Queue) ahead(e *entry) []*entry {
	var ahead []*entry
	for _, w := range q.waiting {
		if w.before(e) {
			ahead = append(ahead, w)
		}
	}
	return ahead
}

// waitBehind returns the time until a request behind all that was handed to
// the engine and behind the given waiting requests is begun.
func (q *Queue) waitBehind(now time.Time, ahead []*entry) time.Duration {
	var wait time.Duration
	for _, e := range q.handed {
		wait += q.rate.duration(e.uncached)
	}
	for _, e := range ahead {
		wait += q.rate.duration(e.uncached)
	}
	wait = max(wait-q.progress(now), 0)
	if over := q.running + len(ahead) + 1 - q.batchLimit; over > 0 {
		slots := q.service.value * time.Duration(over) / time.Duration(max(q.batchLimit, 1))
		wait = max(wait, slots)
	}
	return wait
}

// progress returns how much of the first handed prompt's time has passed.
func (q *Queue) progress(now time.Time) time.Duration {
	if len(q.handed) == 0 {
		return 0
	}
	return min(now.Sub(q.since), q.rate.duration(q.handed[0].uncached))
}

const (
	// smoothing is the weight of a new observation in an average.
	smoothing = 0.1

	// shortestSample is the least number of tokens from which the speed of
	// the engine is learned.
	shortestSample = 512

	// widestDeviation bounds how far the observed speed may lie from the one
	// that the engine tells.
	widestDeviation = 8
)

// rate is the speed at which the engine computes prompts.
type rate struct {
	nominal float64 // Tokens a second.
	value   float64
}

func newRate(nominal float64) rate {
	return rate{nominal: nominal, value: nominal}
}

func (r *rate) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.value * float64(time.Second))
}

// nominate takes the speed that the engine tells.
func (r *rate) nominate(nominal float64) {
	if nominal == r.nominal {
		return
	}
	*r = newRate(nominal)
}

// observe takes the time in which the engine computed the tokens.
func (r *rate) observe(tokens int, took time.Duration) {
	if tokens < shortestSample || took <= 0 {
		return
	}
	seen := float64(tokens) / took.Seconds()
	seen = min(max(seen, r.nominal/widestDeviation), r.nominal*widestDeviation)
	// The time a token takes is averaged, not the speed, so that one fast
	// sample does not outweigh a slow one.
	r.value = 1 / ((1-smoothing)/r.value + smoothing/seen)
}

// average is a moving average of durations.
type average struct {
	value time.Duration
}

func (a *average) observe(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(smoothing * float64(d-a.value))
}
