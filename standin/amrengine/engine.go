// Package amrengine implements a stand-in for a model engine. It serves the
// HTTP interface that docs/design/engine-api.md describes and simulates the
// durations of prefill, decode and loads of weights, a prefix cache, and
// faults. It runs no model: completions are pseudorandom text that depends on
// the prompt only. It records every run of a request; tests rely on these
// records to detect lost and duplicate work.
//
// The engine runs the prefill of one prompt at a time, in the order of priority
// and arrival, and decodes a batch of requests in steps that generate one token
// for each. A request occupies a slot of the batch from the start of its
// prefill to its last token.
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

// Engine is a stand-in for a model engine. Its methods are safe for concurrent
// use.
type Engine struct {
	settings settings
	mux      *http.ServeMux

	mu          sync.Mutex
	random      *rand.Rand
	scheduler   *scheduler
	events      *eventLog
	timer       clockwork.Timer
	timerDue    time.Time // Time at which timer fires; zero if no timer is armed.
	incarnation string
	ended       chan struct{} // Closed when the incarnation ends.
	down        bool
	frozen      chan struct{} // Closed when the freeze ends; nil if the engine is not frozen.
	weights     string
	role        string
	adapters    []string
	floor       uint64 // Highest accepted fence of the incarnation.
	loading     bool
	failLoads   bool
	runs        []Run   // Of all incarnations.
	orders      []Order // Of all incarnations.
	samples     []statusSample
}

// New returns an idle engine that accepts requests.
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
	e.startIncarnation()
	return e
}

// Handler returns the handler of the engine's HTTP interface. While the engine
// is down it aborts every connection; while the engine is frozen, requests
// wait.
func (e *Engine) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.awaitUnfrozen(r) {
			panic(http.ErrAbortHandler)
		}
		e.mux.ServeHTTP(w, r)
	})
}

// Crash simulates a crash: the engine loses its completions and its cache, and
// aborts the connections of completions and of requests that wait for the end
// of a freeze or for cache events. Other requests in progress end in their own
// way: a wait for cache events may still return the event that the cache was
// cleared; an export or import copies no further blocks and responds with the
// number of blocks so far; the connection of an order is aborted only when its
// load ends. The engine starts again with a new incarnation after the down time
// or when Restart is called. Crash does nothing if the engine is down.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// CrashFor sets the down time, also for later crashes, and crashes the engine.
// With a down time of 0 the engine stays down until Restart is called.
func (e *Engine) CrashFor(downTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.downTime = downTime
	e.crash()
}

// Restart starts a new incarnation immediately. If the engine is not down, it
// crashes first.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.crash()
	}
	e.startIncarnation()
}

// Freeze suspends the engine for the duration, divided by the time scale: it
// makes no progress in prefill and decode and accepts no requests, but keeps
// its connections. A load of weights continues. Freeze does nothing if the
// engine is frozen or down.
func (e *Engine) Freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil || e.down {
		return
	}
	e.advance()
	unfrozen := make(chan struct{})
	e.frozen = unfrozen
	e.settings.clock.AfterFunc(e.settings.scaled(d), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		close(unfrozen)
		if e.frozen == unfrozen {
			e.frozen = nil
			e.scheduler.postpone(e.settings.scaled(d))
			e.advanceAndArmTimer()
		}
	})
}

// SetEventLoss sets the fraction of cache events, from 0 to 1, that are lost.
func (e *Engine) SetEventLoss(fraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.eventLoss = fraction
}

// SetStatusLag sets the age of the status that the engine reports.
func (e *Engine) SetStatusLag(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.statusLag = lag
}

// SetPoison sets the text that crashes the engine when a prompt contains it. An
// empty text disables this fault. It applies to requests that arrive later.
func (e *Engine) SetPoison(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.poison = text
}

// PauseAt pauses the generation of every completion when it has the number of
// tokens, including those of a resumed text. Calling it again with a higher
// number resumes the generation up to that number, and with 0 without a limit.
func (e *Engine) PauseAt(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.pauseAt = tokens
	e.scheduler.settings.pauseAt = tokens
}

// SetFailLoads sets whether orders to load weights fail.
func (e *Engine) SetFailLoads(fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failLoads = fail
}

// Incarnation returns the random identifier of the current incarnation. The
// engine gets a new one whenever it starts again after a crash.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// State is the exact state of an engine at a point in time.
type State struct {
	Up            bool // Whether the engine accepts requests.
	Incarnation   string
	Weights       string
	Running       int // Number of requests in prefill or decode.
	Waiting       int // Number of requests whose prefill has not started.
	WaitingTokens int // Estimated tokens still to be computed in the prefill of accepted requests.
	CachedTokens  int // Tokens of the leading blocks of the given keys that are cached.
}

// State returns the current state of the engine. Unlike the status of the HTTP
// interface it has no lag. The keys are the block keys of a prompt, for which
// it returns the number of cached tokens.
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
		CachedTokens:  e.scheduler.cache.prefixBlocks(keys) * amrprompt.TokensPerBlock,
	}
}

// up reports whether the engine accepts requests. The caller holds mu.
func (e *Engine) up() bool {
	return !e.down && !e.loading && e.frozen == nil
}

// CachedPrefixBlocks returns the number of leading keys whose blocks are
// cached.
func (e *Engine) CachedPrefixBlocks(keys []amrprompt.Key) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.scheduler.cache.prefixBlocks(keys)
}

// Runs returns the runs of all incarnations in the order in which they started.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return append([]Run(nil), e.runs...)
}

// Orders returns the executed orders of all incarnations in the order in which
// their execution ended.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// startIncarnation starts a new incarnation. The caller holds mu.
func (e *Engine) startIncarnation() {
	e.incarnation = fmt.Sprintf("%016x", e.random.Uint64())
	e.ended = make(chan struct{})
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
	if e.down { // The call of advance has crashed the engine.
		return
	}
	e.endIncarnation()
}

// endIncarnation ends all requests as crashed, takes the engine down and, if
// there is a down time, schedules the next incarnation. The caller holds mu.
func (e *Engine) endIncarnation() {
	e.down = true
	e.frozen = nil
	e.scheduler.crashAll()
	close(e.ended)
	if e.settings.downTime <= 0 {
		return
	}
	crashedIncarnation := e.incarnation
	e.settings.clock.AfterFunc(e.settings.scaled(e.settings.downTime), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.down && e.incarnation == crashedIncarnation {
			e.startIncarnation()
		}
	})
}

// advance processes all events of the scheduler that are due. The engine
// crashes if one of them is the end of the prefill of a poison request. advance
// does nothing while the engine is down or frozen. The caller holds mu.
func (e *Engine) advance() {
	if e.down || e.frozen != nil {
		return
	}
	if e.scheduler.advance(e.settings.clock.Now()) {
		e.endIncarnation()
	}
}

// advanceAndArmTimer advances the scheduler, records a sample of the status and
// arms the timer for the next event of the scheduler. The caller holds mu.
func (e *Engine) advanceAndArmTimer() {
	e.advance()
	if e.down || e.frozen != nil {
		return
	}
	e.recordSample()
	due, ok := e.scheduler.nextDue()
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
		e.advanceAndArmTimer()
	})
}

// awaitUnfrozen waits while the engine is frozen. It reports false if the
// engine is down, crashes while frozen, or the client disconnects.
func (e *Engine) awaitUnfrozen(r *http.Request) bool {
	e.mu.Lock()
	down, frozen, ended := e.down, e.frozen, e.ended
	e.mu.Unlock()
	if frozen == nil {
		return !down
	}
	select {
	case <-frozen:
		return true
	case <-ended:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) containsPoison(prompt string) bool {
	return e.settings.poison != "" && strings.Contains(prompt, e.settings.poison)
}
