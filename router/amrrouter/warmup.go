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
	// warmUpPollInterval is the time between two checks of a starting router for
	// its first records.
	warmUpPollInterval = 5 * time.Millisecond

	// warmUpTimeout is the timeout of the request to one sidecar.
	warmUpTimeout = 500 * time.Millisecond

	// maxWarmUpBlocks limits the blocks that a sidecar lists.
	maxWarmUpBlocks = 1024

	// maxConcurrentWarmUpRequests limits the concurrent requests to sidecars.
	maxConcurrentWarmUpRequests = 16
)

// warmUp waits for the first records and then requests the lists of cached blocks
// from the sidecars of model deployments, once, so that a router that was restarted
// routes requests to the caches again. It skips deployments with more than
// maxServersForStoredBlocks backend servers. The router serves requests in the
// meantime.
func (r *Router) warmUp(ctx context.Context) error {
	ticker := r.clock.NewTicker(warmUpPollInterval)
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
	group.SetLimit(maxConcurrentWarmUpRequests)
	for _, record := range set.Records() {
		if spec, ok := record.Spec.(amrrecord.Deployment); ok && spec.Type == amrrecord.TypeModel {
			r.warmUpDeployment(ctx, &group, set, record.Name)
		}
	}
	return group.Wait()
}

// warmUpDeployment adds the requests to the sidecars of one deployment to the group.
func (r *Router) warmUpDeployment(ctx context.Context, group *errgroup.Group, set amrrecord.Set, deployment string) {
	members := r.membership.view(set).Eligible(deployment)
	if len(members) > maxServersForStoredBlocks {
		return
	}
	for _, m := range members {
		group.Go(func() error {
			ctx, cancel := clockwork.WithTimeout(ctx, r.clock, warmUpTimeout)
			defer cancel()
			reply, err := r.sidecarConns.client(ctx, m.Address).Report(ctx, &amrgate.ReportRequest{MaxHeld: maxWarmUpBlocks})
			if err == nil {
				r.applyLoad(m.Name, reply.GetLoad())
				r.placement.recordBlocks(set, deployment, m.Name, reply)
			}
			return nil // The blocks of a sidecar that does not answer are learned from its later replies.
		})
	}
}
