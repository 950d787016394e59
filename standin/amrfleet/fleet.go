// Package amrfleet runs a complete fleet in one process: stand-ins for the
// platform, the KV cache store and the backend servers, and real sidecars and
// routers. They communicate over TCP connections on the loopback interface.
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
	readyTimeout      = 10 * time.Second
	readyPollInterval = 5 * time.Millisecond
	stopDelay         = 50 * time.Millisecond  // Time from when a stopping router becomes unready until it stops accepting requests.
	standInStopGrace  = 200 * time.Millisecond // Time that a stopping stand-in gives its requests.
	largeBodyBytes    = 64 << 20               // Maximum size of a request body at routers and stand-ins.
)

// Names that the backend servers of a fleet are configured with.
const (
	ModelDeployment   = "m1"     // Deployment of the engines, and name of their model.
	ServiceDeployment = "orders" // Deployment of the plain services.
	InitialWeights    = "w1"     // Version of the weights with which engines start.
)

// Config is the configuration of a fleet.
type Config struct {
	Engines           int     // Number of engines.
	Services          int     // Number of plain services.
	Routers           int     // Number of routers.
	AvailabilityZones int     // Number of availability zones, over which hosts are spread evenly.
	TimeScale         float64 // Number by which all durations of the engines are divided; 0 means 1.
	EngineOptions     []amrengine.Option
	RouterOptions     []amrrouter.Option
	SidecarOptions    []amrsidecar.Option
	PlatformOptions   []amrmemory.Option
	Log               *slog.Logger    // Logger of routers and sidecars; nil discards their logs.
	StopGrace         time.Duration   // Time that routers and sidecars give running requests when they stop.
	GateTLS           amrsettings.TLS // TLS between routers and sidecars, with the same certificate on both sides.
	CallersTLS        amrsettings.TLS // TLS between callers and routers.
}

// DefaultConfig is the configuration of the demonstration's fleet.
var DefaultConfig = Config{
	Engines:           4,
	Services:          1,
	Routers:           2,
	AvailabilityZones: 2,
	StopGrace:         10 * time.Second,
}

// Fleet is a running fleet.
type Fleet struct {
	Config      Config
	Platform    *amrmemory.Platform // The platform that the fleet uses, for direct access and faults.
	WeightStore *amrweights.Store   // The store from which the engines load weights.
	KVStore     *amrkv.Store        // The KV cache store.
	Servers     []*Server           // Engines first, then services.
	Routers     []*RouterProcess

	ctx         context.Context //nolint:containedctx // Restarted processes run under the context of Start.
	clock       clockwork.Clock
	log         *slog.Logger
	standIns    []*Process // Stand-ins for the platform, the KV cache store and the backend servers.
	platformURL string
	kvURL       string
}

// RouterProcess is a router of a fleet. StartRouter replaces Process and
// Router, so they must not be used concurrently with it.
type RouterProcess struct {
	*Process
	Router *amrrouter.Router

	current   atomic.Pointer[amrrouter.Router] // Equal to Router, for concurrent use.
	settings  amrrouter.Settings
	callers   string // Address of the callers' interface.
	operators string // Address of the operators' interface.
	peers     string // Address of the peers' interface.
}

// Name returns the name of the router. It may be called concurrently with
// StartRouter.
func (r *RouterProcess) Name() string { return r.settings.Name }

// Serving reports whether the router is ready, which is when a load balancer
// would send requests to it. It may be called concurrently with StartRouter.
func (r *RouterProcess) Serving() bool {
	current := r.current.Load()
	return current != nil && current.Ready()
}

// CallersURL returns the URL of the callers' interface. It stays the same when
// the router restarts.
func (r *RouterProcess) CallersURL() string {
	if r.settings.CallersTLS.Enabled() {
		return "https://" + r.callers
	}
	return "http://" + r.callers
}

// OperatorsURL returns the URL of the operators' interface. It stays the same
// when the router restarts.
func (r *RouterProcess) OperatorsURL() string { return "http://" + r.operators }

// Start starts a fleet, whose configuration has no records yet. The fleet runs
// until Stop is called or ctx is done. If a part of it cannot be started, Start
// stops the others and returns an error.
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
	f.WeightStore = amrweights.New(amrweights.WithTimeScale(f.Config.TimeScale))
	f.KVStore = amrkv.New()
	err := f.startAll()
	if err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	var err error
	if f.platformURL, err = f.serveStandIn("platform", amrstore.New(f.Platform).Handler()); err != nil {
		return err
	}
	if f.kvURL, err = f.serveStandIn("kv", f.KVStore.Handler()); err != nil {
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

// Stop stops all processes gracefully: first the routers, then the sidecars,
// then the stand-ins. It returns the errors with which they ended, except those
// of stand-ins that had not finished their requests in time.
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
	for _, p := range f.standIns {
		err := p.Stop()
		if !errors.Is(err, context.DeadlineExceeded) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Records returns the configuration records of the fleet's backend servers. It
// may be called concurrently with StartSidecar.
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

// Apply writes configuration records and waits until every router has loaded
// them.
func (f *Fleet) Apply(ctx context.Context, records ...amrrecord.Record) error {
	store := amrconfig.NewStore(f.Platform, f.Platform)
	revision, err := store.Apply(ctx, amrconfig.Change{
		Put:           records,
		Author:        "fleet",
		SourceAddress: "stand-in",
		Reason:        "set up the fleet",
	})
	if err != nil {
		return err
	}
	return f.WaitForRevision(ctx, revision)
}

// WaitForRevision waits until every router is ready and has loaded the revision
// of the configuration or a later one. It returns an error if a router ends,
// ctx is done, or this takes more than 10 seconds.
func (f *Fleet) WaitForRevision(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := f.clock.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for _, r := range f.Routers {
		for !r.Router.Ready() || r.Router.Revision() < revision {
			select {
			case <-r.Done():
				return fmt.Errorf("router %s ended: %w", r.Name(), r.err)
			case <-ctx.Done():
				return fmt.Errorf("router %s is not ready at revision %d: %w", r.Name(), revision, ctx.Err())
			case <-ticker.Chan():
			}
		}
	}
	return nil
}

// availabilityZone returns the name of the availability zone of host i.
func (f *Fleet) availabilityZone(i int) string {
	return fmt.Sprintf("zone-%d", i%max(f.Config.AvailabilityZones, 1)+1)
}

func (f *Fleet) addRouter(i int) error {
	settings := amrrouter.DefaultSettings()
	settings.Name = fmt.Sprintf("router-%d", i+1)
	settings.AvailabilityZone = f.availabilityZone(i)
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

// StartRouter starts the router. A router that has run before gets the same
// addresses again.
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
	if r.callers == "" { // A restart must not write the addresses, since others may read them concurrently.
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
	r.current.Store(r.Router)
	r.Process = startProcess(f.ctx, r.settings.Name, []*trackedListener{callers, operators, peers}, r.Router.Run)
	return nil
}

// serveStandIn serves the handler of a stand-in as a process and returns its
// URL.
func (f *Fleet) serveStandIn(name string, handler http.Handler) (string, error) {
	l, err := listen("")
	if err != nil {
		return "", err
	}
	limits := amrserve.DefaultLimits
	limits.BodyBytes = largeBodyBytes
	f.standIns = append(f.standIns, startProcess(f.ctx, name, []*trackedListener{l}, func(ctx context.Context) error {
		return amrserve.Serve(ctx, l, handler, limits, standInStopGrace)
	}))
	return "http://" + l.Addr().String(), nil
}

// ConfigStore returns a store of the fleet's configuration records.
func (f *Fleet) ConfigStore() *amrconfig.Store {
	return amrconfig.NewStore(f.Platform, f.Platform)
}

// PlatformClient returns a client that accesses the platform over HTTP.
func (f *Fleet) PlatformClient() *amrplatform.Client {
	return amrplatform.NewClient(f.platformURL)
}
