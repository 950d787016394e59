// Package amrrouter implements the router process. A router accepts requests of
// callers, selects a backend server for each, relays the response, and records the
// decision, which operators can query.
package amrrouter

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	goahttp "goa.design/goa/v3/http"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrexplain"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrledger"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrplace"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrserve"
	"amaranthreach.example/core/amrsuspect"
	"amaranthreach.example/router/gen/callers"
	callersserver "amaranthreach.example/router/gen/http/callers/server"
	operatorsserver "amaranthreach.example/router/gen/http/operators/server"
	"amaranthreach.example/router/gen/operators"
)

// Router is a router process. Create it with New and start it with Run.
type Router struct {
	settings        Settings
	clock           clockwork.Clock
	log             *slog.Logger
	incarnation     string // Identifies this run of the process.
	ids             *amrexplain.IDGenerator
	listeners       Listeners
	registry        *prometheus.Registry
	metrics         *metrics
	store           *amrconfig.Store
	follower        *amrconfig.Follower
	platform        platform
	sidecarConns    *connPool
	placement       *placement
	placerOptions   []amrplace.Option
	membership      *membership
	rolloutManager  *rolloutManager
	rolloutLeaseTTL time.Duration
	readyWaitLimit  time.Duration
	orderTimeout    time.Duration
	decisions       *decisions
	sidecarStates   *sidecarStates
	retryBudgets    *retryBudgets
	suspectChecker  *suspectChecker
	ledger          *amrledger.Ledger
	hostRegistry    *hostRegistry
	peerClient      *peerClient
	teamLimits      *teamLimits
	backgroundTasks backgroundTasks

	mu       sync.Mutex
	draining bool
}

// platform lists the platform services that the router uses.
type platform interface {
	amrplatform.Table
	amrplatform.ObjectStore
	amrplatform.HostList
}

// Listeners are open sockets. Run opens those that are nil at the addresses of the
// settings. Peers stays nil if the settings have no address for other routers.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Option configures a Router.
type Option func(*Router)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Router) { r.clock = clock }
}

// WithLogger sets the logger. The default is slog.Default.
func WithLogger(log *slog.Logger) Option {
	return func(r *Router) { r.log = log }
}

// WithListeners sets open sockets, which Run uses instead of opening its own.
func WithListeners(listeners Listeners) Option {
	return func(r *Router) { r.listeners = listeners }
}

// WithPlatform sets the platform services. The default is a client of the platform
// at the URL in the settings.
func WithPlatform(platform platform) Option {
	return func(r *Router) { r.platform = platform }
}

// WithPlacerOptions adds options for the placers, which rank the backend servers.
func WithPlacerOptions(options ...amrplace.Option) Option {
	return func(r *Router) { r.placerOptions = append(r.placerOptions, options...) }
}

// WithRolloutTimeouts sets the time after which the rollout lease of a deployment
// expires unless it is renewed, and the timeout of an order. The defaults are
// amrorder.DefaultTTL and DefaultOrderTimeout.
func WithRolloutTimeouts(ttl, timeout time.Duration) Option {
	return func(r *Router) { r.rolloutLeaseTTL, r.orderTimeout = ttl, timeout }
}

// WithReadyWaitLimit sets the total time for which a request waits for backend
// servers that are alive but not ready. The default is DefaultReadyWaitLimit.
func WithReadyWaitLimit(d time.Duration) Option {
	return func(r *Router) { r.readyWaitLimit = d }
}

// DefaultOrderTimeout is the timeout of an order to a backend server.
const DefaultOrderTimeout = 6 * time.Second

// New returns a router with the settings, which must be valid. The router does
// nothing until Run is called. New returns an error if the TLS files of the
// settings cannot be loaded.
func New(settings Settings, options ...Option) (*Router, error) {
	r := &Router{
		settings:        settings,
		clock:           clockwork.NewRealClock(),
		readyWaitLimit:  DefaultReadyWaitLimit,
		log:             slog.Default(),
		incarnation:     uuid.NewString()[:8],
		registry:        prometheus.NewRegistry(),
		rolloutLeaseTTL: amrorder.DefaultTTL,
		orderTimeout:    DefaultOrderTimeout,
	}
	for _, option := range options {
		option(r)
	}
	r.log = r.log.With("router", settings.Name)
	r.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.metrics = newMetrics(r.registry)
	if r.platform == nil {
		r.platform = amrplatform.NewClient(settings.PlatformURL)
	}
	if err := r.initConnections(); err != nil {
		return nil, err
	}
	r.initComponents()
	return r, nil
}

// initConnections creates the connection pools for sidecars and other routers.
func (r *Router) initConnections() error {
	gateTLS, err := r.settings.GateTLS.ClientConfig()
	if err != nil {
		return err
	}
	peersTLS, err := r.settings.PeersTLS.ClientConfig()
	if err != nil {
		return err
	}
	r.sidecarConns = newConnPool(gateTLS)
	r.peerClient = &peerClient{routerConns: newConnPool(peersTLS), sidecarConns: r.sidecarConns}
	return nil
}

// initComponents creates the components of the router without starting them.
func (r *Router) initComponents() {
	name := r.settings.Name
	r.sidecarStates = newSidecarStates()
	r.retryBudgets = newRetryBudgets()
	r.decisions = newDecisions(amrexplain.NewRecorder(name, r.incarnation, r.platform, r.clock), r.clock)
	r.ids = amrexplain.NewIDGenerator(name, r.incarnation)
	r.store = amrconfig.NewStore(r.platform, r.platform, amrconfig.WithClock(r.clock))
	self := amrconfig.Peer{Name: name, Address: r.settings.PeersAddress, AvailabilityZone: r.settings.AvailabilityZone}
	r.hostRegistry = newHostRegistry(r.platform, r.clock, self)
	r.follower = amrconfig.NewFollower(r.store, amrconfig.WithSelf(self), amrconfig.WithPeers(r.peerClient, r.hostRegistry.livePeers))
	r.teamLimits = newTeamLimits(name, r.clock, r.hostRegistry, r.peerClient)
	r.registerStateMetrics()
	r.suspectChecker = newSuspectChecker(r.clock, name, amrsuspect.NewStore(r.platform))
	r.ledger = amrledger.New(r.platform, r.platform, amrledger.WithClock(r.clock))
	r.membership = newMembership(r.clock, r.log, r.sidecarConns, r.hostRegistry)
	r.placement = newPlacement(r.clock, name, r.settings.AvailabilityZone, r.membership.view, r.placerOptions)
	r.rolloutManager = &rolloutManager{
		clock:          r.clock,
		log:            r.log,
		table:          r.platform,
		sidecarConns:   r.sidecarConns,
		membership:     r.membership,
		currentRecords: r.follower.Current,
		holder:         name + "/" + r.incarnation,
		leaseTTL:       r.rolloutLeaseTTL,
		timeout:        r.orderTimeout,
	}
}

// Run creates a router with New and runs it.
func Run(ctx context.Context, settings Settings, options ...Option) error {
	r, err := New(settings, options...)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

// Run runs the router until ctx is done. It then stops accepting requests after
// StopDelay, and waits for those in progress, up to StopGrace, and for the tasks
// that run in the background. It returns the first error of a component.
func (r *Router) Run(ctx context.Context) error {
	if err := r.listen(); err != nil {
		return err
	}
	defer r.sidecarConns.close()
	defer r.peerClient.routerConns.close()
	if client, ok := r.platform.(*amrplatform.Client); ok {
		defer client.CloseIdleConnections()
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return ignoreCanceled(r.follower.Run(background)) })
	group.Go(func() error { return r.ledger.Maintain(background) })
	group.Go(func() error { return r.suspectChecker.run(background) })
	group.Go(func() error { return r.decisions.recorder.Run(background) })
	group.Go(func() error { return r.teamLimits.run(background) })
	group.Go(func() error { return r.maintainSnapshots(background) })
	group.Go(func() error { return r.servePeers(background) })
	group.Go(func() error { return r.membership.run(background) })
	group.Go(func() error { return r.warmUp(background) })
	group.Go(func() error { return r.rolloutManager.run(background) })
	group.Go(func() error { return r.serveOperators(background) })
	group.Go(func() error {
		defer stop()
		return errors.Join(r.serveCallers(ctx, background), r.backgroundTasks.wait())
	})
	r.log.Info("router started", "incarnation", r.incarnation, "callers", r.listeners.Callers.Addr().String())
	err := group.Wait()
	r.log.Info("router stopped", "error", err)
	return err
}

// CallersAddress returns the address of the socket for callers. It is empty until
// the socket is open.
func (r *Router) CallersAddress() string {
	if r.listeners.Callers == nil {
		return ""
	}
	return r.listeners.Callers.Addr().String()
}

// Revision returns the revision of the records that the router uses. It is 0 while
// the router has none.
func (r *Router) Revision() uint64 {
	return r.follower.Current().Revision()
}

// Draining reports whether the router has begun to stop.
func (r *Router) Draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// Ready reports whether the router can serve callers: it has records, which are not
// out of date, and it is not stopping.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.draining && r.follower.Current().Revision() > 0 && r.follower.Ready()
}

// applyLoad applies the load that the sidecar of the named backend server sent
// with a reply.
func (r *Router) applyLoad(name string, load *amrgate.Load) {
	if load.GetSidecarIncarnation() != "" { // Loads on chunks have no incarnations.
		r.membership.applyLoad(name, load)
		r.sidecarStates.update(name, load, r.clock.Now())
	}
	r.suspectChecker.recordStrikes(load)
	r.follower.ObserveRevision(load.GetRevision())
}

// listen opens the sockets that were not set by WithListeners.
func (r *Router) listen() error {
	var err error
	if r.listeners.Callers == nil {
		if r.listeners.Callers, err = net.Listen("tcp", r.settings.CallersAddress); err != nil {
			return err
		}
	}
	if r.listeners.Operators == nil {
		if r.listeners.Operators, err = net.Listen("tcp", r.settings.OperatorsAddress); err != nil {
			return err
		}
	}
	if r.listeners.Peers == nil && r.settings.PeersAddress != "" {
		r.listeners.Peers, err = net.Listen("tcp", r.settings.PeersAddress)
	}
	return err
}

// serveCallers serves callers until StopDelay has passed after ctx is done, and then
// until the requests in progress have finished or StopGrace has passed. It stops
// without the delay when background is done.
func (r *Router) serveCallers(ctx, background context.Context) error {
	tlsConfig, err := r.settings.CallersTLS.ServerConfig()
	if err != nil {
		return err
	}
	serveCtx, stop := context.WithCancel(background)
	defer stop()
	defer context.AfterFunc(ctx, func() { r.shutDownCallers(serveCtx, stop) })()
	service := &callersService{router: r}
	endpoints := callers.NewEndpoints(service)
	mux := goahttp.NewMuxer()
	server := callersserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, service.logEncodingError, service.formatError)
	server.Mount(mux)
	limits := amrserve.DefaultLimits
	limits.BodyBytes = r.settings.BodyBytes
	return amrserve.Serve(serveCtx, withTLS(r.listeners.Callers, tlsConfig), r.withRequestID(mux), limits, r.settings.StopGrace)
}

// shutDownCallers makes the router unready, waits StopDelay and then stops serving
// callers. During the delay load balancers can observe that the router is not
// ready; without it, connections that callers open just before the socket closes
// would be reset.
func (r *Router) shutDownCallers(serveCtx context.Context, stop context.CancelFunc) {
	defer stop()
	r.startDraining()
	select {
	case <-r.clock.After(r.settings.StopDelay):
	case <-serveCtx.Done():
	}
}

// startDraining marks the router as stopping.
func (r *Router) startDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.log.Info("router started draining")
}

// serveOperators serves the operators' API, the metrics and the health checks until
// ctx is done.
func (r *Router) serveOperators(ctx context.Context) error {
	tlsConfig, err := r.settings.OperatorsTLS.ServerConfig()
	if err != nil {
		return err
	}
	mux := goahttp.NewMuxer()
	service := &operatorsService{router: r}
	server := operatorsserver.New(operators.NewEndpoints(service), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	server.Use(withOperatorAddress)
	server.Mount(mux)
	metricsHandler := promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
	mux.Handle(http.MethodGet, "/metrics", metricsHandler.ServeHTTP)
	mux.Handle(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	err = amrserve.Serve(ctx, withTLS(r.listeners.Operators, tlsConfig), mux, amrserve.DefaultLimits, time.Second)
	return ignoreTimeout(err)
}

// withTLS returns the listener, wrapped for TLS unless tlsConfig is nil.
func withTLS(listener net.Listener, tlsConfig *tls.Config) net.Listener {
	if tlsConfig == nil {
		return listener
	}
	return tls.NewListener(listener, tlsConfig)
}

// ignoreCanceled returns nil for context.Canceled and err otherwise.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// ignoreTimeout returns nil for context.DeadlineExceeded and err otherwise.
func ignoreTimeout(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
