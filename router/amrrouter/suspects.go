package amrrouter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrpeer"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrsuspect"
	"amaranthreach.example/core/amrtick"
)

const (
	// suspectPollInterval is the time between two reads of the struck requests
	// from the table.
	suspectPollInterval = 2 * time.Second

	// suspectRetryAfter is the time after which the caller of a refused suspect
	// may retry. It is longer than the time within which every router learns of
	// a strike.
	suspectRetryAfter = 3 * time.Second

	// suspectStoreTimeout is the timeout of one access to the store.
	suspectStoreTimeout = time.Second

	// trialWaitTimeout limits how long a request waits for the end of a trial of
	// the same request, and trialPollInterval is the time between two checks.
	trialWaitTimeout  = 3 * time.Second
	trialPollInterval = 100 * time.Millisecond

	// suspectWriteAttempts limits the attempts to write the end of a trial or a
	// crash outside a trial, and suspectWriteRetryInterval is the time between
	// them.
	suspectWriteAttempts      = 6
	suspectWriteRetryInterval = time.Second

	// maxConcurrentPeerCalls limits the concurrent calls that notify other
	// routers of a crash.
	maxConcurrentPeerCalls = 16
)

// suspectChecker decides whether a request that may have crashed a backend
// server may run again. A request that was running when a backend server
// crashed gets a strike. A struck request runs only on trial, with at most one
// trial of it at a time in the whole fleet, and a second strike quarantines it.
// The struck requests are stored in the table of the platform. A suspectChecker
// is safe for concurrent use.
type suspectChecker struct {
	clock  clockwork.Clock
	router string
	store  *amrsuspect.Store

	mu       sync.Mutex
	registry *amrsuspect.Registry
}

// newSuspectChecker returns the checker of the router with the name.
func newSuspectChecker(clock clockwork.Clock, router string, store *amrsuspect.Store) *suspectChecker {
	return &suspectChecker{clock: clock, router: router, store: store, registry: amrsuspect.NewRegistry()}
}

// recordStrikes records the strikes in the load of a sidecar.
func (s *suspectChecker) recordStrikes(load *amrgate.Load) {
	for _, strike := range load.GetStrikes() {
		s.addStrike(strike.GetFingerprint(), strike.GetCrash())
	}
}

// addStrike records a strike against the request with the fingerprint. It ignores
// an invalid fingerprint.
func (s *suspectChecker) addStrike(fingerprint []byte, crash string) {
	f, ok := amrsuspect.FingerprintFromBytes(fingerprint)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.RecordReport(s.clock.Now(), f, crash)
}

// run reads the struck requests from the table until ctx is done. It always returns
// nil.
func (s *suspectChecker) run(ctx context.Context) error {
	s.poll(ctx)
	amrtick.Every(ctx, s.clock, suspectPollInterval, func() { s.poll(ctx) })
	return nil
}

// poll reads the struck requests from the table and deletes those that are no
// longer needed.
func (s *suspectChecker) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	listed, err := s.store.List(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	stale := s.registry.Observe(s.clock.Now(), listed)
	s.mu.Unlock()
	for _, suspect := range stale {
		_ = s.store.Delete(ctx, suspect) // It fails if another router deletes it first.
	}
}

// struck reports whether the request is struck. If the returned crash is not
// empty, it names a crash that may not be in the table yet.
func (s *suspectChecker) struck(f amrsuspect.Fingerprint) (crash string, struck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Suspected(s.clock.Now(), f)
}

// markCleared records that the request is no longer struck.
func (s *suspectChecker) markCleared(f amrsuspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Clear(f)
}

// clearedCrash returns the last crash after which the request ran successfully, or
// "" if there is none.
func (s *suspectChecker) clearedCrash(f amrsuspect.Fingerprint) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.ClearedCrash(f)
}

// isTrialAbandoned reports whether the trial of the suspect has lasted so long that
// the router that runs it must have failed.
func (s *suspectChecker) isTrialAbandoned(suspect amrsuspect.Suspect) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Abandoned(s.clock.Now(), suspect)
}

// admission is a decision on whether a request may run.
type admission int

const (
	admissionGranted     admission = iota // The request is not struck.
	admissionOnTrial                      // The request runs on the trial that was begun for it.
	admissionTrialBusy                    // A trial of the request is in progress elsewhere.
	admissionQuarantined                  // The request is quarantined.
	admissionUnknown                      // The table is unavailable.
)

// admit decides whether the request of the trial may run. If a trial of it is in
// progress elsewhere, admit waits up to trialWaitTimeout for its end.
func (s *suspectChecker) admit(ctx context.Context, trial amrsuspect.Trial) admission {
	deadline := s.clock.Now().Add(trialWaitTimeout)
	for {
		decided := s.beginTrial(ctx, trial)
		if decided != admissionTrialBusy || !s.clock.Now().Before(deadline) {
			return decided
		}
		select {
		case <-ctx.Done():
			return admissionTrialBusy
		case <-s.clock.After(trialPollInterval):
		}
	}
}

// beginTrial begins the trial if the request is struck.
func (s *suspectChecker) beginTrial(ctx context.Context, trial amrsuspect.Trial) admission {
	crash, struck := s.struck(trial.Fingerprint)
	if !struck {
		return admissionGranted
	}
	ctx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	struck, err := s.store.BeginTrial(ctx, trial, crash, s.isTrialAbandoned)
	switch {
	case errorx.IsOfType(err, amrsuspect.Quarantined):
		return admissionQuarantined
	case errorx.IsOfType(err, amrsuspect.Busy):
		return admissionTrialBusy
	case err != nil:
		return admissionUnknown
	case !struck:
		s.markCleared(trial.Fingerprint)
		return admissionGranted
	}
	return admissionOnTrial
}

// retryWrite calls write, which writes the end of a trial or a crash outside a
// trial, up to suspectWriteAttempts times until it succeeds. It ignores the
// cancellation of ctx.
func (s *suspectChecker) retryWrite(ctx context.Context, write func(context.Context) error) {
	for range suspectWriteAttempts {
		attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectStoreTimeout)
		err := write(attemptCtx)
		cancel()
		if err == nil {
			return
		}
		s.clock.Sleep(suspectWriteRetryInterval)
	}
}

// runInBackground runs f in the background, or synchronously if the router is
// stopping and accepts no more background tasks. The function f must return nil.
func (r *Router) runInBackground(f func() error) {
	if !r.backgroundTasks.start(f) {
		_ = f() // The functions return nil.
	}
}

// recordTrialCrash ends a trial during which the backend server crashed. It writes
// the crash before the caller receives the failure, so that a retry is checked
// against it. If the table is unavailable, the write is retried in the background.
func (r *Router) recordTrialCrash(ctx context.Context, trial amrsuspect.Trial, crash string) {
	write := func(ctx context.Context) error { return r.suspectChecker.store.RecordTrialCrash(ctx, trial, crash) }
	writeCtx, cancel := context.WithTimeout(ctx, suspectStoreTimeout)
	defer cancel()
	if write(writeCtx) == nil {
		return
	}
	r.runInBackground(func() error {
		r.suspectChecker.retryWrite(ctx, write)
		return nil
	})
}

// notifyPeers notifies the other routers of a crash during the request, so that they
// know of it before they next read the table.
func (r *Router) notifyPeers(f amrsuspect.Fingerprint, crash string) {
	r.runInBackground(func() error {
		var group errgroup.Group
		group.SetLimit(maxConcurrentPeerCalls)
		for _, peer := range r.hostRegistry.routers() {
			if peer.Name == r.settings.Name {
				continue
			}
			group.Go(func() error {
				r.peerClient.reportSuspect(context.Background(), peer.Address, &amrpeer.SuspectRequest{Fingerprint: f[:], Crash: crash})
				return nil
			})
		}
		return group.Wait()
	})
}

// crashState tracks the trial and the crashes of the request of a session.
type crashState struct {
	session         *session
	trial           *amrsuspect.Trial // Nil unless the request is on trial.
	isolated        bool              // Sidecars run the request only while no other isolated one runs there.
	ranUntracked    bool              // The request was resumed once while the table was unavailable.
	unrecordedCrash string            // Crash during the request that may be missing in the table.
}

// admit returns nil if the request may run now, and its refusal otherwise. It
// begins a trial for a struck request.
func (c *crashState) admit(ctx context.Context) *refusal {
	if c.trial != nil {
		return nil
	}
	s := c.session
	trial := amrsuspect.Trial{Fingerprint: s.request.fingerprint, Team: s.request.team, Token: s.request.id, Router: s.router.settings.Name}
	switch s.router.suspectChecker.admit(ctx, trial) {
	case admissionGranted:
		return nil
	case admissionOnTrial:
		c.trial, c.isolated, c.unrecordedCrash = &trial, true, ""
		return nil
	case admissionQuarantined:
		return newRefusal(amrreason.Quarantined, s.request.fingerprint.String())
	case admissionUnknown:
		if s.relay.Relayed() > 0 && !c.ranUntracked {
			c.ranUntracked, c.isolated = true, true // A response that has begun may be resumed once while the table is unavailable.
			return nil
		}
	}
	return newRefusal(amrreason.CrashSuspect, s.request.fingerprint.String()).withRetryAfter(suspectRetryAfter)
}

// recordFailure records a failed attempt. If the backend server crashed, it
// notifies the other routers and ends the trial.
func (c *crashState) recordFailure(ctx context.Context, failed *amrgate.Failed, load *amrgate.Load) {
	if !failed.GetEngineLost() {
		return
	}
	s := c.session
	for _, strike := range load.GetStrikes() {
		if string(strike.GetFingerprint()) == string(s.request.fingerprint[:]) {
			c.unrecordedCrash = strike.GetCrash()
		}
	}
	s.router.notifyPeers(s.request.fingerprint, c.unrecordedCrash)
	if trial := c.trial; trial != nil {
		unrecordedCrash := c.unrecordedCrash
		c.trial, c.unrecordedCrash = nil, ""
		s.router.recordTrialCrash(ctx, *trial, unrecordedCrash)
	}
}

// recordCompletion records that the request ran without a crash, which ends its
// trial.
func (c *crashState) recordCompletion(ctx context.Context) {
	trial := c.trial
	if trial == nil {
		return
	}
	c.trial = nil
	r := c.session.router
	r.suspectChecker.markCleared(trial.Fingerprint)
	r.runInBackground(func() error {
		r.suspectChecker.retryWrite(ctx, func(ctx context.Context) error { return r.suspectChecker.store.Clear(ctx, *trial) })
		return nil
	})
}

// sessionEnded is called at the end of the session. It releases a trial that did
// not run to its end, and writes the strike for a crash outside a trial.
func (c *crashState) sessionEnded(ctx context.Context) {
	r, trial := c.session.router, c.trial
	c.trial = nil
	unrecordedCrash := c.unrecordedCrash
	c.unrecordedCrash = ""
	if trial == nil && unrecordedCrash == "" {
		return
	}
	request := c.session.request
	r.runInBackground(func() error {
		r.suspectChecker.retryWrite(ctx, func(ctx context.Context) error {
			if trial != nil {
				return r.suspectChecker.store.ReleaseTrial(ctx, *trial)
			}
			return r.suspectChecker.store.RecordCrash(ctx, request.fingerprint, request.team, unrecordedCrash)
		})
		return nil
	})
}
