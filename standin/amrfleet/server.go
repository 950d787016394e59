package amrfleet

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/sidecar/amrsidecar"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrservice"
)

// Server is a backend server with its sidecar. StartSidecar replaces Sidecar,
// so that field must not be used concurrently with it.
type Server struct {
	Name             string
	Deployment       string
	AvailabilityZone string
	Engine           *amrengine.Engine   // Nil for a plain service.
	Service          *amrservice.Service // Nil for an engine.
	Sidecar          *Process

	url     string                             // URL of the backend server.
	address string                             // Address at which the sidecar accepts requests.
	metrics string                             // Address of the sidecar's metrics.
	current atomic.Pointer[amrsidecar.Sidecar] // The sidecar that was started last.
}

// CurrentSidecar returns the sidecar that was started last. It may be called
// concurrently with StartSidecar.
func (s *Server) CurrentSidecar() *amrsidecar.Sidecar { return s.current.Load() }

// URL returns the URL of the backend server, which bypasses the sidecar.
func (s *Server) URL() string { return s.url }

// MetricsURL returns the base URL of the sidecar's metrics and readiness check.
func (s *Server) MetricsURL() string { return "http://" + s.metrics }

func (f *Fleet) addEngine(i int) error {
	options := []amrengine.Option{
		amrengine.WithModel(ModelDeployment),
		amrengine.WithWeights(InitialWeights),
		amrengine.WithSeed(uint64(i) + 1),
		amrengine.WithTimeScale(f.Config.TimeScale),
		amrengine.WithWeightStore(f.WeightStore),
	}
	engine := amrengine.New(append(options, f.Config.EngineOptions...)...)
	s := &Server{
		Name:             fmt.Sprintf("engine-%d", i+1),
		Deployment:       ModelDeployment,
		AvailabilityZone: f.availabilityZone(i),
		Engine:           engine,
	}
	return f.addServer(s, engine.Handler())
}

func (f *Fleet) addService(i int) error {
	service := amrservice.New()
	s := &Server{
		Name:             fmt.Sprintf("service-%d", i+1),
		Deployment:       ServiceDeployment,
		AvailabilityZone: f.availabilityZone(i),
		Service:          service,
	}
	return f.addServer(s, service.Handler())
}

// addServer serves the handler of the backend server and starts its sidecar.
func (f *Fleet) addServer(s *Server, handler http.Handler) error {
	var err error
	if s.url, err = f.serveStandIn(s.Name, handler); err != nil {
		return err
	}
	f.Servers = append(f.Servers, s)
	return f.StartSidecar(s)
}

// StartSidecar starts the sidecar of the backend server. A sidecar that has run
// before gets the same addresses again.
func (f *Fleet) StartSidecar(s *Server) error {
	gate, err := listen(s.address)
	if err != nil {
		return err
	}
	metrics, err := listen(s.metrics)
	if err != nil {
		return err
	}
	if s.address == "" { // A restart must not write the addresses, since others may read them concurrently.
		s.address, s.metrics = gate.Addr().String(), metrics.Addr().String()
	}
	settings := amrsidecar.DefaultSettings()
	settings.Name = s.Name
	settings.AvailabilityZone = s.AvailabilityZone
	settings.GateAddress = s.address
	settings.MetricsAddress = s.metrics
	settings.BackendURL = s.url
	settings.PlatformURL = f.platformURL
	settings.StopGrace = f.Config.StopGrace
	settings.GateTLS = f.Config.GateTLS
	if s.Service != nil {
		settings.BackendType = amrsidecar.BackendService
	}
	f.Platform.SetHost(amrplatform.Host{
		Name:             s.Name,
		Address:          s.address,
		AvailabilityZone: s.AvailabilityZone,
		Role:             amrplatform.RoleSidecar,
		State:            amrplatform.HostLive,
	})
	options := []amrsidecar.Option{
		amrsidecar.WithLogger(f.log),
		amrsidecar.WithListeners(amrsidecar.Listeners{Gate: gate, Metrics: metrics}),
	}
	sidecar := amrsidecar.New(settings, append(options, f.Config.SidecarOptions...)...)
	s.current.Store(sidecar)
	s.Sidecar = startProcess(f.ctx, s.Name, []*trackedListener{gate, metrics}, sidecar.Run)
	return nil
}
