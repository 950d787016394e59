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
	probeTimeout = time.Second

	// trialWait is how long a request on trial waits for another one.
	trialWait = 5 * time.Second
)

// suspects notes which requests were running when the backend server crashed,
// and lets those on trial run one at a time.
type suspects struct {
	clock  clockwork.Clock
	trials *semaphore.Weighted

	mu    sync.Mutex
	watch *amrsuspect.LocalStrikes
}

func newSuspects(clock clockwork.Clock) *suspects {
	return &suspects{clock: clock, trials: semaphore.NewWeighted(1), watch: amrsuspect.NewLocalStrikes()}
}

// enter admits a request, and reports false for one that is struck and not on
// trial, or that waited in vain for its trial.
func (s *suspects) enter(ctx context.Context, request *amrgate.DispatchRequest) bool {
	if request.GetIsolated() {
		ctx, cancel := context.WithTimeout(ctx, trialWait)
		defer cancel()
		return s.trials.Acquire(ctx, 1) == nil
	}
	f, ok := amrsuspect.FromBytes(request.GetFingerprint())
	if !ok {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	strike, struck := s.watch.Struck(s.clock.Now(), f)
	if struck && strike.Crash == request.GetClearedCrash() {
		s.watch.Clear(f)
		return true
	}
	return !struck
}

func (s *suspects) leave(request *amrgate.DispatchRequest) {
	if request.GetIsolated() {
		s.trials.Release(1)
	}
}

// lost notes that the backend server crashed under the request.
func (s *suspects) lost(request *amrgate.DispatchRequest, crash string) {
	f, ok := amrsuspect.FromBytes(request.GetFingerprint())
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.RecordCrash(s.clock.Now(), f, crash)
}

// finished notes that the request ran well.
func (s *suspects) finished(request *amrgate.DispatchRequest) {
	f, ok := amrsuspect.FromBytes(request.GetFingerprint())
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Clear(f)
}

// strikes returns the strike of the request, if it has one. Routers hear of
// others from their peers and the table, which costs no byte on each load.
func (s *suspects) strikes(request *amrgate.DispatchRequest) []*amrgate.Strike {
	f, ok := amrsuspect.FromBytes(request.GetFingerprint())
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	strike, struck := s.watch.Struck(s.clock.Now(), f)
	if !struck {
		return nil
	}
	return []*amrgate.Strike{{Fingerprint: f[:], Count: uint32(strike.Count), Crash: strike.Crash}}
}
