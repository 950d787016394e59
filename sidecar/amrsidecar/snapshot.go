package amrsidecar

import (
	"context"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrgate"
)

// Keep applies a delta from a router to the kept snapshot of the records, and
// returns the snapshot's revision. The revision never decreases: a delta that ends
// at a lower one changes nothing.
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

// Snapshot returns the newest records that routers have passed to Keep, so that a
// router can start while the table is not reachable. The reply has no records if
// they are not newer than the revision that the request names.
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
