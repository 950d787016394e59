package amrdirect

import (
	"log/slog"
	"time"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// gossipAdapter connects the gossip between routers to this router. The fleet
// supplies and applies loads and prompt parts, and the forwarder the strikes of
// requests that crash their backend servers. Changes of weights come from the
// rollout and are applied by the fleet.
type gossipAdapter struct {
	fleet   *amrpool.Fleet
	forward *amrforward.Forwarder
	rollout *rollout
	log     *slog.Logger
}

// TakeNotice returns the changes since the last call that the other routers
// must learn.
func (a gossipAdapter) TakeNotice() amrgossip.Notice {
	loads, parts := a.fleet.TakeLoadsAndParts()
	return amrgossip.Notice{Loads: loads, Parts: parts, Strikes: a.forward.TakePendingStrikes(), Rollout: a.rollout.takeNotice()}
}

// ApplyNotice applies a notice from another router.
func (a gossipAdapter) ApplyNotice(now time.Time, n amrgossip.Notice) {
	a.fleet.ApplyNotice(now, n)
	a.forward.ApplyStrikes(now, n.Strikes)
	if r := n.Rollout; r != nil {
		a.log.Info("rollout progress received from the lease holder", "from", n.From, "row-version", r.RowVersion, "changing", len(r.Changing), "done", len(r.Done))
	}
}

// SendRequested returns a channel that is ready to receive from when the next
// notice must be sent immediately.
func (a gossipAdapter) SendRequested() <-chan struct{} {
	return a.fleet.SendRequested()
}
