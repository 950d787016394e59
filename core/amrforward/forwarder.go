// Package amrforward forwards requests of callers to backend servers that a
// router reaches directly.
//
// A Forwarder finds the route and team of a request, has a server chosen, sends
// the request and relays the answer. It sends a request again only where that
// is safe and within the budget of repeated sends, and otherwise refuses it at
// once with what is known of whether it ran.
package amrforward

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrretry"
	"amaranthreach.example/core/amrroute"
	"amaranthreach.example/core/amrsuspect"
)

// Backend sends requests to backend servers.
type Backend interface {
	// Send sends the attempt and returns the head of the answer. The context
	// must last until the answer's body is closed. Errors are of kind
	// amrhttp.NotSent or amrhttp.Broken.
	Send(ctx context.Context, a Attempt) (*Answer, error)
}

// RetryBounds bound the repeated sends to each pool over all routers.
type RetryBounds struct {
	Ratio  float64 // Repeated sends for each request.
	Slack  float64 // Further repeated sends in a window.
	Window time.Duration
}

// Forwarder forwards requests. Create it with New.
type Forwarder struct {
	fleet   *amrpool.Fleet
	backend Backend
	clock   clockwork.Clock
	log     *slog.Logger
	metrics *Metrics
	bounds  RetryBounds
	routers func() int // Number of routers that share the bounds.
	table   atomic.Pointer[amrroute.Table]

	started time.Time
	warmUp  time.Duration
	strikes *amrsuspect.Strikes

	mu      sync.Mutex
	windows map[string]*amrretry.Window // By pool.
	told    []amrgossip.Strike          // That other routers are still to be told of.
}

// DefaultWarmUp is the time after its start in which a router waits for what it
// has to know before it refuses a request.
const DefaultWarmUp = 400 * time.Millisecond

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option {
	return func(f *Forwarder) { f.clock = c }
}

// WithLogger sets where decisions are logged.
func WithLogger(log *slog.Logger) Option {
	return func(f *Forwarder) { f.log = log }
}

// WithMetrics sets where requests are counted.
func WithMetrics(m *Metrics) Option {
	return func(f *Forwarder) { f.metrics = m }
}

// WithRetryBounds sets the bounds of repeated sends and the function that
// tells how many routers share them.
func WithRetryBounds(b RetryBounds, routers func() int) Option {
	return func(f *Forwarder) { f.bounds, f.routers = b, routers }
}

// WithWarmUp replaces DefaultWarmUp.
func WithWarmUp(d time.Duration) Option {
	return func(f *Forwarder) { f.warmUp = d }
}

// New returns a Forwarder that refuses all requests until it has a table.
func New(fleet *amrpool.Fleet, backend Backend, opts ...Option) *Forwarder {
	f := &Forwarder{
		fleet:   fleet,
		backend: backend,
		clock:   clockwork.NewRealClock(),
		log:     slog.Default(),
		metrics: NewMetrics(nil),
		bounds:  RetryBounds{Ratio: 0.1, Window: 10 * time.Second},
		routers: func() int { return 1 },
		windows: make(map[string]*amrretry.Window),
		strikes: amrsuspect.NewStrikes(),
		warmUp:  DefaultWarmUp,
	}
	for _, opt := range opts {
		opt(f)
	}
	f.started = f.clock.Now()
	return f
}

// SetTable sets the routes in force.
func (f *Forwarder) SetTable(t *amrroute.Table) {
	f.table.Store(t)
}

// Table returns the routes in force, or nil.
func (f *Forwarder) Table() *amrroute.Table {
	return f.table.Load()
}

// SetRetryBounds replaces the bounds of repeated sends.
func (f *Forwarder) SetRetryBounds(b RetryBounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bounds == b {
		return
	}
	f.bounds = b
	clear(f.windows)
}

// Serve answers the request. The context must end when the caller leaves.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	x := &exchange{f: f, w: w, request: r, table: f.awaitTable(ctx)}
	refusal := x.admit()
	if refusal == nil {
		refusal = x.run(ctx)
	}
	if refusal != nil {
		x.refuse(*refusal)
	}
	x.report(ctx)
	if x.refused != nil && x.began {
		panic(http.ErrAbortHandler) // The caller must not take the answer for whole.
	}
}

// awaitTable returns the routes in force. A router that has just started waits
// for them a moment.
func (f *Forwarder) awaitTable(ctx context.Context) *amrroute.Table {
	for {
		table := f.Table()
		if table != nil || f.clock.Since(f.started) >= f.warmUp {
			return table
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.clock.After(pollPool):
		}
	}
}

// admit finds the route, team and pool of the request.
func (x *exchange) admit() *refusal {
	if x.table == nil {
		return &refusal{code: amrreason.NotReady, ran: amrreason.NotRun, retryAfter: notReadyRetry}
	}
	x.route = x.table.Match(x.request.Host, x.request.Path)
	if x.route == nil {
		return &refusal{code: amrreason.UnknownDeployment, ran: amrreason.NotRun}
	}
	team, ok := x.table.Team(x.route, x.request.Key)
	if !ok {
		return &refusal{code: amrreason.Unauthorized, ran: amrreason.NotRun}
	}
	x.team = team
	x.priority = x.route.Priority
	if team != nil && team.Priority != nil {
		x.priority = *team.Priority
	}
	x.pool = x.route.PoolOf(x.request.ID)
	x.repeatable = x.route.Repeatable()
	x.fingerprint = amrsuspect.FingerprintOf(x.request.Key, x.request.Method, x.request.Target, string(x.request.Body))
	if r := x.quarantine(x.request.Arrived); r != nil {
		return r
	}
	x.until = x.request.Arrived.Add(x.route.Timeout)
	if p := x.request.Patience; p > 0 && p < x.route.Timeout {
		x.until = x.request.Arrived.Add(p)
	}
	return nil
}

// first counts a request to the pool.
func (f *Forwarder) first(now time.Time, pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(pool).First(now)
}

// repeat takes a repeated send from the pool's budget.
func (f *Forwarder) repeat(now time.Time, pool string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.window(pool).Repeat(now, f.routers())
}

// RetriesLeft returns how many repeated sends the budget of each pool allows
// now.
func (f *Forwarder) RetriesLeft(now time.Time) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := make(map[string]int, len(f.windows))
	for pool, w := range f.windows {
		left[pool] = w.Left(now, f.routers())
	}
	return left
}

func (f *Forwarder) window(pool string) *amrretry.Window {
	w := f.windows[pool]
	if w == nil {
		w = amrretry.NewWindow(f.bounds.Ratio, f.bounds.Slack, f.bounds.Window)
		f.windows[pool] = w
	}
	return w
}

// poolRequest is what the fleet is asked for.
func (x *exchange) poolRequest() amrpool.Request {
	r := amrpool.Request{Pool: x.pool, Exclude: x.excluded, NoPartsWait: x.impatient, Urgent: x.priority == 0}
	if x.request.Model == "" {
		return r
	}
	r.Model = x.request.Model
	r.Parts = x.request.Parts
	r.PromptTokens = x.request.PromptTokens
	r.OutputTokens = x.request.OutputTokens
	if len(x.sends) == 0 {
		r.MaxWait = x.route.Goal // One that waits longer is late, and makes others late.
	}
	if x.team != nil {
		r.Team, r.Isolated = x.team.Name, x.team.Isolated
	}
	return r
}
