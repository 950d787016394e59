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
	// maxStored is the maximum number of newly cached blocks that one load lists.
	maxStored = 64

	// maxHeld is the maximum number of cached blocks that one report lists.
	maxHeld = 4096

	// maxReportTimes limits the size of gate.reportTimes.
	maxReportTimes = 1024
)

// gate implements the Gate service, which routers call.
type gate struct {
	amrgate.DRPCGateUnimplementedServer

	sidecar        *Sidecar
	backend        backend
	orderExecutor  *orderExecutor
	admission      *admission
	metrics        *metrics
	claimStore     *claimStore
	suspectTracker *suspectTracker

	mu          sync.Mutex
	draining    bool                    // Set while new requests are declined.
	stopping    bool                    // Set when the process shuts down; draining then does not end.
	floor       amrconfig.RevisionFloor // Lowest revision of the records that a dispatch may be based on.
	snapshot    amrrecord.Set           // Newest records passed to Keep.
	reportTimes map[string]time.Time    // Time of the last chunk that carried the load, by router.
	running     int                     // Number of requests in progress.
	drainedCh   chan struct{}           // Closed when the gate is draining and no request is in progress.
}

func newGate(s *Sidecar) *gate {
	g := &gate{
		sidecar:        s,
		admission:      newAdmission(s.clock),
		reportTimes:    make(map[string]time.Time),
		metrics:        newMetrics(s.registry),
		claimStore:     newClaimStore(s.incarnation, s.clock),
		suspectTracker: newSuspectTracker(s.clock),
		drainedCh:      make(chan struct{}),
	}
	switch s.settings.BackendType {
	case BackendService:
		g.backend = newService(s.settings.BackendURL)
		g.admission.observeState(g.backend.state())
	default:
		g.backend = newEngine(s.settings.BackendURL, s.clock, s.log, g.admission)
	}
	g.orderExecutor = newOrderExecutor(s.clock, amrplatform.NewClient(s.settings.PlatformURL), g.backend, s.initialOrderDelay)
	return g
}

// Dispatch runs one attempt of a request and streams the replies. A request that
// cannot run here is declined immediately, with the reason; only a trial first waits
// for another trial to end.
func (g *gate) Dispatch(request *amrgate.DispatchRequest, stream amrgate.DRPCGate_DispatchStream) error {
	attempt := newAttempt(g, request, stream)
	if !g.servesWeights(request.GetWeightsVersion()) {
		return attempt.decline(amrreason.WrongWeights, &queueEntry{})
	}
	if reason := g.begin(request.GetRevision()); reason != "" {
		return attempt.decline(reason, &queueEntry{})
	}
	defer g.end()
	ctx := stream.Context()
	if !g.backend.state().ready {
		return attempt.decline(amrreason.EngineUnavailable, &queueEntry{retryAfter: statusInterval})
	}
	if !g.suspectTracker.begin(ctx, request) {
		return attempt.decline(amrreason.CrashSuspect, &queueEntry{})
	}
	defer g.suspectTracker.end(request)
	if claim := request.GetClaim(); claim != nil {
		ok, reason, ran := g.claimStore.start(claim)
		switch {
		case !ok && ran == amrreason.NotRun:
			return attempt.decline(reason, &queueEntry{})
		case !ok:
			return attempt.fail(attemptError{reason: reason, ran: ran})
		}
		attempt.claim = &claimExecution{claimStore: g.claimStore, token: string(claim.GetToken())}
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	return attempt.run(ctx)
}

// Report returns the load of the sidecar, the number of the request's leading blocks
// that will be cached, and the most recently used blocks of the cache.
func (g *gate) Report(_ context.Context, request *amrgate.ReportRequest) (*amrgate.ReportReply, error) {
	_, cached := g.admission.estimate(amrprompt.DecodeKeys(request.GetBlockKeys()))
	return &amrgate.ReportReply{
		Load:         g.load("", 0),
		CachedBlocks: uint32(cached),
		Held:         g.admission.recentBlocks(int(min(request.GetMaxHeld(), maxHeld))),
	}, nil
}

// Drain starts or ends draining and returns the number of requests in progress.
// While the sidecar drains, it declines new requests and finishes the others.
func (g *gate) Drain(_ context.Context, request *amrgate.DrainRequest) (*amrgate.DrainReply, error) {
	g.setDraining(request.GetDrain())
	return &amrgate.DrainReply{InFlight: uint32(g.inFlight())}, nil
}

// load returns the load to report to the router. It lists at most maxStored blocks
// that dispatches of other routers added to the cache and that the router has not
// been told of yet.
func (g *gate) load(router string, maxStored int) *amrgate.Load {
	state := g.backend.state()
	load := g.admission.load(router, maxStored)
	load.SidecarIncarnation = g.sidecar.incarnation
	load.ClockMs = g.claimStore.now().Milliseconds()
	load.EngineIncarnation = state.incarnation
	load.WeightsVersion = state.weightsVersion
	load.Ready = state.ready && !g.orderExecutor.isLoading()
	g.mu.Lock()
	defer g.mu.Unlock()
	load.Draining = g.draining
	load.Revision = g.floor.Highest()
	return load
}

// servesWeights reports whether requests for the version of the weights may be sent
// to the backend server. They may not while it loads weights. If its version is not
// known, they may, and it rejects them if the version does not match.
func (g *gate) servesWeights(version string) bool {
	loaded := g.backend.state().weightsVersion
	return !g.orderExecutor.isLoading() && (version == "" || loaded == "" || loaded == version)
}

// begin counts a request in progress, or returns the reason to decline it. The
// revision is that of the records that the router based the dispatch on.
func (g *gate) begin(revision uint64) amrreason.Code {
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

// end counts a request as no longer in progress.
func (g *gate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.signalDrained()
}

// setDraining starts or ends draining. It has no effect once stop has been called.
func (g *gate) setDraining(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining == draining || g.stopping {
		return
	}
	g.draining = draining
	if !draining {
		g.drainedCh = make(chan struct{})
	}
	g.signalDrained()
}

// stop starts draining for good: later calls of Drain do not end it.
func (g *gate) stop() {
	g.setDraining(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

// signalDrained closes g.drainedCh if the gate is draining and no request is in
// progress. The caller holds g.mu.
func (g *gate) signalDrained() {
	if !g.draining || g.running > 0 {
		return
	}
	select {
	case <-g.drainedCh:
	default:
		close(g.drainedCh)
	}
}

// drained returns a channel that is closed once the gate is draining and no request
// is in progress. If draining ends in between, a later call returns a new channel.
func (g *gate) drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drainedCh
}

// inFlight returns the number of requests in progress.
func (g *gate) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// ready reports whether the backend server is ready and the sidecar is not draining.
// Unlike the field Ready of a load, it ignores whether weights are being loaded.
func (g *gate) ready() bool {
	g.mu.Lock()
	draining := g.draining
	g.mu.Unlock()
	return !draining && g.backend.state().ready
}
