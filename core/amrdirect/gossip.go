package amrdirect

import (
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
}

// Notices returns what other routers are to be told of since the last call.
func (b gossipBeliefs) Notices() ([]amrgossip.Load, []amrgossip.Part, []amrgossip.Strike) {
	loads, parts := b.fleet.Notices()
	return loads, parts, b.forward.Strikes()
}

// Heard takes in a notice of another router.
func (b gossipBeliefs) Heard(now time.Time, n amrgossip.Notice) {
	b.fleet.Heard(now, n)
	b.forward.Heard(now, n.Strikes)
}

// PartsChanged returns a channel that is ready when parts are to be told of at
// once.
func (b gossipBeliefs) PartsChanged() <-chan struct{} {
	return b.fleet.PartsChanged()
}
