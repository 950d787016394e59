package amrcapacity

import (
	"math"
	"time"
)

const (
	// workTimeConstant is the busy time after which an observation has 1/e of its weight,
	// and idleTimeConstant the time without work. The first makes estimates follow a
	// change within seconds of work, the second makes unused servers return to the median.
	workTimeConstant = 900 * time.Millisecond
	idleTimeConstant = 10 * time.Second
)

// ratio is the exponentially weighted ratio of busy time to tokens.
type ratio struct {
	work   float64 // Weighted busy time in seconds.
	tokens float64 // Weighted tokens.
	at     time.Time
}

// add adds busy time in seconds in which a server computed the tokens.
func (r *ratio) add(now time.Time, work, tokens float64) {
	decay := r.decay(now) * math.Exp(-work/workTimeConstant.Seconds())
	r.work = r.work*decay + work
	r.tokens = r.tokens*decay + tokens
	r.at = now
}

// decay returns the weight that remains of the observations.
func (r *ratio) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(r.at).Seconds()) / idleTimeConstant.Seconds())
}

// perToken returns the seconds for each token. It returns false if there are too few
// observations.
func (r *ratio) perToken(now time.Time) (float64, bool) {
	if r.work*r.decay(now) < priorWork.Seconds()/2 {
		return 0, false
	}
	return r.work / r.tokens, true
}
