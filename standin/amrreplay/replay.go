// Package amrreplay plays a trace in open loop through real routers and
// sidecars against stand-in engines, and measures what came of it.
//
// Requests are sent at the times that the trace gives, whether or not earlier
// ones have been answered, and all times are counted from the time at which a
// request was due. What ran where is taken from the engines' own logs.
package amrreplay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/standin/amrtrace"
)

const (
	defaultEngines   = 12
	defaultRouters   = 3
	defaultTimeScale = 1
	cacheShare       = 2 // By default the fleet caches one in so many of the trace's distinct blocks.
)

// Policies that are not of a routing policy record.
const (
	PolicyIdeal      = "ideal"      // One cache of the fleet's total size shared by all requests.
	PolicyOmniscient = "omniscient" // Sees the true state of every engine at the instant.
)

// Replay plays a trace.
type Replay struct {
	requests []amrtrace.Request
	settings settings
}

type settings struct {
	engines         int
	routers         int
	cacheBlocks     int
	timeScale       float64
	recomputeWeight float64
	waitWeight      float64
	eventLoss       float64
	eventDelay      time.Duration
	statusLag       time.Duration
	faults          Faults
	progress        io.Writer
	log             *slog.Logger
	clock           clockwork.Clock
}

// Option changes a setting of a replay.
type Option func(*settings)

// WithEngines sets the number of engines.
func WithEngines(n int) Option {
	return func(s *settings) { s.engines = n }
}

// WithRouters sets the number of routers.
func WithRouters(n int) Option {
	return func(s *settings) { s.routers = n }
}

// WithCacheBlocks sets the capacity of each engine's cache. By default the
// fleet holds half of the trace's distinct blocks.
func WithCacheBlocks(n int) Option {
	return func(s *settings) { s.cacheBlocks = n }
}

// WithTimeScale divides all times of the trace and of the engines.
func WithTimeScale(scale float64) Option {
	return func(s *settings) { s.timeScale = scale }
}

// WithWeights sets the weights of the routing policy.
func WithWeights(recompute, wait float64) Option {
	return func(s *settings) { s.recomputeWeight, s.waitWeight = recompute, wait }
}

// WithEvents sets the share of cache events that are lost and how late the
// others come.
func WithEvents(loss float64, delay time.Duration) Option {
	return func(s *settings) { s.eventLoss, s.eventDelay = loss, delay }
}

// WithStatusLag sets how late the engines report their load.
func WithStatusLag(lag time.Duration) Option {
	return func(s *settings) { s.statusLag = lag }
}

// WithFaults sets what fails during the replay.
func WithFaults(f Faults) Option {
	return func(s *settings) { s.faults = f }
}

// WithProgress sets where progress is written.
func WithProgress(w io.Writer) Option {
	return func(s *settings) { s.progress = w }
}

// WithLogger sets the logger of routers and sidecars.
func WithLogger(log *slog.Logger) Option {
	return func(s *settings) { s.log = log }
}

// New returns a replay of the requests.
func New(requests []amrtrace.Request, opts ...Option) *Replay {
	s := settings{
		engines:         defaultEngines,
		routers:         defaultRouters,
		timeScale:       defaultTimeScale,
		recomputeWeight: 1,
		waitWeight:      1,
		progress:        io.Discard,
		log:             slog.New(slog.DiscardHandler),
		clock:           clockwork.NewRealClock(),
	}
	for _, opt := range opts {
		opt(&s)
	}
	if s.cacheBlocks <= 0 {
		s.cacheBlocks = defaultCacheBlocks(requests, s.engines)
	}
	return &Replay{requests: requests, settings: s}
}

func defaultCacheBlocks(requests []amrtrace.Request, engines int) int {
	return max(1, amrtrace.DistinctBlocks(requests)/cacheShare/engines)
}

// Run plays the trace under a policy.
func (r *Replay) Run(ctx context.Context, policy string) (Result, error) {
	if policy == PolicyIdeal {
		return r.ideal(), nil
	}
	if err := r.settings.faults.checkTargets(r.settings.engines, r.settings.routers); err != nil {
		return Result{}, err
	}
	p, err := startPlay(ctx, r, policy)
	if err != nil {
		return Result{}, fmt.Errorf("policy %s: %w", policy, err)
	}
	defer p.stop()
	if err := p.run(ctx); err != nil {
		return Result{}, fmt.Errorf("policy %s: %w", policy, err)
	}
	return p.measure()
}

// ideal returns the result of one cache of the fleet's total size.
func (r *Replay) ideal() Result {
	ideal := amrtrace.NewIdeal(r.requests, r.settings.engines*r.settings.cacheBlocks, 0)
	return Result{Policy: PolicyIdeal, Requests: len(r.requests), HitRate: ideal.HitRate()}
}
