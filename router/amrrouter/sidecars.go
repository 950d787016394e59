package amrrouter

import (
	"sync"
	"time"

	"amaranthreach.example/core/amrgate"
)

// claimStartWindow is the time within which a claim must start at its sidecar.
const claimStartWindow = 10 * time.Second

// sidecarStates holds the last reported state of each sidecar. It is safe for
// concurrent use.
type sidecarStates struct {
	mu     sync.Mutex
	states map[string]sidecarState // By name of the backend server.
}

// sidecarState is the state that a sidecar process reported.
type sidecarState struct {
	incarnation string
	sidecarTime time.Duration // Time on the clock of the sidecar when it sent the load.
	receivedAt  time.Time     // Time on the clock of the router when it received the load.
	draining    bool
}

// newSidecarStates returns an empty sidecarStates.
func newSidecarStates() *sidecarStates {
	return &sidecarStates{states: make(map[string]sidecarState)}
}

// update stores the state in the load of the named sidecar. It ignores a nil
// load.
func (s *sidecarStates) update(name string, load *amrgate.Load, now time.Time) {
	if load == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[name] = sidecarState{
		incarnation: load.GetSidecarIncarnation(),
		sidecarTime: time.Duration(load.GetClockMs()) * time.Millisecond,
		receivedAt:  now,
		draining:    load.GetDraining(),
	}
}

// get returns the last state of the named sidecar. It returns false if there is
// none.
func (s *sidecarStates) get(name string) (sidecarState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.states[name]
	return state, ok
}

// forget deletes the state of the named sidecar, so that it is requested again.
func (s *sidecarStates) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.states, name)
}

// claimWindowEnd returns the end of the start window of a claim made now, on the
// clock of the sidecar. It adds the time that has passed on the router's clock to
// a time that the sidecar reported, so that the two clocks do not have to agree.
func (s sidecarState) claimWindowEnd(now time.Time) time.Duration {
	return s.sidecarTime + now.Sub(s.receivedAt) + claimStartWindow
}
