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

// estimateWait returns the estimated time until the engine starts to compute
// the prompt of a request that runs after all submitted requests and after the
// given waiting ones.
func (q *Queue) estimateWait(now time.Time, ahead []*entry) time.Duration {
	var wait time.Duration
	for _, e := range q.prefills {
		wait += q.rate.duration(e.uncached)
	}
	for _, e := range ahead {
		wait += q.rate.duration(e.uncached)
	}
	wait = max(wait-q.progress(now), 0)
	if over := q.running + len(ahead) + 1 - q.batchLimit; over > 0 {
		// This many requests must finish before the batch has room for this one.
		// While it is full, one finishes every q.generation/q.batchLimit on average.
		slotWait := q.generation.value * time.Duration(over) / time.Duration(max(q.batchLimit, 1))
		wait = max(wait, slotWait)
	}
	return wait
}

// progress returns the time that the engine has spent on the prompt that it is
// computing, up to the estimated time for the whole prompt.
func (q *Queue) progress(now time.Time) time.Duration {
	if len(q.prefills) == 0 {
		return 0
	}
	return min(now.Sub(q.prefillStart), q.rate.duration(q.prefills[0].uncached))
}

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1

	// minSampleTokens is the least number of tokens of a prompt from which the
	// speed of the engine is measured.
	minSampleTokens = 512

	// maxDeviation is the largest factor between the measured speed of the
	// engine and the one that it reports.
	maxDeviation = 8
)

// rate is the estimated speed at which the engine computes prompts, in tokens
// per second.
type rate struct {
	nominal float64 // Speed that the engine reports.
	value   float64
}

func newRate(nominal float64) rate {
	return rate{nominal: nominal, value: nominal}
}

// duration returns the estimated time to compute the given number of tokens.
func (r *rate) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.value * float64(time.Second))
}

// setNominal sets the speed that the engine reports. If it differs from the
// previous one, measurements start anew.
func (r *rate) setNominal(nominal float64) {
	if nominal == r.nominal {
		return
	}
	*r = newRate(nominal)
}

// observe updates the estimate with the time that the engine took to compute
// the given number of tokens. Short prompts are ignored.
func (r *rate) observe(tokens int, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	sample := float64(tokens) / took.Seconds()
	sample = min(max(sample, r.nominal/maxDeviation), r.nominal*maxDeviation)
	// This averages the time per token and not the speed, so that one fast
	// sample does not outweigh a slow one.
	r.value = 1 / ((1-smoothing)/r.value + smoothing/sample)
}

// average is a moving average of durations. Its value is 0 until the first
// sample.
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
