package amrpool

import "time"

const (
	// minPrediction is the shortest predicted wait that is compared with the actual
	// one. In shorter ones, the time on the network and of a single step weighs more.
	minPrediction = 50 * time.Millisecond

	// priorPredictions is the sum of predicted waits, in seconds, that count as exact
	// before predictions at a server, or in its pool, were compared.
	priorPredictions = 1.0

	// minWaitFactor and maxWaitFactor bound the factor by which predictions are
	// corrected, so that single slow answers do not close a server.
	minWaitFactor = 0.7
	maxWaitFactor = 3.0
)

// accuracy compares predicted waits with actual ones: used is the sum of actual waits,
// and freed that of predicted ones, both in seconds. Predictions are too short, for
// example, if parts that were cached are dropped before the prompt is read.
type accuracy = drain

// recordWait records how long a request waited for the beginning of its answer, or at least
// how long it waited in vain.
func (f *Fleet) recordWait(now time.Time, c *Choice, began bool) {
	predicted, actual := c.charge.predicted, now.Sub(c.charge.at)
	if predicted < minPrediction || !began && actual <= predicted {
		return
	}
	s := c.server
	s.occupancy.accuracy.add(now, actual.Seconds(), predicted.Seconds())
	f.drainsOf(s.Pool).accuracy.add(now, actual.Seconds(), predicted.Seconds())
}

// waitFactor returns the factor by which actual waits at the server are longer than
// predicted.
func (f *Fleet) waitFactor(s *server) float64 {
	pool := f.drainsOf(s.Pool).accuracy.hold(1, priorPredictions)
	return min(maxWaitFactor, max(minWaitFactor, s.occupancy.accuracy.hold(pool, priorPredictions)))
}

// drainsOf returns the drains of the pool.
func (f *Fleet) drainsOf(pool string) *poolDrains {
	p := f.drains[pool]
	if p == nil {
		p = &poolDrains{}
		if !f.explaining {
			f.drains[pool] = p
		}
	}
	return p
}
