// Package amrfleet runs a whole fleet in one process, over loopback sockets:
// the stand-ins of the platform and of backend servers, and real sidecars and
// routers.
package amrfleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/core/amrserve"
	"amaranthreach.example/core/amrsettings"
	"amaranthreach.example/router/amrrouter"
	"amaranthreach.example/sidecar/amrsidecar"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrkv"
	"amaranthreach.example/standin/amrstore"
	"amaranthreach.example/standin/amrweights"
)

const (
	availableWait  = 10 * time.Second
	readyPoll      = 5 * time.Millisecond
	stopDelay      = 50 * time.Millisecond
	outsideGrace   = 200 * time.Millisecond
	largeBodyBytes = 64 << 20
)

// Names of the deployments of a fleet's backend servers.
const (
	ModelDeployment   = "m1"
	ServiceDeployment = "orders"
	Weights           = "w1"
)

// Config sizes a fleet.
type Config struct {
	Engines           int
	Services          int
	Routers           int
	AvailabilityZones int
	TimeScale         float64 // Divides all durations of the engines; 0 means 1.
	EngineOptions     []amrengine.Option
	RouterOptions     []amrrouter.Option
	SidecarOptions    []amrsidecar.Option
	PlatformOptions   []amrmemory.Option
	Log               *slog.Logger
	StopGrace         time.Duration
	GateTLS           amrsettings.TLS // Of routers and sidecars alike.
	CallersTLS        amrsettings.TLS
}

// DefaultConfig is the fleet of the demonstration.
var DefaultConfig = Config{
	Engines:           4,
	Services:          1,
	Routers:           2,
	AvailabilityZones: 2,
	StopGrace:         10 * time.Second,
}

// Fleet is a running fleet.
type Fleet struct {
	Config   Config
	Platform *amrmemory.Platform
	Weights  *amrweights.Store
	KV       *amrkv.Store
	Servers  []*Server
	Routers  []*RouterProcess

	ctx         context.Context //nolint:containedctx // Processes start later under it.
	clock       clockwork.Clock
	log         *slog.Logger
	outside     []*Process
	platformURL string
	kvURL       string
}

// RouterProcess is a router of a fleet.
type RouterProcess struct {
	*Process
	Router *amrrouter.Router

	running   atomic.Pointer[amrrouter.Router]
	settings  amrrouter.Settings
	callers   string
	operators string
	peers     string
}

// Name returns the name of the router. It may be called while the router is
// being restarted.
func (r *RouterProcess) Name() string { return r.settings.Name }

// Serving reports whether a balancer would send requests to the router. It may
// be called while the router is being restarted.
func (r *RouterProcess) Serving() bool {
	running := r.running.Load()
	return running != nil && running.Ready()
}

// CallersURL returns the URL of the callers' interface.
func (r *RouterProcess) CallersURL() string {
	if r.settings.CallersTLS.Enabled() {
		return "https://" + r.callers
	}
	return "http://" + r.callers
}

// OperatorsURL returns the URL of the operators' interface.
func (r *RouterProcess) OperatorsURL() string { return "http://" + r.operators }

// Start starts a fleet without records. It runs until Stop or until ctx is
// done.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{
		Config:   config,
		Platform: amrmemory.New(config.PlatformOptions...),
		ctx:      ctx,
		clock:    clockwork.NewRealClock(),
		log:      config.Log,
	}
	if f.log == nil {
		f.log = slog.New(slog.DiscardHandler)
	}
	if f.Config.TimeScale == 0 {
		f.Config.TimeScale = 1
	}
	f.Weights = amrweights.New(amrweights.WithTimeScale(f.Config.TimeScale))
	f.KV = amrkv.New()
	err := f.startAll()
	if err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	var err error
	if f.platformURL, err = f.serveOutside("platform", amrstore.New(f.Platform).Handler()); err != nil {
		return err
	}
	if f.kvURL, err = f.serveOutside("kv", f.KV.Handler()); err != nil {
		return err
	}
	for i := range f.Config.Engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range f.Config.Services {
		if err := f.addService(i); err != nil {
			return err
		}
	}
	for i := range f.Config.Routers {
		if err := f.addRouter(i); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all processes gracefully: routers, then sidecars, then the
// stand-ins.
func (f *Fleet) Stop() error {
	var errs []error
	for _, r := range f.Routers {
		errs = append(errs, r.Stop())
	}
	for _, s := range f.Servers {
		if s.Sidecar != nil {
			errs = append(errs, s.Sidecar.Stop())
		}
	}
	for _, p := range f.outside {
		err := p.Stop()
		if !errors.Is(err, context.DeadlineExceeded) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Records returns the records of the fleet's backend servers.
func (f *Fleet) Records() []amrrecord.Record {
	records := make([]amrrecord.Record, 0, len(f.Servers))
	for _, s := range f.Servers {
		records = append(records, amrrecord.Record{
			Name: s.Name,
			Spec: amrrecord.BackendServer{
				Deployment:       s.Deployment,
				Address:          s.address,
				AvailabilityZone: s.AvailabilityZone,
			},
		})
	}
	return records
}

// Apply writes records and waits until they are in force at every router.
func (f *Fleet) Apply(ctx context.Context, records ...amrrecord.Record) error {
	store := amrconfig.NewStore(f.Platform, f.Platform)
	revision, err := store.Apply(ctx, amrconfig.Change{
		Put:    records,
		Who:    "fleet",
		From:   "stand-in",
		Reason: "set up the fleet",
	})
	if err != nil {
		return err
	}
	return f.WaitFor(ctx, revision)
}

// WaitFor waits until every running router is ready at the revision or above.
func (f *Fleet) WaitFor(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, availableWait)
	defer cancel()
	ticker := f.clock.NewTicker(readyPoll)
	defer ticker.Stop()
	for _, r := range f.Routers {
		for !r.Router.Ready() || r.Router.Revision() < revision {
			select {
			case <-r.Done():
				return fmt.Errorf("router %s ended: %w", r.Name(), r.err)
			case <-ctx.Done():
				return fmt.Errorf("router %s is not at revision %d: %w", r.Name(), revision, ctx.Err())
			case <-ticker.Chan():
			}
		}
	}
	return nil
}

func (f *Fleet) zone(i int) string {
	return fmt.Sprintf("zone-%d", i%max(f.Config.AvailabilityZones, 1)+1)
}

func (f *Fleet) addRouter(i int) error {
	settings := amrrouter.DefaultSettings()
	settings.Name = fmt.Sprintf("router-%d", i+1)
	settings.AvailabilityZone = f.zone(i)
	settings.PlatformURL = f.platformURL
	settings.StopGrace = f.Config.StopGrace
	settings.StopDelay = stopDelay
	settings.BodyBytes = largeBodyBytes
	settings.GateTLS = f.Config.GateTLS
	settings.CallersTLS = f.Config.CallersTLS
	r := &RouterProcess{settings: settings}
	f.Routers = append(f.Routers, r)
	return f.StartRouter(r)
}

// StartRouter starts the router, at the addresses that it had before, if any.
func (f *Fleet) StartRouter(r *RouterProcess) error {
	callers, err := listen(r.callers)
	if err != nil {
		return err
	}
	operators, err := listen(r.operators)
	if err != nil {
		return err
	}
	peers, err := listen(r.peers)
	if err != nil {
		return err
	}
	if r.callers == "" { // Callers may read the addresses while the router restarts.
		r.callers, r.operators, r.peers = callers.Addr().String(), operators.Addr().String(), peers.Addr().String()
		r.settings.CallersAddress, r.settings.OperatorsAddress, r.settings.PeersAddress = r.callers, r.operators, r.peers
	}
	f.Platform.SetHost(amrplatform.Host{
		Name:             r.settings.Name,
		Address:          r.peers,
		AvailabilityZone: r.settings.AvailabilityZone,
		Role:             amrplatform.RoleRouter,
		State:            amrplatform.HostLive,
	})
	options := []amrrouter.Option{
		amrrouter.WithLogger(f.log),
		amrrouter.WithListeners(amrrouter.Listeners{Callers: callers, Operators: operators, Peers: peers}),
	}
	r.Router, err = amrrouter.New(r.settings, append(options, f.Config.RouterOptions...)...)
	if err != nil {
		return err
	}
	r.running.Store(r.Router)
	r.Process = start(f.ctx, r.settings.Name, []*trackedListener{callers, operators, peers}, r.Router.Run)
	return nil
}

func (f *Fleet) serveOutside(name string, handler http.Handler) (string, error) {
	l, err := listen("")
	if err != nil {
		return "", err
	}
	limits := amrserve.DefaultLimits
	limits.BodyBytes = largeBodyBytes
	f.outside = append(f.outside, start(f.ctx, name, []*trackedListener{l}, func(ctx context.Context) error {
		return amrserve.HTTP(ctx, l, handler, limits, outsideGrace)
	}))
	return "http://" + l.Addr().String(), nil
}

// Store returns a store of the fleet's records.
func (f *Fleet) Store() *amrconfig.Store {
	return amrconfig.NewStore(f.Platform, f.Platform)
}

// PlatformClient returns a client of the platform over its socket.
func (f *Fleet) PlatformClient() *amrplatform.Client {
	return amrplatform.NewClient(f.platformURL)
}
