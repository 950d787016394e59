// Package amrsidecar is the process beside each backend server. It knows the
// exact state of its backend server, and accepts or declines each dispatch of
// a router at once, with the true reason.
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

// idleTimeout outlasts the time for which routers keep idle connections.
const idleTimeout = 5 * time.Minute

// maxMessageBytes bounds one message of a router.
const maxMessageBytes = 16 << 20

// Sidecar is the process beside one backend server.
type Sidecar struct {
	settings    Settings
	clock       clockwork.Clock
	log         *slog.Logger
	incarnation string
	gate        *gate
	registry    *prometheus.Registry
	idleTimeout time.Duration // Of connections without a call.
	listeners   Listeners
	orderSettle time.Duration
}

// Listeners are sockets that are open already.
type Listeners struct {
	Gate    net.Listener
	Metrics net.Listener
}

// Option changes a sidecar that New makes.
type Option func(*Sidecar)

// WithClock sets the clock. The default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Sidecar) { s.clock = clock }
}

// WithLogger sets the logger. The default is slog's.
func WithLogger(log *slog.Logger) Option {
	return func(s *Sidecar) { s.log = log }
}

// WithListeners sets sockets to use in place of those that Run would open.
func WithListeners(listeners Listeners) Option {
	return func(s *Sidecar) { s.listeners = listeners }
}

// WithOrderSettle sets the time after the start in which no order is taken. The
// default is the longest time that an order takes.
func WithOrderSettle(d time.Duration) Option {
	return func(s *Sidecar) { s.orderSettle = d }
}

// New returns a sidecar that does not run yet.
func New(settings Settings, options ...Option) *Sidecar {
	s := &Sidecar{
		settings:    settings,
		clock:       clockwork.NewRealClock(),
		log:         slog.Default(),
		incarnation: newIncarnation(),
		idleTimeout: idleTimeout,
		registry:    prometheus.NewRegistry(),
		orderSettle: orderTimeout,
	}
	for _, option := range options {
		option(s)
	}
	s.log = s.log.With("sidecar", settings.Name)
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.gate = newGate(s)
	return s
}

// newIncarnation returns an identity of 66 random bits. It rides on every first
// reply, so it is short.
func newIncarnation() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:9])
}

// Run runs a sidecar until ctx is done and its requests in progress have
// finished.
func Run(ctx context.Context, settings Settings, options ...Option) error {
	return New(settings, options...).Run(ctx)
}

// Run runs the sidecar until ctx is done and its requests in progress have
// finished, for at most the grace time of the settings.
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
	s.log.Info("sidecar-started", "incarnation", s.incarnation, "gate", s.listeners.Gate.Addr().String())
	err := group.Wait()
	s.log.Info("sidecar-stopped", "error", err)
	return err
}

// GateAddress returns the address at which routers reach the sidecar. It is
// empty before Run has opened the socket.
func (s *Sidecar) GateAddress() string {
	if s.listeners.Gate == nil {
		return ""
	}
	return s.listeners.Gate.Addr().String()
}

// Incarnation returns the identity of this run of the process.
func (s *Sidecar) Incarnation() string {
	return s.incarnation
}

// Cost returns the wait of a request that arrives now and how many of its
// leading blocks will be cached by then.
func (s *Sidecar) Cost(keys []amrprompt.Key) (wait time.Duration, blocks int) {
	return s.gate.admission.cost(keys)
}

// Uncomputed returns the requests whose prompts are not computed yet: those
// handed to the engine, then those that wait.
func (s *Sidecar) Uncomputed() []amradmit.Request {
	return s.gate.admission.uncomputed()
}

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

// drain declines new work and waits until no request is in progress, the
// grace time is over, or ctx is done.
func (s *Sidecar) drain(ctx context.Context) {
	s.gate.stop()
	s.log.Info("sidecar-draining", "in-flight", s.gate.inFlight())
	select {
	case <-s.gate.idle():
	case <-s.clock.After(s.settings.StopGrace):
		s.log.Warn("sidecar-drain-timeout", "in-flight", s.gate.inFlight())
	case <-ctx.Done():
	}
}

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
		Log: func(err error) { s.log.Debug("gate-connection", "error", err) },
	})
	config, err := s.settings.GateTLS.Server()
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
	err := amrserve.HTTP(ctx, s.listeners.Metrics, mux, amrserve.DefaultLimits, time.Second)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
