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
	// suspectPoll is the time between two looks at the table's struck requests.
	suspectPoll = 2 * time.Second

	// suspectRetryAfter outlasts the time in which every router hears of a
	// strike.
	suspectRetryAfter = 3 * time.Second

	suspectTimeout = time.Second
	busyWait       = 3 * time.Second
	busyPoll       = 100 * time.Millisecond
	endTries       = 6 // Writes of how a trial ended.
	endPause       = time.Second
	peersAtOnce    = 16 // Routers that are told of a crash.
)

// suspects decides whether a request that may have crashed a backend server
// runs.
type suspects struct {
	clock  clockwork.Clock
	router string
	store  *amrsuspect.Store

	mu       sync.Mutex
	registry *amrsuspect.Registry
}

func newSuspects(clock clockwork.Clock, router string, store *amrsuspect.Store) *suspects {
	return &suspects{clock: clock, router: router, store: store, registry: amrsuspect.NewRegistry()}
}

// observe notes the strikes that a sidecar told.
func (s *suspects) observe(load *amrgate.Load) {
	for _, strike := range load.GetStrikes() {
		s.heard(strike.GetFingerprint(), strike.GetCrash())
	}
}

func (s *suspects) heard(fingerprint []byte, crash string) {
	f, ok := amrsuspect.FromBytes(fingerprint)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.RecordReport(s.clock.Now(), f, crash)
}

// run follows the table until ctx is done.
func (s *suspects) run(ctx context.Context) error {
	s.poll(ctx)
	amrtick.Every(ctx, s.clock, suspectPoll, func() { s.poll(ctx) })
	return nil
}

func (s *suspects) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	listed, err := s.store.List(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	stale := s.registry.Observe(s.clock.Now(), listed)
	s.mu.Unlock()
	for _, suspect := range stale {
		_ = s.store.Drop(ctx, suspect) // Another router may be faster.
	}
}

func (s *suspects) struck(f amrsuspect.Fingerprint) (crash string, struck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Struck(s.clock.Now(), f)
}

func (s *suspects) cleared(f amrsuspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Clear(f)
}

func (s *suspects) clearedCrash(f amrsuspect.Fingerprint) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.ClearedCrash(f)
}

func (s *suspects) abandoned(suspect amrsuspect.Suspect) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Abandoned(s.clock.Now(), suspect)
}

// admission is whether a request may run.
type admission int

const (
	admitFreely  admission = iota // It is not struck.
	admitOnTrial                  // It runs on the trial that was begun.
	admitLater                    // Its trial runs elsewhere.
	admitNever                    // It is quarantined.
	admitUnknown                  // The table is out.
)

// admit decides whether the request of the trial may run. It waits a little
// for a trial elsewhere.
func (s *suspects) admit(ctx context.Context, trial amrsuspect.Trial) admission {
	until := s.clock.Now().Add(busyWait)
	for {
		decided := s.begin(ctx, trial)
		if decided != admitLater || !s.clock.Now().Before(until) {
			return decided
		}
		select {
		case <-ctx.Done():
			return admitLater
		case <-s.clock.After(busyPoll):
		}
	}
}

func (s *suspects) begin(ctx context.Context, trial amrsuspect.Trial) admission {
	crash, struck := s.struck(trial.Fingerprint)
	if !struck {
		return admitFreely
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	struck, err := s.store.BeginTrial(ctx, trial, crash, s.abandoned)
	switch {
	case errorx.IsOfType(err, amrsuspect.Quarantined):
		return admitNever
	case errorx.IsOfType(err, amrsuspect.Busy):
		return admitLater
	case err != nil:
		return admitUnknown
	case !struck:
		s.cleared(trial.Fingerprint)
		return admitFreely
	}
	return admitOnTrial
}

// end carries out the end of a trial, again while the table is out.
func (s *suspects) end(ctx context.Context, write func(context.Context) error) {
	for range endTries {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectTimeout)
		err := write(limited)
		cancel()
		if err == nil {
			return
		}
		s.clock.Sleep(endPause)
	}
}

// background runs f beside the request, or at once while the router stops.
func (r *Router) background(f func() error) {
	if !r.runs.start(f) {
		_ = f() // The functions that come here report no error.
	}
}

// crashed ends a trial during which the backend server was lost. It is written
// before the caller hears of it, unless the table is out.
func (r *Router) crashed(ctx context.Context, trial amrsuspect.Trial, crash string) {
	write := func(ctx context.Context) error { return r.suspects.store.RecordTrialCrash(ctx, trial, crash) }
	limited, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	if write(limited) == nil {
		return
	}
	r.background(func() error {
		r.suspects.end(ctx, write)
		return nil
	})
}

// tellPeers tells the other routers of a crash under the request, so that they
// need not wait for their next poll of the table.
func (r *Router) tellPeers(f amrsuspect.Fingerprint, crash string) {
	r.background(func() error {
		var group errgroup.Group
		group.SetLimit(peersAtOnce)
		for _, peer := range r.hosts.routers() {
			if peer.Name == r.settings.Name {
				continue
			}
			group.Go(func() error {
				r.peers.suspect(context.Background(), peer.Address, &amrpeer.SuspectRequest{Fingerprint: f[:], Crash: crash})
				return nil
			})
		}
		return group.Wait()
	})
}

// suspicion is what a session knows of its own request.
type suspicion struct {
	session   *session
	trial     *amrsuspect.Trial // Nil unless the request is on trial.
	isolated  bool              // Runs as if on trial.
	untracked bool              // Ran once more while the table was out.
	crash     string            // Crash under the request that the table may not show.
}

// admit returns the refusal of a request that may not run now.
func (p *suspicion) admit(ctx context.Context) *refusal {
	if p.trial != nil {
		return nil
	}
	s := p.session
	trial := amrsuspect.Trial{Fingerprint: s.request.fingerprint, Team: s.request.team, Token: s.request.id, Router: s.router.settings.Name}
	switch s.router.suspects.admit(ctx, trial) {
	case admitFreely:
		return nil
	case admitOnTrial:
		p.trial, p.isolated, p.crash = &trial, true, ""
		return nil
	case admitNever:
		return refuse(amrreason.Quarantined, s.request.fingerprint.String())
	case admitUnknown:
		if s.relay.Relayed() > 0 && !p.untracked {
			p.untracked, p.isolated = true, true // An answer begun goes on once while the table is out.
			return nil
		}
	}
	return refuse(amrreason.CrashSuspect, s.request.fingerprint.String()).withRetryAfter(suspectRetryAfter)
}

// failed notes an attempt that gave no whole answer.
func (p *suspicion) failed(ctx context.Context, failed *amrgate.Failed, load *amrgate.Load) {
	if !failed.GetEngineLost() {
		return
	}
	s := p.session
	for _, strike := range load.GetStrikes() {
		if string(strike.GetFingerprint()) == string(s.request.fingerprint[:]) {
			p.crash = strike.GetCrash()
		}
	}
	s.router.tellPeers(s.request.fingerprint, p.crash)
	if trial := p.trial; trial != nil {
		crash := p.crash
		p.trial, p.crash = nil, ""
		s.router.crashed(ctx, *trial, crash)
	}
}

// finished notes that the request ran well.
func (p *suspicion) finished(ctx context.Context) {
	trial := p.trial
	if trial == nil {
		return
	}
	p.trial = nil
	r := p.session.router
	r.suspects.cleared(trial.Fingerprint)
	r.background(func() error {
		r.suspects.end(ctx, func(ctx context.Context) error { return r.suspects.store.Clear(ctx, *trial) })
		return nil
	})
}

// over ends the session: a trial that did not run to its end is given back,
// and a crash that led to no trial is written down.
func (p *suspicion) over(ctx context.Context) {
	r, trial := p.session.router, p.trial
	p.trial = nil
	crash := p.crash
	p.crash = ""
	if trial == nil && crash == "" {
		return
	}
	request := p.session.request
	r.background(func() error {
		r.suspects.end(ctx, func(ctx context.Context) error {
			if trial != nil {
				return r.suspects.store.ReleaseTrial(ctx, *trial)
			}
			return r.suspects.store.RecordCrash(ctx, request.fingerprint, request.team, crash)
		})
		return nil
	})
}
