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
	statusTimeout = 2 * time.Second
	statusCalls   = 64 // Sidecars asked at once.
)

// Status returns the state of the routers and the backend servers.
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
		Routers:        s.routers(ctx),
		BackendServers: s.backendServers(ctx, set),
		ExplainPending: r.decisions.recorder.Pending(),
		ExplainDropped: r.decisions.recorder.Dropped(),
	}, nil
}

// countSuspects returns how many requests are struck, and how many of them are
// in quarantine; -1 and 0 when the table does not answer.
func (s *operatorsService) countSuspects(ctx context.Context) (struck, quarantined int) {
	listed, err := s.router.suspects.store.List(ctx)
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

// routers asks each live router for its state.
func (s *operatorsService) routers(ctx context.Context) []*operators.RouterStatus {
	own, _ := (&peerServer{router: s.router}).State(ctx, nil) // It returns no error.
	all := []*operators.RouterStatus{routerStatusOf(own)}
	var g errgroup.Group
	g.SetLimit(statusCalls)
	for _, peer := range s.router.hosts.routers() {
		if peer.Name == s.router.settings.Name {
			continue
		}
		status := &operators.RouterStatus{Name: peer.Name, AvailabilityZone: peer.AvailabilityZone}
		all = append(all, status)
		g.Go(func() error {
			reply, err := s.router.peers.client(ctx, peer.Address).State(ctx, &amrpeer.StateRequest{})
			if err != nil {
				status.Error = optional(err.Error())
				return nil
			}
			*status = *routerStatusOf(reply)
			return nil
		})
	}
	_ = g.Wait() // The calls return no errors.
	return all
}

func routerStatusOf(state *amrpeer.StateReply) *operators.RouterStatus {
	status := &operators.RouterStatus{
		Name:             state.GetName(),
		AvailabilityZone: state.GetAvailabilityZone(),
		Incarnation:      optional(state.GetIncarnation()),
		Ready:            state.GetReady(),
		Revision:         state.GetRevision(),
	}
	if state.GetRevision() > 0 { // Without records there is no age.
		age := time.Duration(state.GetAgeMs()) * time.Millisecond
		status.Age = optional(age.String())
	}
	return status
}

// backendServers asks the sidecar of each backend server for its state.
func (s *operatorsService) backendServers(ctx context.Context, set amrrecord.Set) []*operators.BackendServerStatus {
	all := []*operators.BackendServerStatus{}
	var g errgroup.Group
	g.SetLimit(statusCalls)
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
			reply, err := s.router.gates.client(ctx, server.Address).Report(ctx, &amrgate.ReportRequest{})
			fillStatus(status, server, reply.GetLoad(), err)
			return nil
		})
	}
	_ = g.Wait() // The calls return no errors.
	return all
}

func fillStatus(status *operators.BackendServerStatus, server amrrecord.BackendServer, load *amrgate.Load, err error) {
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
	status.WeightsVersion = optional(load.GetWeightsVersion())
}
