// Package amrreplay replays a trace through real routers and sidecars against
// stand-in engines, and measures latencies, cache hits and failures.
//
// The replay is an open loop: each request is sent at the time that the trace
// gives, whether or not earlier requests have been answered, and its latency is
// measured from that time. The logs of the engines tell which engine ran each
// request.
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
	// The default cache capacity of the fleet is the number of distinct
	// blocks in the trace divided by cacheDivisor.
	cacheDivisor = 2
)

// These policies exist only in replays. A routing policy record cannot name
// them.
const (
	// PolicyIdeal simulates one cache of the fleet's total size that all
	// requests share.
	PolicyIdeal = "ideal"
	// PolicyOmniscient places requests by the current state of every
	// engine, without delay or loss.
	PolicyOmniscient = "omniscient"
)

// Replay replays the requests of a trace under a routing policy.
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

// Option sets an option of a replay.
type Option func(*settings)

// WithEngines sets the number of engines.
func WithEngines(n int) Option {
	return func(s *settings) { s.engines = n }
}

// WithRouters sets the number of routers.
func WithRouters(n int) Option {
	return func(s *settings) { s.routers = n }
}

// WithCacheBlocks sets the capacity of each engine's cache, in blocks. By
// default, or if n is not positive, the caches of all engines together hold
// half of the distinct blocks of the trace.
func WithCacheBlocks(n int) Option {
	return func(s *settings) { s.cacheBlocks = n }
}

// WithTimeScale sets the number by which all durations of the trace and of the
// engines are divided. A scale of 2 replays the trace at twice its speed.
func WithTimeScale(scale float64) Option {
	return func(s *settings) { s.timeScale = scale }
}

// WithPolicyWeights sets the weights that the routing policy gives to the
// recomputation of prompt tokens and to waiting. Both default to 1.
func WithPolicyWeights(recompute, wait float64) Option {
	return func(s *settings) { s.recomputeWeight, s.waitWeight = recompute, wait }
}

// WithEventDelivery sets the fraction of the engines' cache events that are
// lost, from 0 to 1, and the delay of the others. Both default to 0.
func WithEventDelivery(loss float64, delay time.Duration) Option {
	return func(s *settings) { s.eventLoss, s.eventDelay = loss, delay }
}

// WithStatusLag sets the age of the status that engines report, which includes
// their load. It defaults to 0.
func WithStatusLag(lag time.Duration) Option {
	return func(s *settings) { s.statusLag = lag }
}

// WithFaults sets the faults that are injected during the replay.
func WithFaults(f Faults) Option {
	return func(s *settings) { s.faults = f }
}

// WithProgress sets the writer that receives progress lines. By default they
// are discarded.
func WithProgress(w io.Writer) Option {
	return func(s *settings) { s.progress = w }
}

// WithLogger sets the logger of the routers and sidecars. By default their logs
// are discarded.
func WithLogger(log *slog.Logger) Option {
	return func(s *settings) { s.log = log }
}

// New returns a replay of the requests, which must be ordered by time and not
// empty.
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
	return max(1, amrtrace.CountDistinctBlocks(requests)/cacheDivisor/engines)
}

// Run replays the trace under the policy on a new fleet and returns the
// measurements. It returns an error if a fault names an unknown target, if the
// fleet cannot be started, or if an injected fault cannot be applied. If
// requests were sent so late that the latencies are not reliable, Run returns
// the result together with an error.
func (r *Replay) Run(ctx context.Context, policy string) (Result, error) {
	if policy == PolicyIdeal {
		return r.idealResult(), nil
	}
	if err := r.settings.faults.checkTargets(r.settings.engines, r.settings.routers); err != nil {
		return Result{}, err
	}
	p, err := startPlayback(ctx, r, policy)
	if err != nil {
		return Result{}, fmt.Errorf("policy %s: %w", policy, err)
	}
	defer p.stop()
	if err := p.sendRequests(ctx); err != nil {
		return Result{}, fmt.Errorf("policy %s: %w", policy, err)
	}
	return p.measure()
}

// idealResult returns the hit rate of a single cache of the fleet's total size
// that all requests share.
func (r *Replay) idealResult() Result {
	cache := amrtrace.SimulateIdealCache(r.requests, r.settings.engines*r.settings.cacheBlocks, 0)
	return Result{Policy: PolicyIdeal, Requests: len(r.requests), HitRate: cache.HitRate()}
}
