package amrsidecar

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/semaphore"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrsuspect"
)

const (
	// probeTimeout limits the check for a crash of the backend server.
	probeTimeout = time.Second

	// trialWait is the maximum time that a trial waits for another one to end.
	trialWait = 5 * time.Second
)

// suspectTracker records strikes: requests that were running when the backend
// server crashed. A request with a strike may only run in a trial, which its router
// marks as isolated. Trials run one at a time, so that a further crash can be
// attributed to one request. It is safe for concurrent use.
type suspectTracker struct {
	clock  clockwork.Clock
	trials *semaphore.Weighted // Held by the running trial.

	mu           sync.Mutex
	localStrikes *amrsuspect.LocalStrikes
}

func newSuspectTracker(clock clockwork.Clock) *suspectTracker {
	return &suspectTracker{clock: clock, trials: semaphore.NewWeighted(1), localStrikes: amrsuspect.NewLocalStrikes()}
}

// begin reports whether the request may run. It may not if it has a strike and is
// not a trial, unless the router knows the strike's crash to be cleared, or if it is
// a trial and another trial did not end within trialWait. Every successful call
// must be followed by a call of end.
func (s *suspectTracker) begin(ctx context.Context, request *amrgate.DispatchRequest) bool {
	if request.GetIsolated() {
		ctx, cancel := context.WithTimeout(ctx, trialWait)
		defer cancel()
		return s.trials.Acquire(ctx, 1) == nil
	}
	f, ok := amrsuspect.FingerprintFromBytes(request.GetFingerprint())
	if !ok {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	strike, found := s.localStrikes.Get(s.clock.Now(), f)
	if found && strike.Crash == request.GetClearedCrash() {
		s.localStrikes.Clear(f)
		return true
	}
	return !found
}

// end lets the next trial run if the request was one.
func (s *suspectTracker) end(request *amrgate.DispatchRequest) {
	if request.GetIsolated() {
		s.trials.Release(1)
	}
}

// recordCrash records a strike: the backend server crashed while it ran the request.
func (s *suspectTracker) recordCrash(request *amrgate.DispatchRequest, crash string) {
	f, ok := amrsuspect.FingerprintFromBytes(request.GetFingerprint())
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localStrikes.RecordCrash(s.clock.Now(), f, crash)
}

// finish removes the strike of the request, if it has one, since it ran without a
// crash.
func (s *suspectTracker) finish(request *amrgate.DispatchRequest) {
	f, ok := amrsuspect.FingerprintFromBytes(request.GetFingerprint())
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localStrikes.Clear(f)
}

// strikes returns the strike of the request, or nil if it has none. Strikes of other
// requests are left out to keep the load small; routers learn of them from their
// peers and the table.
func (s *suspectTracker) strikes(request *amrgate.DispatchRequest) []*amrgate.Strike {
	f, ok := amrsuspect.FingerprintFromBytes(request.GetFingerprint())
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	strike, found := s.localStrikes.Get(s.clock.Now(), f)
	if !found {
		return nil
	}
	return []*amrgate.Strike{{Fingerprint: f[:], Count: uint32(strike.Count), Crash: strike.Crash}}
}
