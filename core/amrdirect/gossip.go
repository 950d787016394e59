package amrdirect

import (
	"log/slog"
	"time"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// gossipBeliefs are what routers tell one another: the fleet knows of loads and
// prompt parts, the forwarder of requests that break their backend servers.
type gossipBeliefs struct {
	fleet   *amrpool.Fleet
	forward *amrforward.Forwarder
	rollout *rollout
	log     *slog.Logger
}

// Notices returns what other routers are to be told of since the last call.
func (b gossipBeliefs) Notices() amrgossip.Notice {
	loads, parts := b.fleet.Notices()
	return amrgossip.Notice{Loads: loads, Parts: parts, Strikes: b.forward.Strikes(), Rollout: b.rollout.notice()}
}

// Heard takes in a notice of another router.
func (b gossipBeliefs) Heard(now time.Time, n amrgossip.Notice) {
	b.fleet.Heard(now, n)
	b.forward.Heard(now, n.Strikes)
	if r := n.Rollout; r != nil {
		b.log.Info("rollout told by its holder", "from", n.From, "row-version", r.Row, "changing", len(r.Changing), "done", len(r.Done))
	}
}

// Urgent returns a channel that is ready when something is to be told of at
// once.
func (b gossipBeliefs) Urgent() <-chan struct{} {
	return b.fleet.Urgent()
}
