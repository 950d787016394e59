package amrsidecar

import (
	"context"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrgate"
)

// Keep brings the snapshot of the records up to a delta. It never goes back to
// a lower revision.
func (g *gate) Keep(_ context.Context, request *amrgate.KeepRequest) (*amrgate.KeepReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delta := amrconfig.Delta{Revision: request.GetRevision(), Data: request.GetData()}
	next, err := delta.Apply(g.snapshot)
	if err != nil {
		return nil, err
	}
	g.snapshot = next
	return &amrgate.KeepReply{Revision: next.Revision()}, nil
}

// Snapshot returns the newest records that routers gave the sidecar.
func (g *gate) Snapshot(_ context.Context, request *amrgate.SnapshotRequest) (*amrgate.SnapshotReply, error) {
	g.mu.Lock()
	set := g.snapshot
	g.mu.Unlock()
	if set.Revision() <= request.GetAbove() {
		return &amrgate.SnapshotReply{Revision: set.Revision()}, nil
	}
	whole, err := amrconfig.FullDelta(set)
	if err != nil {
		return nil, err
	}
	return &amrgate.SnapshotReply{Revision: whole.Revision, Data: whole.Data}, nil
}
