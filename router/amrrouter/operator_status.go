package amrrouter

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/router/gen/operators"
)

const (
	statusTimeout = 2 * time.Second
	statusCalls   = 64 // Sidecars asked at once.
)

// Status returns the state of the router and of the backend servers.
func (s *operatorsService) Status(ctx context.Context, _ *operators.StatusPayload) (*operators.FleetStatus, error) {
	r := s.router
	set := r.follower.Current()
	age := r.follower.Age().Round(time.Millisecond).String()
	return &operators.FleetStatus{
		Revision: set.Revision(),
		Routers: []*operators.RouterStatus{{
			Name:             r.settings.Name,
			AvailabilityZone: r.settings.AvailabilityZone,
			Incarnation:      &r.incarnation,
			Ready:            r.Ready(),
			Revision:         set.Revision(),
			Age:              &age,
		}},
		BackendServers: s.backendServers(ctx, set),
		ExplainPending: r.decisions.recorder.Pending(),
		ExplainDropped: r.decisions.recorder.Dropped(),
	}, nil
}

// backendServers asks the sidecar of each backend server for its state.
func (s *operatorsService) backendServers(ctx context.Context, set amrrecord.Set) []*operators.BackendServerStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
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
			mu.Lock()
			defer mu.Unlock()
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
