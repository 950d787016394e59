package amrrouter

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrrecord"
)

const (
	// warmUpPoll is how often a starting router looks for its records.
	warmUpPoll = 5 * time.Millisecond

	// warmUpTimeout bounds the question to one sidecar.
	warmUpTimeout = 500 * time.Millisecond

	// warmUpBlocks is how many blocks a sidecar is asked for.
	warmUpBlocks = 1024

	// warmUpAtOnce is how many sidecars are asked at once.
	warmUpAtOnce = 16
)

// warmUp asks the sidecars of small deployments once which blocks they hold.
// The router serves meanwhile.
func (r *Router) warmUp(ctx context.Context) error {
	ticker := r.clock.NewTicker(warmUpPoll)
	defer ticker.Stop()
	for r.Revision() == 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
	set := r.follower.Current()
	var group errgroup.Group
	group.SetLimit(warmUpAtOnce)
	for _, record := range set.Records() {
		if spec, ok := record.Spec.(amrrecord.Deployment); ok && spec.Type == amrrecord.TypeModel {
			r.warmUpDeployment(ctx, &group, set, record.Name)
		}
	}
	return group.Wait()
}

func (r *Router) warmUpDeployment(ctx context.Context, group *errgroup.Group, set amrrecord.Set, deployment string) {
	members := r.membership.view(set).Eligible(deployment)
	if len(members) > toldFleet {
		return
	}
	for _, m := range members {
		group.Go(func() error {
			ctx, cancel := clockwork.WithTimeout(ctx, r.clock, warmUpTimeout)
			defer cancel()
			reply, err := r.gates.client(ctx, m.Address).Report(ctx, &amrgate.ReportRequest{MaxHeld: warmUpBlocks})
			if err == nil {
				r.observe(m.Name, reply.GetLoad())
				r.placement.learn(set, deployment, m.Name, reply)
			}
			return nil // A sidecar that does not answer is learned from its replies.
		})
	}
}
