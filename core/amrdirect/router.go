// Package amrdirect is a router that reaches backend servers directly, without
// sidecars, on a platform whose store tells it everything.
//
// It follows the operators' records, the list of backend servers and the rows
// that routers share, forwards requests by them, and, while it holds the lease
// of orders, brings engines to the weights that operators named. It keeps
// nothing on its host. While the store cannot be reached it asks other routers
// for their copies, and goes on with what it knows.
package amrdirect

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
)

const (
	// routerPrefix begins the keys of the shared rows in which routers register.
	routerPrefix = "router/"

	// registerPause is the pause after a failed registration.
	registerPause = 500 * time.Millisecond

	// assumedRouters is the number of routers taken to share the bounds before
	// the shared rows tell.
	assumedRouters = 12
)

// The least times between two calls for changes of a table. Changes of weights
// concern many servers at a time, and records may change in quick succession.
// What the routers tell one another says which servers to keep off at once.
const (
	operatorPace = 100 * time.Millisecond

	// The list of servers and the shared rows are read less often the more
	// routers read them, so that their calls together do not grow with their
	// number. A server that leaves is to be known well within the bound of
	// draining, and a lease before it could lapse.
	serversPace = 200 * time.Millisecond
	sharedPace  = 0                     // Among few, a lease is to be known at once.
	fewRouters  = 8                     // Up to which the calls of all fit the store.
	pacePer     = 33 * time.Millisecond // For each router, where there are more than a few.
	longestPace = time.Second
)

// The times for which tables may hold a call for changes.
const (
	// silenceMargin is what is left of the bound within which a silent
	// connection is to be noticed, for the call after it.
	silenceMargin = 600 * time.Millisecond

	// sharedWait is longer, since routers tell one another of the shared rows'
	// changes, and write them under a condition.
	sharedWait = 9 * time.Second
)

// The names of the tables in logs and towards other routers.
const (
	tableOperator = "operator"
	tableServers  = "servers"
	tableShared   = "shared"
)

// Settings configure a Router.
type Settings struct {
	Host             string // Name of the router's host.
	AvailabilityZone string
	PeersAddress     string   // Where this router serves its copies; empty for nowhere.
	NoticesAddress   string   // Where it receives notices of other routers; empty for nowhere.
	Seeds            []string // Where some routers served theirs when the host started.
	Bounds           Bounds
	PrefillRate      float64 // Prompt tokens that an engine reads in a second.
}

// Router is a router that reaches backend servers directly. Create it with New.
type Router struct {
	settings  Settings
	ports     Ports
	clock     clockwork.Clock
	boot      BootClock
	log       *slog.Logger
	registry  prometheus.Registerer
	fleet     *amrpool.Fleet
	forward   *amrforward.Forwarder
	beliefs   *beliefs
	rollout   *rollout
	replicas  *replicas
	gossip    *amrgossip.Exchange
	followers []*amrfollow.Follower
	routers   atomic.Int64
	stopping  atomic.Bool
}

// Option configures a Router.
type Option func(*Router)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option {
	return func(r *Router) { r.clock = c }
}

// WithBootClock sets a clock that goes on while the host is suspended.
func WithBootClock(c BootClock) Option {
	return func(r *Router) { r.boot = c }
}

// WithLogger sets where decisions are logged.
func WithLogger(log *slog.Logger) Option {
	return func(r *Router) { r.log = log }
}

// WithRegisterer sets where metrics are registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(r *Router) { r.registry = registerer }
}

// New returns a router that knows nothing yet.
func New(ports Ports, settings Settings, opts ...Option) *Router {
	r := &Router{
		settings: settings,
		ports:    ports,
		clock:    clockwork.NewRealClock(),
		log:      slog.Default(),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.boot == nil {
		r.boot = r.clock
	}
	r.routers.Store(assumedRouters)
	r.fleet = amrpool.New(r.fleetOptions()...)
	r.forward = amrforward.New(r.fleet, ports.Backend,
		amrforward.WithClock(r.clock),
		amrforward.WithLogger(r.log),
		amrforward.WithMetrics(amrforward.NewMetrics(r.registry)),
		amrforward.WithRetryBounds(settings.Bounds.Retries, func() int { return int(r.routers.Load()) }),
	)
	r.rollout = r.newRollout()
	r.beliefs = &beliefs{decoder: ports.Decoder, fleet: r.fleet, forward: r.forward, clock: r.clock, log: r.log, rollout: r.rollout}
	r.gossip = amrgossip.New(settings.Host, settings.NoticesAddress, gossipBeliefs{fleet: r.fleet, forward: r.forward, rollout: r.rollout, log: r.log}, r.clock, r.log)
	r.follow()
	r.register(r.registry)
	return r
}

func (r *Router) fleetOptions() []amrpool.Option {
	options := []amrpool.Option{
		amrpool.WithAvailabilityZone(r.settings.AvailabilityZone),
		amrpool.WithStaleWeights(r.settings.Bounds.StaleAfter, r.settings.Bounds.StaleLimit),
		amrpool.WithCacheTokens(r.cacheTokens),
		amrpool.WithClock(r.clock),
	}
	if r.settings.PrefillRate > 0 {
		options = append(options, amrpool.WithPrefillRate(r.settings.PrefillRate))
	}
	return options
}

func (r *Router) newRollout() *rollout {
	return &rollout{
		ports:     r.ports,
		fleet:     r.fleet,
		pools:     r.models,
		host:      r.settings.Host,
		boot:      r.boot,
		clock:     r.clock,
		log:       r.log,
		wake:      make(chan struct{}, 1),
		mode:      Retain,
		loads:     semaphore.NewWeighted(loadUnits),
		orders:    newOrderCounter(),
		lease:     amrorder.NewFollowedLease(r.boot.Now(), leaseKey, r.settings.Host, uuid.NewString(), leaseTTL),
		handover:  newHandover(r.boot.Now(), r.settings.Host, r.settings.Bounds.LeaseHandover),
		upgrades:  make(map[string]*amrorder.Upgrade),
		changes:   make(map[string]amrpool.Change),
		namings:   make(map[NewWeights]time.Duration),
		announced: true,
	}
}

// follow creates the followers of the tables.
func (r *Router) follow() {
	r.replicas = &replicas{
		own:       r.settings.PeersAddress,
		followers: make(map[string]*amrfollow.Follower),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		clock:     r.clock,
	}
	r.replicas.setAddresses(r.settings.Seeds)
	for _, t := range []struct {
		name   string
		source amrfollow.Source
		apply  func(amrfollow.Update)
		pace   func() time.Duration
		wait   time.Duration
	}{
		{tableOperator, r.ports.Operator, r.beliefs.operator, func() time.Duration { return operatorPace }, r.tableWait()},
		{tableServers, r.ports.Servers, r.beliefs.servers, func() time.Duration { return r.pace(serversPace) }, r.tableWait()},
		{tableShared, r.ports.Shared, r.shared, func() time.Duration { return r.pace(sharedPace) }, sharedWait},
	} {
		f := amrfollow.New(t.name, t.source, r.log, t.apply, amrfollow.WithPace(t.pace), amrfollow.WithWait(t.wait), amrfollow.WithClock(r.clock), amrfollow.WithReplica(r.replicas.of(t.name)))
		r.replicas.followers[t.name] = f
		r.followers = append(r.followers, f)
	}
}

// tableWait returns how long operators' and servers' rows may hold a call.
func (r *Router) tableWait() time.Duration {
	if bound := r.settings.Bounds.Silence; bound > silenceMargin {
		return bound - silenceMargin
	}
	return amrfollow.DefaultWait
}

// pace returns the least time between two calls for changes of a table that
// all routers read: the given one where they are few.
func (r *Router) pace(few time.Duration) time.Duration {
	routers := r.routers.Load()
	if routers <= fewRouters {
		return few
	}
	return min(max(time.Duration(routers)*pacePer, few), longestPace)
}

// cacheTokens returns the memory of a pool's engines, or 0.
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

// models returns the pools that serve each model.
func (r *Router) models() map[string][]string {
	table := r.forward.Table()
	if table == nil {
		return nil
	}
	return table.Models()
}

// Serve answers a request of a caller.
func (r *Router) Serve(ctx context.Context, w http.ResponseWriter, request *amrforward.Request) {
	r.forward.Serve(ctx, w, request)
}

// Ready reports whether the router can serve and is to go on doing so.
func (r *Router) Ready() bool {
	return !r.stopping.Load() && r.forward.Table() != nil && r.replicas.followers[tableServers].Copy().Version() > 0
}

// Stop makes the router unready and ends its orders. It goes on serving.
func (r *Router) Stop() {
	r.stopping.Store(true)
}

// BodyBytes returns the largest body that a caller may send, or 0.
func (r *Router) BodyBytes() int64 {
	if table := r.forward.Table(); table != nil {
		return table.Limits().BodyBytes
	}
	return 0
}

// Apply puts changed settings in force, as far as they can change while the
// router runs.
func (r *Router) Apply(settings Settings) {
	r.forward.SetRetryBounds(settings.Bounds.Retries)
	r.fleet.SetStaleWeights(settings.Bounds.StaleAfter, settings.Bounds.StaleLimit)
}

// PeersHandler serves this router's copies of tables to other routers.
func (r *Router) PeersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+replicaPath+"{table}", r.replicas)
	return mux
}

// Run follows the platform until ctx is done.
func (r *Router) Run(ctx context.Context) error {
	var group errgroup.Group
	for _, f := range r.followers {
		group.Go(func() error { return f.Run(ctx) })
	}
	group.Go(func() error { return r.registerSelf(ctx) })
	group.Go(func() error { return r.gossip.Run(ctx) })
	return group.Wait()
}

// shared takes in the rows that the routers share.
func (r *Router) shared(u amrfollow.Update) {
	r.rollout.shared(u)
	var hosts, addresses, notices []string
	for _, row := range r.replicas.followers[tableShared].Copy().Rows() {
		host, ok := strings.CutPrefix(row.Key, routerPrefix)
		if !ok {
			continue
		}
		var registration registration
		if err := json.Unmarshal(row.Value, &registration); err != nil {
			r.log.Warn("cannot read the registration of a router, it is not asked for its copies", "host", host, "err", err)
			continue
		}
		hosts = append(hosts, host)
		notices = append(notices, registration.Notices)
		if registration.Address != "" {
			addresses = append(addresses, registration.Address)
		}
	}
	if len(hosts) == 0 {
		return
	}
	r.routers.Store(int64(len(hosts)))
	r.rollout.setRank(max(0, slices.Index(hosts, r.settings.Host)))
	r.replicas.setAddresses(addresses)
	r.gossip.SetPeers(notices)
}

// registration is the value of the row in which a router registers.
type registration struct {
	Address string `json:"address"` // Where it serves its copies.
	Notices string `json:"notices"` // Where it receives notices.
}

// registerSelf writes this router's registration.
func (r *Router) registerSelf(ctx context.Context) error {
	value, err := json.Marshal(registration{Address: r.settings.PeersAddress, Notices: r.settings.NoticesAddress})
	if err != nil {
		panic(err) // A string can always be encoded.
	}
	txn := amrplatform.Txn{Puts: []amrplatform.Put{{Key: routerPrefix + r.settings.Host, Value: value}}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := r.ports.Rows.Write(callCtx, txn)
		cancel()
		if err == nil {
			return nil
		}
		r.log.Warn("cannot register with the other routers, trying again", "err", err)
		if r.rollout.pause(ctx, registerPause) != nil {
			return nil
		}
	}
	return nil
}
