package amrpool

import (
	"math"
	"time"
)

const (
	// drainTimeConstant is the time constant with which observations of a drain lose
	// weight: a server that changes is known anew within seconds.
	drainTimeConstant = 2 * time.Second

	// priorHold is the time for which a request is assumed to hold its slot and its
	// memory before the first requests of the pool have ended.
	priorHold = 200 * time.Millisecond

	// priorRequests is the number of ends that the assumption of a pool, or of all
	// pools, weighs as much as. With fewer ends at a server, those of its pool count.
	priorRequests = 8
)

// drain learns for how long a unit of a resource is held: a slot or the memory of a
// token. By Little's law, this is the time integral of the units in use divided by the
// units that came free. It holds whether the resource is short or not.
type drain struct {
	inUse float64
	used  float64 // Integral of inUse in unit seconds.
	freed float64 // Units that came free.
	at    time.Time
}

// set records that the given number of units is in use from now on. It returns the
// integral since the last change.
func (d *drain) set(now time.Time, inUse float64) float64 {
	used := 0.0
	if elapsed := now.Sub(d.at).Seconds(); !d.at.IsZero() && elapsed > 0 {
		used = d.inUse * elapsed
		d.decay(elapsed)
	}
	d.used += used
	d.inUse, d.at = inUse, now
	return used
}

// decay lets the observations lose weight.
func (d *drain) decay(seconds float64) {
	remaining := math.Exp(-seconds / drainTimeConstant.Seconds())
	d.used *= remaining
	d.freed *= remaining
}

// add adds the observations of a server to those of its pool.
func (d *drain) add(now time.Time, used, freed float64) {
	if elapsed := now.Sub(d.at).Seconds(); !d.at.IsZero() && elapsed > 0 {
		d.decay(elapsed)
	}
	d.at = now
	d.used += used
	d.freed += freed
}

// hold returns the time in seconds for which a unit is held. The prior counts as much as
// the given number of units that came free.
func (d *drain) hold(prior, priorUnits float64) float64 {
	if d.freed+priorUnits <= 0 {
		return prior
	}
	return (d.used + prior*priorUnits) / (d.freed + priorUnits)
}
