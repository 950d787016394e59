package amrdirect

import (
	"log/slog"
	"time"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// gossipAdapter connects the gossip between routers to this router: the fleet
// supplies and applies loads and prompt parts, the forwarder strikes of
// requests that break their backend servers, and the rollout its changes of
// weights.
type gossipAdapter struct {
	fleet   *amrpool.Fleet
	forward *amrforward.Forwarder
	rollout *rollout
	log     *slog.Logger
}

// Notices returns the changes since the last call that the other routers must
// learn.
func (a gossipAdapter) Notices() amrgossip.Notice {
	loads, parts := a.fleet.Notices()
	return amrgossip.Notice{Loads: loads, Parts: parts, Strikes: a.forward.Strikes(), Rollout: a.rollout.takeNotice()}
}

// Heard applies a notice from another router.
func (a gossipAdapter) Heard(now time.Time, n amrgossip.Notice) {
	a.fleet.Heard(now, n)
	a.forward.Heard(now, n.Strikes)
	if r := n.Rollout; r != nil {
		a.log.Info("received rollout progress from the lease holder", "from", n.From, "row-version", r.RowVersion, "changing", len(r.Changing), "done", len(r.Done))
	}
}

// Urgent returns a channel that is ready to receive from when the next notice
// must be sent immediately.
func (a gossipAdapter) Urgent() <-chan struct{} {
	return a.fleet.Urgent()
}
