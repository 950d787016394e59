// Package amrengine is a small stand-in of a model engine. It serves the
// interface that docs/design/engine-api.md describes and keeps a log of every
// run, which tests take as the truth about lost and doubled work.
//
// The engine computes prompts one at a time, in order of priority and arrival,
// and generates tokens for a batch of requests in steps. A request holds a
// place in the batch from the start of its prefill to its last token.
package amrengine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrprompt"
)

// Engine is a stand-in of a model engine.
type Engine struct {
	settings settings
	mux      *http.ServeMux

	mu          sync.Mutex
	random      *rand.Rand
	scheduler   *scheduler
	events      *eventLog
	timer       clockwork.Timer
	timerDue    time.Time // When timer fires; zero while none is armed.
	incarnation string
	dead        chan struct{} // Closed when the incarnation ends.
	down        bool
	frozen      chan struct{} // Closed when the engine thaws; nil when it runs.
	weights     string
	role        string
	adapters    []string
	floor       uint64
	loading     bool
	loadFailing bool
	runs        []Run
	orders      []Order
	samples     []statusSample
}

// New returns an engine that is up and idle.
func New(opts ...Option) *Engine {
	s := defaultSettings()
	for _, opt := range opts {
		opt(&s)
	}
	e := &Engine{
		settings: s,
		random:   rand.New(rand.NewPCG(s.seed, s.seed)),
	}
	e.mux = e.routes()
	e.boot()
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.awaitThaw(r) {
			panic(http.ErrAbortHandler)
		}
		e.mux.ServeHTTP(w, r)
	})
}

// Crash cuts every connection and loses all work and the cache. The engine
// comes back under a new incarnation after the down time, or with Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// CrashFor is Crash with another down time; 0 keeps the engine down until
// Restart.
func (e *Engine) CrashFor(downTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.downTime = downTime
	e.crash()
}

// Restart brings a crashed engine back, and crashes one that is up first.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.crash()
	}
	e.boot()
}

// Freeze stops the engine for the duration: it makes no progress, takes no
// request and keeps its connections.
func (e *Engine) Freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil || e.down {
		return
	}
	e.advance()
	thawed := make(chan struct{})
	e.frozen = thawed
	e.settings.clock.AfterFunc(e.settings.scaled(d), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		close(thawed)
		if e.frozen == thawed {
			e.frozen = nil
			e.scheduler.shift(e.settings.scaled(d))
			e.progress()
		}
	})
}

// SetEventLoss changes the share of cache events that are lost.
func (e *Engine) SetEventLoss(fraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.eventLoss = fraction
}

// SetStatusLag changes how far status lags behind.
func (e *Engine) SetStatusLag(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.statusLag = lag
}

// SetPoison changes the text that crashes the engine.
func (e *Engine) SetPoison(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.poison = text
}

// PauseAt lets answers go no further than the number of tokens, resumed ones
// counted, until it is called with a higher one. With 0 they go on to their ends.
func (e *Engine) PauseAt(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.pauseAt = tokens
	e.scheduler.settings.pauseAt = tokens
}

// FailLoads makes orders to load weights fail until it is called with false.
func (e *Engine) FailLoads(fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadFailing = fail
}

// Incarnation returns the identity of the engine's present life.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// State is the exact state of an engine at an instant.
type State struct {
	Up            bool
	Incarnation   string
	Weights       string
	Running       int // Requests in prefill or in the batch.
	Waiting       int // Requests not yet in prefill.
	WaitingTokens int // Prompt tokens that the accepted requests still have to compute.
	CachedTokens  int // Tokens of the asked keys that are in the cache.
}

// State returns the exact state of the engine now, and how much of the prompt
// with the given keys is cached.
func (e *Engine) State(keys []amrprompt.Key) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return State{
		Up:            e.up(),
		Incarnation:   e.incarnation,
		Weights:       e.weights,
		Running:       e.scheduler.running(),
		Waiting:       len(e.scheduler.waiting),
		WaitingTokens: e.scheduler.waitingTokens(e.settings.clock.Now()),
		CachedTokens:  e.scheduler.cache.depth(keys) * amrprompt.TokensPerBlock,
	}
}

// up reports whether the engine takes requests. The caller holds mu.
func (e *Engine) up() bool {
	return !e.down && !e.loading && e.frozen == nil
}

// CachedDepth returns how many of the keys, from the first on, are cached.
func (e *Engine) CachedDepth(keys []amrprompt.Key) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.scheduler.cache.depth(keys)
}

// Log returns every run that started, in order, over all incarnations.
func (e *Engine) Log() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return append([]Run(nil), e.runs...)
}

// Orders returns every order that was carried out, in order.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// boot starts a new incarnation. The caller holds mu.
func (e *Engine) boot() {
	e.incarnation = fmt.Sprintf("%016x", e.random.Uint64())
	e.dead = make(chan struct{})
	e.down = false
	e.loading = false
	e.weights = e.settings.weights
	e.role = e.settings.role
	e.adapters = nil
	e.floor = 0
	e.events = newEventLog()
	e.samples = nil
	e.scheduler = newScheduler(e.settings, e)
}

// crash ends the incarnation. The caller holds mu.
func (e *Engine) crash() {
	if e.down {
		return
	}
	e.advance()
	if e.down { // A poisoned request was due.
		return
	}
	e.end()
}

func (e *Engine) end() {
	e.down = true
	e.frozen = nil
	e.scheduler.abandon()
	close(e.dead)
	if e.settings.downTime <= 0 {
		return
	}
	ended := e.incarnation
	e.settings.clock.AfterFunc(e.settings.scaled(e.settings.downTime), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.down && e.incarnation == ended {
			e.boot()
		}
	})
}

// advance brings the scheduler up to the present. The caller holds mu.
func (e *Engine) advance() {
	if e.down || e.frozen != nil {
		return
	}
	if e.scheduler.advance(e.settings.clock.Now()) {
		e.end()
	}
}

// progress advances the scheduler and arms the timer for its next event. The
// caller holds mu.
func (e *Engine) progress() {
	e.advance()
	if e.down || e.frozen != nil {
		return
	}
	e.sample()
	due, ok := e.scheduler.next()
	if !ok || (!e.timerDue.IsZero() && !e.timerDue.After(due)) {
		return
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	e.timerDue = due
	e.timer = e.settings.clock.AfterFunc(due.Sub(e.settings.clock.Now()), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.timerDue.Equal(due) {
			e.timerDue = time.Time{}
		}
		e.progress()
	})
}

// awaitThaw waits while the engine is frozen and reports whether it is up.
func (e *Engine) awaitThaw(r *http.Request) bool {
	e.mu.Lock()
	down, frozen, dead := e.down, e.frozen, e.dead
	e.mu.Unlock()
	if frozen == nil {
		return !down
	}
	select {
	case <-frozen:
		return true
	case <-dead:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) poisoned(prompt string) bool {
	return e.settings.poison != "" && strings.Contains(prompt, e.settings.poison)
}
