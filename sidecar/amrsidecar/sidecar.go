// Package amrsidecar implements the sidecar, a process that runs next to each
// backend server. It follows the state of its backend server closely, and accepts
// each dispatch of a router or declines it immediately, with the reason.
package amrsidecar

import (
	"context"
	"crypto/tls"
	"encoding/base64"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"amaranthreach.example/core/amradmit"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrserve"
)

// idleTimeout is the time after which the sidecar closes a connection without a
// call. It is longer than the time for which routers keep idle connections.
const idleTimeout = 5 * time.Minute

// maxMessageBytes is the maximum size of one message from a router.
const maxMessageBytes = 16 << 20

// Sidecar serves routers on behalf of one backend server. Use New to create one.
type Sidecar struct {
	settings          Settings
	clock             clockwork.Clock
	log               *slog.Logger
	incarnation       string // Identifies this run of the process.
	gate              *gate
	registry          *prometheus.Registry
	idleTimeout       time.Duration // Time after which a connection without a call is closed.
	listeners         Listeners
	initialOrderDelay time.Duration // Time after the start for which no order is executed.
}

// Listeners holds listeners that are already open.
type Listeners struct {
	Gate    net.Listener // Accepts connections of routers.
	Metrics net.Listener // Serves /metrics, /healthz and /readyz.
}

// Option configures a sidecar.
type Option func(*Sidecar)

// WithClock sets the clock. The default is the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Sidecar) { s.clock = clock }
}

// WithLogger sets the logger. The default is slog.Default().
func WithLogger(log *slog.Logger) Option {
	return func(s *Sidecar) { s.log = log }
}

// WithListeners sets listeners to use in place of those that Run would open. A
// listener that is nil is opened at the address of the settings.
func WithListeners(listeners Listeners) Option {
	return func(s *Sidecar) { s.listeners = listeners }
}

// WithInitialOrderDelay sets the time after the start for which the sidecar executes
// no order, so that an order sent by its previous process has ended. The default is
// the maximum time that an order may take.
func WithInitialOrderDelay(d time.Duration) Option {
	return func(s *Sidecar) { s.initialOrderDelay = d }
}

// New returns a sidecar. It opens no listeners; call Run to start it.
func New(settings Settings, options ...Option) *Sidecar {
	s := &Sidecar{
		settings:          settings,
		clock:             clockwork.NewRealClock(),
		log:               slog.Default(),
		incarnation:       newIncarnation(),
		idleTimeout:       idleTimeout,
		registry:          prometheus.NewRegistry(),
		initialOrderDelay: orderTimeout,
	}
	for _, option := range options {
		option(s)
	}
	s.log = s.log.With("sidecar", settings.Name)
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.gate = newGate(s)
	return s
}

// newIncarnation returns a random identity of the process, made of the first 9 bytes
// of a random UUID, which hold 66 random bits. It is short because the first reply of
// each attempt carries it.
func newIncarnation() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:9])
}

// Run creates a sidecar and runs it until ctx is done and its requests in progress
// have finished. See Sidecar.Run.
func Run(ctx context.Context, settings Settings, options ...Option) error {
	return New(settings, options...).Run(ctx)
}

// Run runs the sidecar until ctx is done. It then declines new requests and returns
// when those in progress have finished, or after Settings.StopGrace. It returns an
// error if a listener cannot be opened or fails, or if the TLS files cannot be loaded.
func (s *Sidecar) Run(ctx context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return s.serveGate(serving) })
	group.Go(func() error { return s.serveMetrics(serving) })
	group.Go(func() error { return s.gate.backend.watch(serving) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			s.drain(serving)
		case <-serving.Done():
		}
		return nil
	})
	s.log.Info("sidecar started", "incarnation", s.incarnation, "gate", s.listeners.Gate.Addr().String())
	err := group.Wait()
	s.log.Info("sidecar stopped", "error", err)
	return err
}

// GateAddress returns the address at which the sidecar accepts connections of
// routers. It is empty until the listener is open.
func (s *Sidecar) GateAddress() string {
	if s.listeners.Gate == nil {
		return ""
	}
	return s.listeners.Gate.Addr().String()
}

// Incarnation returns the identity of this run of the process. It is random, so it
// changes with each start.
func (s *Sidecar) Incarnation() string {
	return s.incarnation
}

// Estimate returns how long a request that arrives now would wait, and how many of
// its leading blocks will be cached by then.
func (s *Sidecar) Estimate(keys []amrprompt.Key) (wait time.Duration, blocks int) {
	return s.gate.admission.estimate(keys)
}

// PendingPrefills returns the requests whose prompts have not been computed yet:
// first those that have been sent to the engine, then those that are queued.
func (s *Sidecar) PendingPrefills() []amradmit.Request {
	return s.gate.admission.pendingPrefills()
}

// listen opens the listeners that WithListeners has not set.
func (s *Sidecar) listen() error {
	var err error
	if s.listeners.Gate == nil {
		if s.listeners.Gate, err = net.Listen("tcp", s.settings.GateAddress); err != nil {
			return err
		}
	}
	if s.listeners.Metrics == nil {
		s.listeners.Metrics, err = net.Listen("tcp", s.settings.MetricsAddress)
	}
	return err
}

// drain declines new requests and waits until no request is in progress, the grace
// time is over, or ctx is done.
func (s *Sidecar) drain(ctx context.Context) {
	s.gate.stop()
	s.log.Info("sidecar started draining", "in-flight", s.gate.inFlight())
	select {
	case <-s.gate.drained():
	case <-s.clock.After(s.settings.StopGrace):
		s.log.Warn("grace period expired; aborting requests in progress", "in-flight", s.gate.inFlight())
	case <-ctx.Done():
	}
}

// serveGate serves the Gate service until ctx is done.
func (s *Sidecar) serveGate(ctx context.Context) error {
	mux := drpcmux.New()
	if err := amrgate.DRPCRegisterGate(mux, s.gate); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
			SoftCancel: true,

			InactivityTimeout: s.idleTimeout,
		},
		Log: func(err error) { s.log.Debug("router connection failed", "error", err) },
	})
	config, err := s.settings.GateTLS.ServerConfig()
	if err != nil {
		return err
	}
	listener := s.listeners.Gate
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	err = server.Serve(ctx, listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveMetrics serves metrics and health checks over HTTP until ctx is done.
func (s *Sidecar) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.gate.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	err := amrserve.Serve(ctx, s.listeners.Metrics, mux, amrserve.DefaultLimits, time.Second)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
