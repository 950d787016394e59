// Package amrdirect implements a router that connects to backend servers
// directly, without sidecars, on a platform that provides a replicated store.
//
// The router follows three tables of the store: the operators' configuration,
// the list of backend servers, and the rows that routers share. It forwards
// requests accordingly and, while it holds the rollout lease, orders model
// engines to load the weights that operators declared. It stores nothing on its
// host. While the store is unreachable, the router asks other routers for their
// copies of the tables and continues with the last known state.
package amrdirect

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrbytes"
	"amaranthreach.example/core/amrcoord"
	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreplica"
	"amaranthreach.example/core/amrserve"
	"amaranthreach.example/core/amrsuspect"
)

const (
	// initialRouterCount is the number of routers assumed to share the retry
	// bounds until the shared table has been read.
	initialRouterCount = 12
)

// Router forwards requests of callers directly to backend servers. Use New to
// create one.
type Router struct {
	settings   Settings
	deps       Dependencies
	clock      clockwork.Clock
	boot       amrforward.BootClock
	log        *slog.Logger
	registry   prometheus.Registerer
	fleet      *amrpool.Fleet
	forward    *amrforward.Forwarder
	rowApplier *rowApplier
	rollout    *rollout
	callers    *amrserve.ConnLimiter // Connections of callers.
	replicas   *amrreplica.Peers
	copies     *amrreplica.Server
	gossip     *amrgossip.Exchange
	placer     *amrcoord.Placer
	origins    *amrorigin.Directory
	identities *identities // Nil, as streamStore, if origins of streams are not kept in the store.
	quotas     *quotas
	factsReady chan struct{} // Signals that there are facts for the other routers.
	followers  []*amrfollow.Follower
	registrar  *registrar
	quarantine *quarantines
	signals    *signalWriter
	strikes    *strikeWriter
	routers    atomic.Int64  // Number of registered routers.
	rank       atomic.Int64  // See writeRank.
	era        atomic.Uint64 // Newest era of the platform's store that any table or router told of.
	stopping   atomic.Bool

	sharedApplied atomic.Bool  // The shared table was read and applied.
	readyAt       atomic.Int64 // Time at which the router was first ready but for the shared table, in nanoseconds since 1970; 0 before.

	softwareMu sync.Mutex        // Held while the software versions of pools are applied.
	held       *amrbytes.Account // Bytes that are held for callers.
	tableTime  tableTime

	streamStore *origins
}

// Option configures a Router.
type Option func(*Router)

// WithClock sets the clock; the default is the real clock.
func WithClock(c clockwork.Clock) Option {
	return func(r *Router) { r.clock = c }
}

// WithBootClock sets a clock that keeps running while the host is suspended.
// The default is the clock of WithClock.
func WithBootClock(c amrforward.BootClock) Option {
	return func(r *Router) { r.boot = c }
}

// WithLogger sets the logger; the default is slog.Default.
func WithLogger(log *slog.Logger) Option {
	return func(r *Router) { r.log = log }
}

// WithRegisterer sets the registerer of the router's metrics. By default they
// are not registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(r *Router) { r.registry = registerer }
}

// New returns a router that does not follow the tables until Run or
// ListenAndServe is called.
func New(deps Dependencies, settings Settings, opts ...Option) *Router {
	r := &Router{
		settings: settings,
		deps:     deps,
		clock:    clockwork.NewRealClock(),
		log:      slog.Default(),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.boot == nil {
		r.boot = r.clock
	}
	r.held = amrbytes.New(settings.heldBytes())
	r.deps.Rows = timedRows{SharedRows: deps.Rows, boot: r.boot, time: &r.tableTime}
	r.routers.Store(initialRouterCount)
	r.factsReady = make(chan struct{}, 1)
	r.fleet = amrpool.New(r.fleetOptions()...)
	r.placer = amrcoord.New(settings.Host, r.fleet, recordNames{r}, r.clock, r.log, r.registry)
	if deps.Streams != nil {
		r.streamStore = newOrigins(r)
		r.identities = newIdentities(r.streamStore, r.fleet, deps.Engines)
	}
	r.origins = amrorigin.New(r.fleet, r.clock, r.log, r.originOptions()...)
	r.quotas = newQuotas(settings.Host, settings.Bounds.Quotas, r.clock, r.boot, r.log, r.registry)
	r.quarantine = newQuarantines(r)
	r.signals = newSignalWriter(r)
	r.strikes = newStrikeWriter(r)
	r.forward = amrforward.New(r.fleet, deps.Backend, r.forwarderOptions()...)
	r.rollout = r.newRollout()
	r.callers = amrserve.NewConnLimiter(r.clock, amrserve.WithLogger(r.log), amrserve.WithRegisterer(r.registry))
	r.rowApplier = &rowApplier{callers: r.callers, decoder: deps.Decoder, fleet: r.fleet, forward: r.forward, clock: r.clock, log: r.log, rollout: r.rollout, quotas: r.quotas, listed: r.origins.RecordList, identities: r.identities}
	r.gossip = amrgossip.New(settings.Host, settings.NoticesAddress, gossipAdapter{router: r}, r.clock, r.log,
		amrgossip.WithPlacements(r.placer), amrgossip.WithOrigins(r.origins), amrgossip.WithQuotas(r.quotas), amrgossip.WithBudget(settings.noticesBudget()), amrgossip.WithRegisterer(r.registry))
	if settings.NoticesAddress != "" {
		r.placer.SetMessenger(r.gossip)
		r.origins.SetMessenger(r.gossip)
		r.quotas.setMessenger(r.gossip)
	}
	r.registrar = newRegistrar(r)
	r.createFollowers()
	if r.identities != nil {
		r.identities.servers = r.copies.Followers[tableServers]
	}
	r.registerMetrics(r.registry)
	return r
}

// forwarderOptions returns the options of the forwarder.
func (r *Router) forwarderOptions() []amrforward.Option {
	options := []amrforward.Option{
		amrforward.WithClock(r.clock),
		amrforward.WithBootClock(r.boot),
		amrforward.WithLogger(r.log),
		amrforward.WithMetrics(amrforward.NewMetrics(r.registry)),
		amrforward.WithPlacer(r.placer),
		amrforward.WithOrigins(r.origins),
		amrforward.WithQuotas(r.quotas),
		amrforward.WithReturnShare(r.settings.ReturnShare),
		amrforward.WithNews(r.requestSend),
		amrforward.WithRetryBounds(r.settings.Bounds.Retries, func() int { return int(r.routers.Load()) }),
		amrforward.WithoutSlack(),
		amrforward.WithHost(r.settings.Host),
		amrforward.WithPartChanges(r.quarantine.store),
		amrforward.WithHeldBytes(r.held),
		amrforward.WithTrials(func(f amrsuspect.Fingerprint) bool { return r.gossip.IsFirstCollector(f) }),
	}
	if r.identities != nil {
		options = append(options, amrforward.WithIdentities(r.identities))
	}
	if r.settings.NoticesAddress != "" {
		options = append(options, amrforward.WithPartReports())
	}
	return options
}

// fleetOptions returns the options of the fleet according to the settings.
func (r *Router) fleetOptions() []amrpool.Option {
	options := []amrpool.Option{
		amrpool.WithAvailabilityZone(r.settings.AvailabilityZone),
		amrpool.WithStaleWeights(r.settings.Bounds.StaleWeights),
		amrpool.WithCacheTokens(r.cacheTokens),
		amrpool.WithNews(r.requestSend),
	}
	if r.settings.PrefillRate > 0 {
		options = append(options, amrpool.WithPrefillRate(r.settings.PrefillRate))
	}
	if r.settings.AdmissionByUrgency {
		options = append(options, amrpool.WithAdmissionByUrgency())
	}
	if r.settings.HardServerMemory {
		options = append(options, amrpool.WithHardServerMemory())
	}
	return options
}

// requestSend requests that facts be sent to the other routers soon.
func (r *Router) requestSend() {
	select {
	case r.factsReady <- struct{}{}:
	default: // A request is already pending.
	}
}

// cacheTokens returns the memory of each of the pool's engines for running
// requests and cached prompts, in tokens, or 0 if it is unknown.
func (r *Router) cacheTokens(pool string) int {
	table := r.forward.Table()
	if table == nil {
		return 0
	}
	if p := table.Pool(pool); p != nil && p.Engine != nil {
		return p.Engine.CacheTokens
	}
	return 0
}

// recordNames provides the names in the records in force to the placer.
type recordNames struct {
	router *Router
}

// Pools returns the names of the pools that have servers.
func (n recordNames) Pools() []string {
	return n.router.fleet.Pools()
}

// Models returns the names of the models.
func (n recordNames) Models() []string {
	return slices.Collect(maps.Keys(n.router.modelPools()))
}

// modelPools returns the names of the pools that serve each model.
func (r *Router) modelPools() map[string][]string {
	table := r.forward.Table()
	if table == nil {
		return nil
	}
	return table.Models()
}

// Serve forwards a request of a caller to a backend server and writes the
// response to w.
func (r *Router) Serve(ctx context.Context, w http.ResponseWriter, request *amrforward.Request) {
	r.forward.Serve(ctx, w, request)
}

// sharedTableWait is the time for which a router that is ready otherwise waits for the
// shared table. It tells what servers have said of their limits before all routers were
// restarted. The tables are read at the same time, so that the wait ends sooner unless only
// this table is unavailable.
const sharedTableWait = 2 * time.Second

// Ready reports whether records are in force, the list of backend servers and the shared
// table have been read and the router is not stopping.
func (r *Router) Ready() bool {
	if r.stopping.Load() || r.forward.Table() == nil || !r.copies.Followers[tableServers].Copy().Filled() {
		return false
	}
	if r.sharedApplied.Load() {
		return true
	}
	now := r.clock.Now()
	r.readyAt.CompareAndSwap(0, now.UnixNano())
	return now.Sub(time.Unix(0, r.readyAt.Load())) >= sharedTableWait
}

// MarkNotReady makes Ready return false. The router continues to serve callers.
func (r *Router) MarkNotReady() {
	r.stopping.Store(true)
}

// MaxBodyBytes returns the maximum size in bytes of the body of a caller's
// request according to the records in force, or 0 if they set none.
func (r *Router) MaxBodyBytes() int64 {
	if table := r.forward.Table(); table != nil {
		return table.Limits().BodyBytes
	}
	return 0
}

// ApplySettings applies the settings that can change while the router runs: the
// bounds of retries and of stale weights. It ignores the others.
func (r *Router) ApplySettings(settings Settings) {
	r.forward.SetRetryBounds(settings.Bounds.Retries)
	r.fleet.SetStaleWeights(settings.Bounds.StaleWeights)
}

// PeersHandler returns a handler that serves this router's copies of tables to
// other routers.
func (r *Router) PeersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+amrreplica.PathPrefix+"{table}", r.copies)
	return mux
}

// Run registers the router, follows the tables and exchanges notices with other
// routers until ctx is done. It gives no orders to engines; ListenAndServe
// does.
func (r *Router) Run(ctx context.Context) error {
	var group errgroup.Group
	for _, f := range r.followers {
		group.Go(func() error { return f.Run(ctx) })
	}
	group.Go(func() error { return r.registrar.run(ctx) })
	group.Go(func() error { return r.quarantine.run(ctx) })
	group.Go(func() error { return r.writeRows(ctx) })
	group.Go(func() error { return r.gossip.Run(ctx) })
	group.Go(func() error { return r.placer.Run(ctx) })
	group.Go(func() error { return r.origins.Run(ctx) })
	group.Go(func() error { return r.quotas.run(ctx) })
	group.Go(func() error { return r.logCapacities(ctx) })
	return group.Wait()
}
