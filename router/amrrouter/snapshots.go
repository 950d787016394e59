package amrrouter

import (
	"context"
	"time"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrtick"
)

// snapshotUpdateInterval is the time between two updates of the snapshots.
const snapshotUpdateInterval = 2 * time.Second

// maintainSnapshots updates the configuration snapshots that sidecars of the
// availability zone hold, every snapshotUpdateInterval until ctx is done. It does so
// only while this router is one of the routers that read the configuration from the
// table. An update that fails is repeated at the next interval.
func (r *Router) maintainSnapshots(ctx context.Context) error {
	revisions := map[string]uint64{} // By name of the sidecar; the revision that it is known to hold.
	amrtick.Every(ctx, r.clock, snapshotUpdateInterval, func() {
		if !r.follower.IsHeadReader() {
			clear(revisions) // A sidecar may restart and lose its snapshot before the router reads again.
			return
		}
		r.updateSnapshots(ctx, revisions)
	})
	return nil
}

// updateSnapshots updates each snapshot that is older than the records of the
// router, and sets the revisions of the updated ones.
func (r *Router) updateSnapshots(ctx context.Context, revisions map[string]uint64) {
	for _, holder := range amrconfig.SnapshotHolders(r.hostRegistry.livePeers(), r.settings.AvailabilityZone) {
		if revisions[holder.Name] >= r.Revision() {
			continue
		}
		revision, err := r.updateSnapshot(ctx, holder)
		if err != nil {
			r.log.Debug("cannot update the snapshot of a sidecar", "sidecar", holder.Name, "error", err)
			continue
		}
		revisions[holder.Name] = revision
	}
}

// updateSnapshot sends the sidecar the changes since the revision that it holds,
// or all records if the changes are no longer known. It returns the revision
// that the sidecar holds afterwards.
func (r *Router) updateSnapshot(ctx context.Context, holder amrconfig.Peer) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := r.sidecarConns.client(ctx, holder.Address)
	held, err := client.Keep(ctx, &amrgate.KeepRequest{})
	if err != nil || held.GetRevision() >= r.Revision() {
		return held.GetRevision(), err
	}
	delta, err := r.follower.Pull(ctx, held.GetRevision(), 0)
	if amrconfig.IsTooOld(err) {
		delta, err = amrconfig.FullDelta(r.follower.Current())
	}
	if err != nil {
		return 0, err
	}
	held, err = client.Keep(ctx, &amrgate.KeepRequest{Revision: delta.Revision, Data: delta.Data})
	return held.GetRevision(), err
}
