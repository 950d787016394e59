package amrsoak

import (
	"math/rand/v2"
	"time"

	"amaranthreach.example/standin/amrsite"
)

const (
	minRecordsInterval = 50 * time.Millisecond // Least time between two changes of a series.
	recordsSpread      = 250 * time.Millisecond
	maxExtraRoutes     = 1500

	// leastIdleTimeout is the shortest idle timeout that records state.
	leastIdleTimeout = 1500 * time.Millisecond
)

// idleTimeouts and routeTimeouts are the timeouts that the records of a series state. They
// are no shorter than what requests of the load need.
var (
	idleTimeouts  = []time.Duration{leastIdleTimeout, 3 * time.Second, 15 * time.Second}
	routeTimeouts = []time.Duration{2 * time.Second, 5 * time.Second, 0}
)

// changeRecordsInSeries changes the records in quick succession for the duration of the fault,
// and restores them.
func (s *site) changeRecordsInSeries(f fault) {
	random := rand.New(rand.NewPCG(uint64(f.At), uint64(f.Length)))
	for end := s.clock.Now().Add(f.Length); s.clock.Now().Before(end); {
		s.store.SetVariation(amrsite.Variation{
			IdleTimeout:  idleTimeouts[random.IntN(len(idleTimeouts))],
			RouteTimeout: routeTimeouts[random.IntN(len(routeTimeouts))],
			ExtraRoutes:  random.IntN(maxExtraRoutes),
			Attempts:     1 + random.IntN(3),
		})
		s.rewriteRecords()
		s.clock.Sleep(minRecordsInterval + time.Duration(random.Int64N(int64(recordsSpread))))
	}
	s.store.SetVariation(amrsite.Variation{})
	s.rewriteRecords()
}

// rewriteRecords writes a new version of the records with the present keys.
func (s *site) rewriteRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordsVersion++
	s.putRecords()
}
