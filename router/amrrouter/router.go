// Package amrrouter is the process on the entry hosts. It takes requests of
// callers, chooses a backend server for each, relays the answer and explains
// what it did.
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

// Router is the process on an entry host.
type Router struct {
	settings    Settings
	clock       clockwork.Clock
	log         *slog.Logger
	incarnation string
	ids         *amrexplain.IDs
	listeners   Listeners
	registry    *prometheus.Registry
	metrics     *metrics
	store       *amrconfig.Store
	follower    *amrconfig.Follower
	platform    platform
	gates       *gates
	placement   *placement
	placing     []amrplace.Option
	membership  *membership
	rollouts    *rollouts
	orderTTL    time.Duration
	settleLimit time.Duration
	orderWait   time.Duration
	decisions   *decisions
	sidecars    *sidecars
	retries     *retries
	suspects    *suspects
	ledger      *amrledger.Ledger
	hosts       *hosts
	peers       *peers
	limits      *limits
	runs        runs

	mu       sync.Mutex
	draining bool
}

// platform is what the router uses of the platform.
type platform interface {
	amrplatform.Table
	amrplatform.Objects
	amrplatform.HostList
}

// Listeners are sockets that are open already.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Option changes a router that New makes.
type Option func(*Router)

// WithClock sets the clock. The default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Router) { r.clock = clock }
}

// WithLogger sets the logger. The default is slog's.
func WithLogger(log *slog.Logger) Option {
	return func(r *Router) { r.log = log }
}

// WithListeners sets sockets to use in place of those that Run would open.
func WithListeners(listeners Listeners) Option {
	return func(r *Router) { r.listeners = listeners }
}

// WithPlatform sets the platform's services. The default are those at the
// settings' URL.
func WithPlatform(platform platform) Option {
	return func(r *Router) { r.platform = platform }
}

// WithPlacing adds options of the placers.
func WithPlacing(options ...amrplace.Option) Option {
	return func(r *Router) { r.placing = append(r.placing, options...) }
}

// WithOrderTimes sets the time for which a lease of a deployment's orders holds
// without renewal, and the longest time for an order. The defaults are
// amrorder.DefaultTTL and DefaultOrderTimeout.
func WithOrderTimes(ttl, timeout time.Duration) Option {
	return func(r *Router) { r.orderTTL, r.orderWait = ttl, timeout }
}

// WithSettleLimit sets how long a request waits in all for backend servers that
// are alive but not ready. The default is DefaultSettleLimit.
func WithSettleLimit(d time.Duration) Option {
	return func(r *Router) { r.settleLimit = d }
}

// DefaultOrderTimeout bounds an order to a backend server.
const DefaultOrderTimeout = 6 * time.Second

// New returns a router that does not run yet.
func New(settings Settings, options ...Option) (*Router, error) {
	r := &Router{
		settings:    settings,
		clock:       clockwork.NewRealClock(),
		settleLimit: DefaultSettleLimit,
		log:         slog.Default(),
		incarnation: uuid.NewString()[:8],
		registry:    prometheus.NewRegistry(),
		orderTTL:    amrorder.DefaultTTL,
		orderWait:   DefaultOrderTimeout,
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
	if err := r.connect(); err != nil {
		return nil, err
	}
	r.assemble()
	return r, nil
}

// connect prepares the connections to sidecars and to other routers.
func (r *Router) connect() error {
	gates, err := r.settings.GateTLS.Client()
	if err != nil {
		return err
	}
	peersTLS, err := r.settings.PeersTLS.Client()
	if err != nil {
		return err
	}
	r.gates = newGates(gates)
	r.peers = &peers{connections: newGates(peersTLS), sidecars: r.gates}
	return nil
}

// assemble makes the parts of the router, which do not run yet.
func (r *Router) assemble() {
	name := r.settings.Name
	r.sidecars = newSidecars()
	r.retries = newRetries()
	r.decisions = newDecisions(amrexplain.NewRecorder(name, r.incarnation, r.platform, r.clock), r.clock)
	r.ids = amrexplain.NewIDs(name, r.incarnation)
	r.store = amrconfig.NewStore(r.platform, r.platform, amrconfig.WithClock(r.clock))
	self := amrconfig.Peer{Name: name, Address: r.settings.PeersAddress, AvailabilityZone: r.settings.AvailabilityZone}
	r.hosts = newHosts(r.platform, r.clock, self)
	r.follower = amrconfig.NewFollower(r.store, amrconfig.WithSelf(self), amrconfig.WithPeers(r.peers, r.hosts.all))
	r.limits = newLimits(name, r.clock, r.hosts, r.peers)
	r.registerState()
	r.suspects = newSuspects(r.clock, name, amrsuspect.NewStore(r.platform))
	r.ledger = amrledger.New(r.platform, r.platform, amrledger.WithClock(r.clock))
	r.membership = newMembership(r.clock, r.log, r.gates, r.hosts)
	r.placement = newPlacement(r.clock, name, r.settings.AvailabilityZone, r.membership.view, r.placing)
	r.rollouts = &rollouts{
		clock:      r.clock,
		log:        r.log,
		table:      r.platform,
		gates:      r.gates,
		membership: r.membership,
		current:    r.follower.Current,
		holder:     name + "/" + r.incarnation,
		ttl:        r.orderTTL,
		timeout:    r.orderWait,
	}
}

// Run runs a router until ctx is done and its requests in progress have
// finished.
func Run(ctx context.Context, settings Settings, options ...Option) error {
	r, err := New(settings, options...)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

// Run runs the router until ctx is done and its requests in progress have
// finished, for at most the grace time of the settings.
func (r *Router) Run(ctx context.Context) error {
	if err := r.listen(); err != nil {
		return err
	}
	defer r.gates.close()
	defer r.peers.connections.close()
	if client, ok := r.platform.(*amrplatform.Client); ok {
		defer client.CloseIdleConnections()
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return ignoreCanceled(r.follower.Run(background)) })
	group.Go(func() error { return r.ledger.Maintain(background) })
	group.Go(func() error { return r.suspects.run(background) })
	group.Go(func() error { return r.decisions.recorder.Run(background) })
	group.Go(func() error { return r.limits.run(background) })
	group.Go(func() error { return r.keepSnapshots(background) })
	group.Go(func() error { return r.servePeers(background) })
	group.Go(func() error { return r.membership.run(background) })
	group.Go(func() error { return r.warmUp(background) })
	group.Go(func() error { return r.rollouts.run(background) })
	group.Go(func() error { return r.serveOperators(background) })
	group.Go(func() error {
		defer stop()
		return errors.Join(r.serveCallers(ctx, background), r.runs.wait())
	})
	r.log.Info("router-started", "incarnation", r.incarnation, "callers", r.listeners.Callers.Addr().String())
	err := group.Wait()
	r.log.Info("router-stopped", "error", err)
	return err
}

// CallersAddress returns the address that serves callers. It is empty before
// Run has opened the socket.
func (r *Router) CallersAddress() string {
	if r.listeners.Callers == nil {
		return ""
	}
	return r.listeners.Callers.Addr().String()
}

// Revision returns the revision of the records in force at the router.
func (r *Router) Revision() uint64 {
	return r.follower.Current().Revision()
}

// Draining reports whether the router is stopping.
func (r *Router) Draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// Ready reports whether the router can serve callers.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.draining && r.follower.Current().Revision() > 0 && r.follower.Ready()
}

// observe notes what a sidecar said of itself.
func (r *Router) observe(name string, load *amrgate.Load) {
	if load.GetSidecarIncarnation() != "" { // Loads on chunks are brief.
		r.membership.observe(name, load)
		r.sidecars.observe(name, load, r.clock.Now())
	}
	r.suspects.observe(load)
	r.follower.ObserveRevision(load.GetRevision())
}

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

// serveCallers serves until ctx is done, then lets requests finish.
func (r *Router) serveCallers(ctx, background context.Context) error {
	config, err := r.settings.CallersTLS.Server()
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(background)
	defer stop()
	defer context.AfterFunc(ctx, func() { r.leave(serving, stop) })()
	service := &callersService{router: r}
	endpoints := callers.NewEndpoints(service)
	mux := goahttp.NewMuxer()
	server := callersserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, service.encodingFailed, service.format)
	server.Mount(mux)
	limits := amrserve.DefaultLimits
	limits.BodyBytes = r.settings.BodyBytes
	return amrserve.HTTP(serving, withTLS(r.listeners.Callers, config), r.withIdentity(mux), limits, r.settings.StopGrace)
}

// leave turns the router unready and, once balancers have had time to see it,
// closes the callers' interface. A connection that a caller opens just before
// the end would be reset.
func (r *Router) leave(serving context.Context, stop context.CancelFunc) {
	defer stop()
	r.drain()
	select {
	case <-r.clock.After(r.settings.StopDelay):
	case <-serving.Done():
	}
}

func (r *Router) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.log.Info("router-draining")
}

func (r *Router) serveOperators(ctx context.Context) error {
	config, err := r.settings.OperatorsTLS.Server()
	if err != nil {
		return err
	}
	mux := goahttp.NewMuxer()
	service := &operatorsService{router: r}
	server := operatorsserver.New(operators.NewEndpoints(service), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	server.Use(withAddress)
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
	err = amrserve.HTTP(ctx, withTLS(r.listeners.Operators, config), mux, amrserve.DefaultLimits, time.Second)
	return ignoreTimeout(err)
}

func withTLS(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func ignoreTimeout(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
