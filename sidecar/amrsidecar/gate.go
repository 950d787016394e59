package amrsidecar

import (
	"context"
	"sync"
	"time"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrrecord"
)

const (
	// maxStored is how many stored blocks one load may tell of.
	maxStored = 64

	// maxHeld is how many held blocks one report may list.
	maxHeld = 4096

	// reportedRouters is how many routers are remembered by their last load.
	reportedRouters = 1024
)

// gate serves routers.
type gate struct {
	amrgate.DRPCGateUnimplementedServer

	sidecar   *Sidecar
	backend   backend
	orders    *orders
	admission *admission
	metrics   *metrics
	claims    *claims
	suspects  *suspects

	mu       sync.Mutex
	draining bool
	stopping bool // The process ends.
	floor    amrconfig.RevisionFloor
	snapshot amrrecord.Set        // Kept for routers that start.
	reported map[string]time.Time // When a chunk last told a router the load.
	running  int
	idleCh   chan struct{} // Closed when draining and nothing is in progress.
}

func newGate(s *Sidecar) *gate {
	g := &gate{
		sidecar:   s,
		admission: newAdmission(s.clock),
		reported:  make(map[string]time.Time),
		metrics:   newMetrics(s.registry),
		claims:    newClaims(s.incarnation, s.clock),
		suspects:  newSuspects(s.clock),
		idleCh:    make(chan struct{}),
	}
	switch s.settings.BackendType {
	case BackendService:
		g.backend = newService(s.settings.BackendURL)
		g.admission.observe(g.backend.state())
	default:
		g.backend = newEngine(s.settings.BackendURL, s.clock, s.log, g.admission)
	}
	g.orders = newOrders(s.clock, amrplatform.NewClient(s.settings.PlatformURL), g.backend, s.orderSettle)
	return g
}

// Dispatch runs one attempt of a request.
func (g *gate) Dispatch(request *amrgate.DispatchRequest, stream amrgate.DRPCGate_DispatchStream) error {
	attempt := newAttempt(g, request, stream)
	if !g.holds(request.GetWeightsVersion()) {
		return attempt.decline(amrreason.WrongWeights, &ticket{})
	}
	if reason := g.enter(request.GetRevision()); reason != "" {
		return attempt.decline(reason, &ticket{})
	}
	defer g.leave()
	ctx := stream.Context()
	if !g.backend.state().ready {
		return attempt.decline(amrreason.EngineUnavailable, &ticket{retryAfter: statusInterval})
	}
	if !g.suspects.enter(ctx, request) {
		return attempt.decline(amrreason.CrashSuspect, &ticket{})
	}
	defer g.suspects.leave(request)
	if claim := request.GetClaim(); claim != nil {
		ok, reason, ran := g.claims.begin(claim)
		switch {
		case !ok && ran == amrreason.NotRun:
			return attempt.decline(reason, &ticket{})
		case !ok:
			return attempt.fail(failure{reason: reason, ran: ran})
		}
		attempt.claim = &claimRun{claims: g.claims, token: string(claim.GetToken())}
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	return attempt.run(ctx)
}

// Report returns the state of the sidecar.
func (g *gate) Report(_ context.Context, request *amrgate.ReportRequest) (*amrgate.ReportReply, error) {
	_, depth := g.admission.cost(amrprompt.DecodeKeys(request.GetBlockKeys()))
	return &amrgate.ReportReply{
		Load:         g.load("", 0),
		CachedBlocks: uint32(depth),
		Held:         g.admission.latest(int(min(request.GetMaxHeld(), maxHeld))),
	}, nil
}

// Drain starts or ends draining.
func (g *gate) Drain(_ context.Context, request *amrgate.DrainRequest) (*amrgate.DrainReply, error) {
	g.setDraining(request.GetDrain())
	return &amrgate.DrainReply{InFlight: uint32(g.inFlight())}, nil
}

// load returns the load as a router should hear it, with at most the given
// number of blocks that were stored for others.
func (g *gate) load(router string, stored int) *amrgate.Load {
	state := g.backend.state()
	load := g.admission.load(router, stored)
	load.SidecarIncarnation = g.sidecar.incarnation
	load.ClockMs = g.claims.now().Milliseconds()
	load.EngineIncarnation = state.incarnation
	load.WeightsVersion = state.weightsVersion
	load.Ready = state.ready && !g.orders.isLoading()
	g.mu.Lock()
	defer g.mu.Unlock()
	load.Draining = g.draining
	load.Revision = g.floor.Highest()
	return load
}

// holds reports whether the backend server can run requests for the version of
// the weights. As long as its version is not known, it decides itself.
func (g *gate) holds(version string) bool {
	held := g.backend.state().weightsVersion
	return !g.orders.isLoading() && (version == "" || held == "" || held == version)
}

// enter counts a request in progress, or returns the reason to decline it.
func (g *gate) enter(revision uint64) amrreason.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return amrreason.Draining
	}
	if !g.floor.Allow(g.sidecar.clock.Now(), revision) {
		return amrreason.StaleConfiguration
	}
	g.running++
	return ""
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.signalIdle()
}

func (g *gate) setDraining(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining == draining || g.stopping {
		return
	}
	g.draining = draining
	if !draining {
		g.idleCh = make(chan struct{})
	}
	g.signalIdle()
}

// stop starts a draining that nobody ends.
func (g *gate) stop() {
	g.setDraining(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

func (g *gate) signalIdle() {
	if !g.draining || g.running > 0 {
		return
	}
	select {
	case <-g.idleCh:
	default:
		close(g.idleCh)
	}
}

func (g *gate) idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idleCh
}

func (g *gate) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *gate) ready() bool {
	g.mu.Lock()
	draining := g.draining
	g.mu.Unlock()
	return !draining && g.backend.state().ready
}
