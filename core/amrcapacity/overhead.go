package amrcapacity

import (
	"math"
	"time"
)

const (
	// initialOverhead is the overhead before any observation.
	initialOverhead = 5 * time.Millisecond

	// maxOverhead limits the overhead beyond the latency.
	maxOverhead = 40 * time.Millisecond

	// overheadTimeConstant is the time after which a busy period has 1/e of its weight.
	overheadTimeConstant = 20 * time.Second

	// minPeriods is the number of busy periods of a server, weighted, from which its
	// overhead is estimated.
	minPeriods = 8.0
)

// busyPeriod is the time from the first prompt that meets a server without others until
// none is pending.
type busyPeriod struct {
	valid  bool
	work   float64 // Length in seconds at the usual pace.
	tokens float64 // Prompt tokens computed.
}

// overhead estimates the part of the time to the first token that does not depend on the
// prompt, such as the time that messages take. It is the intercept of a weighted linear
// regression of the length of a server's busy periods on the prompt tokens computed in
// them. The regression is made for each server by itself: slow servers get other prompts
// than fast ones, and a common regression takes that for overhead.
type overhead struct {
	weight, x, y, xx, xy float64 // Weighted sums.
	periods              float64 // Weighted number of busy periods.
	at                   time.Time
}

// record adds a busy period. Long periods deviate more from the regression than short
// ones, so they have less weight.
func (o *overhead) record(now time.Time, p busyPeriod) {
	if !p.valid || p.tokens <= 0 {
		return
	}
	decay := math.Exp(-max(0, now.Sub(o.at).Seconds()) / overheadTimeConstant.Seconds())
	weight := 1 / (p.tokens * p.tokens)
	o.at = now
	o.periods = o.periods*decay + 1
	o.weight = o.weight*decay + weight
	o.x = o.x*decay + weight*p.tokens
	o.y = o.y*decay + weight*p.work
	o.xx = o.xx*decay + weight*p.tokens*p.tokens
	o.xy = o.xy*decay + weight*p.tokens*p.work
}

// seconds returns the overhead in seconds. It returns false if there are
// too few busy periods, or if their sizes differ too little.
func (o *overhead) seconds() (float64, bool) {
	determinant := o.weight*o.xx - o.x*o.x
	if o.periods < minPeriods || determinant <= 0.01*o.weight*o.xx { // All prompts have nearly the same size.
		return 0, false
	}
	return (o.xx*o.y - o.x*o.xy) / determinant, true
}
