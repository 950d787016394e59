package amrrouter

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrpeer"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/router/gen/operators"
)

const (
	statusTimeout            = 2 * time.Second
	maxConcurrentStatusCalls = 64
)

// Status returns the state of the routers and the backend servers. A process
// that does not answer within statusTimeout is reported as such.
func (s *operatorsService) Status(ctx context.Context, _ *operators.StatusPayload) (*operators.FleetStatus, error) {
	r := s.router
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	set := r.follower.Current()
	struck, quarantined := s.countSuspects(ctx)
	return &operators.FleetStatus{
		Struck:         struck,
		Quarantined:    quarantined,
		Revision:       set.Revision(),
		Routers:        s.routerStatuses(ctx),
		BackendServers: s.backendServerStatuses(ctx, set),
		ExplainPending: r.decisions.recorder.Pending(),
		ExplainDropped: r.decisions.recorder.Dropped(),
	}, nil
}

// countSuspects returns the number of requests that were running when a backend
// server crashed, and how many of these are quarantined. It returns -1 and 0 if
// the table service does not answer.
func (s *operatorsService) countSuspects(ctx context.Context) (struck, quarantined int) {
	listed, err := s.router.suspectChecker.store.List(ctx)
	if err != nil {
		return -1, 0
	}
	for _, suspect := range listed {
		if suspect.Quarantined() {
			quarantined++
		}
	}
	return len(listed), quarantined
}

// routerStatuses returns the status of each live router, this one first.
func (s *operatorsService) routerStatuses(ctx context.Context) []*operators.RouterStatus {
	own, _ := (&peerServer{router: s.router}).State(ctx, nil) // State never returns an error.
	all := []*operators.RouterStatus{newRouterStatus(own)}
	var g errgroup.Group
	g.SetLimit(maxConcurrentStatusCalls)
	for _, peer := range s.router.hostRegistry.routers() {
		if peer.Name == s.router.settings.Name {
			continue
		}
		status := &operators.RouterStatus{Name: peer.Name, AvailabilityZone: peer.AvailabilityZone}
		all = append(all, status)
		g.Go(func() error {
			reply, err := s.router.peerClient.client(ctx, peer.Address).State(ctx, &amrpeer.StateRequest{})
			if err != nil {
				status.Error = nonEmptyString(err.Error())
				return nil
			}
			*status = *newRouterStatus(reply)
			return nil
		})
	}
	_ = g.Wait() // The functions return nil.
	return all
}

// newRouterStatus returns the state of a router in the form of the operators' API.
func newRouterStatus(state *amrpeer.StateReply) *operators.RouterStatus {
	status := &operators.RouterStatus{
		Name:             state.GetName(),
		AvailabilityZone: state.GetAvailabilityZone(),
		Incarnation:      nonEmptyString(state.GetIncarnation()),
		Ready:            state.GetReady(),
		Revision:         state.GetRevision(),
	}
	if state.GetRevision() > 0 { // A router without records has no age.
		age := time.Duration(state.GetAgeMs()) * time.Millisecond
		status.Age = nonEmptyString(age.String())
	}
	return status
}

// backendServerStatuses returns the status of each backend server, as reported by
// its sidecar.
func (s *operatorsService) backendServerStatuses(ctx context.Context, set amrrecord.Set) []*operators.BackendServerStatus {
	all := []*operators.BackendServerStatus{}
	var g errgroup.Group
	g.SetLimit(maxConcurrentStatusCalls)
	for _, record := range set.Records() {
		server, ok := record.Spec.(amrrecord.BackendServer)
		if !ok {
			continue
		}
		status := &operators.BackendServerStatus{
			Name:             record.Name,
			Deployment:       server.Deployment,
			AvailabilityZone: server.AvailabilityZone,
		}
		all = append(all, status)
		g.Go(func() error {
			reply, err := s.router.sidecarConns.client(ctx, server.Address).Report(ctx, &amrgate.ReportRequest{})
			setBackendServerStatus(status, server, reply.GetLoad(), err)
			return nil
		})
	}
	_ = g.Wait() // The functions return nil.
	return all
}

// setBackendServerStatus sets the status of a backend server from its record and
// from the load that its sidecar reported, or the error of that call.
func setBackendServerStatus(status *operators.BackendServerStatus, server amrrecord.BackendServer, load *amrgate.Load, err error) {
	switch {
	case err != nil:
		status.State = "unreachable"
		return
	case server.Drain || load.GetDraining():
		status.State = "draining"
	case !load.GetReady():
		status.State = "not-ready"
	default:
		status.State = "ready"
	}
	running, queued, revision := load.GetRunning(), load.GetQueued(), load.GetRevision()
	status.Running = &running
	status.Queued = &queued
	status.Revision = &revision
	status.WeightsVersion = nonEmptyString(load.GetWeightsVersion())
}
