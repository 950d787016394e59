// Package amrforward forwards requests of callers to backend servers that a
// router reaches directly, without a sidecar.
//
// A Forwarder finds the route and the team of a request, picks a backend
// server, sends the request to it and relays the answer. It retries a request
// only if that is safe, because the request did not run or its route allows it
// to run again, and if the retry budget is not exhausted. Otherwise it refuses
// the request immediately, and the refusal states whether the request may have
// run.
package amrforward

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrbytes"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrretry"
	"amaranthreach.example/core/amrroute"
	"amaranthreach.example/core/amrsuspect"
)

// Backend sends requests to backend servers.
type Backend interface {
	// Send sends the attempt and returns the header of the answer and its
	// unread body. The context must not end before the body is closed. Errors
	// are of type amrhttp.NotSent if the request did not reach the server, and
	// of type amrhttp.Broken if it may have run.
	Send(ctx context.Context, a Attempt) (*Answer, error)
}

// Placer selects backend servers for requests.
type Placer interface {
	// Pick selects a server for the request, whose deadline is timeLeft from now.
	// If there is no suitable server, it returns nil and the reason. It may block
	// for some milliseconds.
	Pick(ctx context.Context, r amrpool.Request, timeLeft time.Duration) (*amrpool.Choice, amrpool.Denial)
}

// Origins knows which software version of a server began each stream.
type Origins interface {
	// Begin records that a server of the pool with the software version has begun the
	// stream, or goes on with it, before the caller gets an event of that server.
	Begin(s amrorigin.Stream, pool string, software amrpool.SoftwareID)

	// Withdraw records that the version at which the stream of the pool began is not
	// known, whatever Begin was told. Nobody may go on with it.
	Withdraw(s amrorigin.Stream, pool string)

	// Find returns the origin of a stream that a caller takes up. The pool is the one
	// that a new stream would go to. It may block for some milliseconds.
	Find(ctx context.Context, s amrorigin.Stream, pool string) (amrorigin.Origin, amrorigin.Certainty)
}

// fleetPlacer is the Placer of a router that knows no others.
type fleetPlacer struct {
	fleet *amrpool.Fleet
	clock clockwork.Clock
}

// Pick selects a server by what the fleet knows.
func (p fleetPlacer) Pick(_ context.Context, r amrpool.Request, timeLeft time.Duration) (*amrpool.Choice, amrpool.Denial) {
	r.TimeLeft = timeLeft
	return p.fleet.Pick(p.clock.Now(), r)
}

// Forwarder forwards requests to backend servers. It is safe for concurrent
// use. Create it with New.
type Forwarder struct {
	fleet   *amrpool.Fleet
	placer  Placer
	origins Origins
	quotas  Quotas // Nil if teams have no quotas.

	identities Identities

	returnShare float64 // See WithReturnShare.

	backend Backend
	clock   clockwork.Clock
	boot    BootClock
	log     *slog.Logger
	metrics *Metrics
	bounds  RetryBounds
	routers func() int // Returns the number of routers that share the bounds.
	table   atomic.Pointer[amrroute.Table]

	started time.Time
	warmUp  time.Duration
	strikes *amrsuspect.Strikes

	failures         *amrsuspect.Failures
	triesQuarantined func(amrsuspect.Fingerprint) bool // Reports whether this router is the one that lets runs of the quarantined request through.

	mu             sync.Mutex
	windows        map[string]*amrretry.Window // Keyed by pool.
	slackWithheld  bool                        // Routers that used the slack may have served just before the start.
	pendingStrikes []amrgossip.Strike          // Strikes that all routers must be told of.
	reports        []amrgossip.Strike          // Strikes that the routers which collect them must be told of.
	onNews         func()                      // Called when other routers must be told of something.

	parts           *amrsuspect.Parts
	reportsParts    bool // Crashes are reported to the routers that collect them.
	storePartChange func(PartChange)
	partNews        partNews // Guarded by mu.

	held *amrbytes.Account
}

// DefaultWarmUp is the time after the start of a router during which requests
// wait for the routes and the backend servers to become known instead of being
// refused.
const DefaultWarmUp = 400 * time.Millisecond

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option {
	return func(f *Forwarder) { f.clock = c }
}

// BootClock is a clock that keeps running while the host is suspended. Only the
// difference of two of its times is meaningful.
type BootClock interface {
	Now() time.Time
}

// WithBootClock sets a clock that keeps running while the host is suspended. The
// default is the clock of WithClock.
func WithBootClock(c BootClock) Option {
	return func(f *Forwarder) { f.boot = c }
}

// WithPlacer sets the placer that selects servers in place of the fleet alone.
func WithPlacer(p Placer) Option {
	return func(f *Forwarder) { f.placer = p }
}

// WithOrigins sets what knows the origins of streams. The default knows those of this
// router.
func WithOrigins(o Origins) Option {
	return func(f *Forwarder) { f.origins = o }
}

// WithLogger replaces slog.Default as the logger.
func WithLogger(log *slog.Logger) Option {
	return func(f *Forwarder) { f.log = log }
}

// WithMetrics sets the metrics that the Forwarder updates.
func WithMetrics(m *Metrics) Option {
	return func(f *Forwarder) { f.metrics = m }
}

// WithNews sets a function that is called when the other routers must be told of a
// strike.
func WithNews(notify func()) Option {
	return func(f *Forwarder) { f.onNews = notify }
}

// WithTrials sets a function that reports whether this router is the one that now and then lets
// a run of the quarantined request through. By default it is. The function must not block.
func WithTrials(tries func(amrsuspect.Fingerprint) bool) Option {
	return func(f *Forwarder) { f.triesQuarantined = tries }
}

// WithWarmUp replaces DefaultWarmUp.
func WithWarmUp(d time.Duration) Option {
	return func(f *Forwarder) { f.warmUp = d }
}

// New returns a Forwarder. Until SetTable is called, requests wait until the end
// of the warm-up and are then refused.
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

		failures:         amrsuspect.NewFailures(),
		triesQuarantined: func(amrsuspect.Fingerprint) bool { return true },

		parts:           amrsuspect.NewParts(""),
		storePartChange: func(PartChange) {},

		onNews: func() {},
		warmUp: DefaultWarmUp,
		held:   amrbytes.New(amrbytes.DefaultBound),

		identities: listedIdentities{},
	}
	for _, opt := range opts {
		opt(f)
	}
	if f.boot == nil {
		f.boot = f.clock
	}
	if f.placer == nil {
		f.placer = fleetPlacer{fleet: fleet, clock: f.clock}
	}
	if f.origins == nil {
		f.origins = amrorigin.New(fleet, f.clock, f.log)
	}
	f.started = f.clock.Now()
	return f
}

// SetTable replaces the routing table. Requests in progress keep the table with
// which they started.
func (f *Forwarder) SetTable(t *amrroute.Table) {
	f.table.Store(t)
}

// Table returns the current routing table, or nil if none has been set.
func (f *Forwarder) Table() *amrroute.Table {
	return f.table.Load()
}

// Serve answers the request. The context must end when the caller disconnects.
// If an answer breaks off after its header was written, Serve panics with
// http.ErrAbortHandler, so that the caller cannot mistake it for a complete
// one.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	x := &exchange{f: f, w: w, request: r, started: f.clock.Now(), startedBoot: f.boot.Now(), table: f.awaitTable(ctx)}
	refusal := x.admit()
	if refusal == nil {
		x.limitWrites()
		refusal = x.run(ctx)
		x.giveBack()
	}
	x.endTrial()
	if refusal != nil {
		x.refuse(*refusal)
	}
	x.report(ctx)
	if x.refused != nil && x.headerWritten {
		x.abort()
	}
	x.deliver(ctx)
}

// abort ends an answer that broke off, so that the caller cannot mistake it for a
// complete one. It panics with http.ErrAbortHandler, upon which the server closes
// the connection without ending the body. If that would look like its end, abort
// resets the connection.
func (x *exchange) abort() {
	if x.request.EndsWithConnection {
		if conn, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				_ = tcp.SetLinger(0) // Returns an error only if the connection is closed.
			}
			_ = conn.Close() // The same.
		}
	}
	panic(http.ErrAbortHandler)
}

// awaitTable returns the current routing table. During the warm-up it waits
// until there is one. It returns nil if there is none at the end of the warm-up
// or of the context.
func (f *Forwarder) awaitTable(ctx context.Context) *amrroute.Table {
	for {
		table := f.Table()
		if table != nil || f.clock.Since(f.started) >= f.warmUp {
			return table
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.clock.After(pollInterval):
		}
	}
}

// admit determines the route, team, pool and deadline of the request. It
// returns a refusal if the request must not be sent to any backend server.
func (x *exchange) admit() *refusal {
	if r := x.resolve(); r != nil {
		return r
	}
	x.fingerprint = amrsuspect.FingerprintOf(x.request.Key, x.request.Method, x.request.Target, string(x.request.Body))
	if r := x.checkQuarantine(x.request.Arrived); r != nil {
		return r
	}
	return x.checkParts(x.request.Arrived)
}

// resolve determines the route, team, pool and deadline of the request. It records
// nothing.
func (x *exchange) resolve() *refusal {
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
	if x.f.fleet.AdmitsByUrgency(x.pool) {
		x.priority = x.table.Priority(x.route, team)
	}
	x.retryable = x.route.Repeatable()
	x.suspects = x.request.suspectParts()
	x.deadline = x.request.Arrived.Add(x.route.Timeout)
	if p := x.request.CallerTimeout; p > 0 && p < x.route.Timeout {
		x.deadline = x.request.Arrived.Add(p)
	}
	return nil
}

// poolRequest returns the criteria by which the fleet picks a server for the
// request.
func (x *exchange) poolRequest() amrpool.Request {
	r := amrpool.Request{Pool: x.pool, Exclude: x.excluded, NoPartsWait: x.skipPartsWait, Urgent: x.priority == 0, Priority: x.priority, Software: x.software}
	if x.team != nil {
		r.Team = x.team.Name
	}
	if x.request.Model == "" {
		if len(x.sends) == 0 {
			r.Goal = x.route.LatencyGoal
		}
		return r
	}
	r.Model = x.request.Model
	r.Parts = x.request.Parts
	r.PromptTokens = x.request.PromptTokens
	r.OutputTokens = x.request.OutputTokens
	if len(x.sends) == 0 && x.software == 0 {
		// A request that waits longer misses the latency goal of its route, and
		// delays the requests behind it. A stream that has begun goes on nonetheless.
		r.MaxWait = x.route.LatencyGoal
	}
	r.Isolated = x.team != nil && x.team.Isolated
	return r
}
