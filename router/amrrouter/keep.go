package amrrouter

import (
	"context"
	"time"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrtick"
)

const keepInterval = 2 * time.Second // Between updates of the snapshots.

// keepSnapshots brings the snapshots that sidecars of the availability zone
// hold up to date while the router is a reader. A failure is made good by the
// next update.
func (r *Router) keepSnapshots(ctx context.Context) error {
	kept := map[string]uint64{} // Revision that each sidecar is known to hold.
	amrtick.Every(ctx, r.clock, keepInterval, func() {
		if !r.follower.IsHeadReader() {
			clear(kept) // A sidecar may restart meanwhile.
			return
		}
		r.updateSnapshots(ctx, kept)
	})
	return nil
}

// updateSnapshots brings each snapshot below the router's revision up to it.
func (r *Router) updateSnapshots(ctx context.Context, kept map[string]uint64) {
	for _, holder := range amrconfig.SnapshotHolders(r.hosts.all(), r.settings.AvailabilityZone) {
		if kept[holder.Name] >= r.Revision() {
			continue
		}
		held, err := r.keep(ctx, holder)
		if err != nil {
			r.log.Debug("snapshot-not-kept", "sidecar", holder.Name, "error", err)
			continue
		}
		kept[holder.Name] = held
	}
}

// keep sends the sidecar what is above the revision that it holds, and returns
// the revision that it holds then.
func (r *Router) keep(ctx context.Context, holder amrconfig.Peer) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := r.gates.client(ctx, holder.Address)
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
