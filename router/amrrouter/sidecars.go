package amrrouter

import (
	"sync"
	"time"

	"amaranthreach.example/core/amrgate"
)

// claimWindow is the time in which a claim may start at its sidecar.
const claimWindow = 10 * time.Second

// sidecars keeps what the router last heard of each sidecar process.
type sidecars struct {
	mu    sync.Mutex
	known map[string]sidecarState
}

// sidecarState is a sidecar process as it said of itself.
type sidecarState struct {
	incarnation string
	clock       time.Duration // The sidecar's clock when it sent the load.
	at          time.Time     // The router's clock when the load came.
	draining    bool
}

func newSidecars() *sidecars {
	return &sidecars{known: make(map[string]sidecarState)}
}

func (s *sidecars) observe(name string, load *amrgate.Load, now time.Time) {
	if load == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[name] = sidecarState{
		incarnation: load.GetSidecarIncarnation(),
		clock:       time.Duration(load.GetClockMs()) * time.Millisecond,
		at:          now,
		draining:    load.GetDraining(),
	}
}

func (s *sidecars) get(name string) (sidecarState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.known[name]
	return state, ok
}

func (s *sidecars) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, name)
}

// windowEnd returns the end of a claim's window on the sidecar's clock. It is
// reckoned from a time that the sidecar told, so that the two clocks need not
// agree.
func (s sidecarState) windowEnd(now time.Time) time.Duration {
	return s.clock + now.Sub(s.at) + claimWindow
}
