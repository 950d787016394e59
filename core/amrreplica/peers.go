package amrreplica

import (
	"cmp"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrhttp"
)

const (
	// routersPerRelay is the number of routers of an availability zone for which
	// there is one relay. It bounds the calls that a relay answers.
	routersPerRelay = 32

	// minRelayedRouters is the number of routers in an availability zone from which
	// some of them are relays.
	minRelayedRouters = 4

	// spareRelays is the number of further routers that take over when relays fail.
	spareRelays = 2

	// avoidTime is the time for which a relay that did not respond is not asked, and
	// outOfTouchTime that for a relay which was out of touch with the table.
	avoidTime      = 5 * time.Second
	outOfTouchTime = time.Second
)

// Intervals between a change of a table and the next call for changes, so that one
// call returns several changes. With more callers of the store they are longer, so that
// the total rate of calls does not grow.
const (
	smallRouterCount  = 8 // Number of routers up to which the store can serve the calls of all at any interval.
	intervalPerRouter = 33 * time.Millisecond

	// relayedInterval is the interval where there are relays. It delays changes twice,
	// at the relay and at the router that follows it.
	relayedInterval = 500 * time.Millisecond

	// maxInterval is the longest interval. Routers must learn of a departed server well
	// within the drain time, and of a renewed lease before it could expire.
	maxInterval = time.Second
)

// Router is a router that serves its copies of tables.
type Router struct {
	Host             string
	Address          string // Address at which it serves them.
	AvailabilityZone string
	Capacity         float64 // Processing capacity of its host, relative to others.
}

// Peers knows the other routers and which of them are relays. It is safe for concurrent
// use. Create it with NewPeers.
type Peers struct {
	self   Router
	client *http.Client
	clock  clockwork.Clock
	log    *slog.Logger

	mu        sync.Mutex
	addresses []string
	relays    []Router // Relays of this router, the preferred one first; empty if it follows the tables itself.
	isRelay   bool     // Other routers follow the tables through this one.
	routers   int
	avoided   map[string]time.Time // Times until which relays that failed are not asked, by host.
}

// Option configures a Peers.
type Option func(*Peers)

// WithTransport replaces the transport by which the other routers are reached.
func WithTransport(transport http.RoundTripper) Option {
	return func(p *Peers) { p.client.Transport = transport }
}

// NewPeers returns a Peers for the router self that knows the addresses of some others.
func NewPeers(self Router, addresses []string, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Peers {
	p := &Peers{
		self: self, clock: clock, log: log,
		client:    &http.Client{Transport: amrhttp.NewRoundTripper(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute})},
		addresses: slices.Clone(addresses), avoided: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetRouters sets the routers, this one included. Routers without an address serve no
// copies.
func (p *Peers) SetRouters(routers []Router) {
	var addresses []string
	byZone := make(map[string][]Router)
	for _, r := range routers {
		if r.Address != "" {
			addresses = append(addresses, r.Address)
			byZone[r.AvailabilityZone] = append(byZone[r.AvailabilityZone], r)
		}
	}
	zone := byZone[p.self.AvailabilityZone]
	relays := relaysFor(p.self.Host, zone)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(p.relays, relays) {
		p.log.Info("relays of tables changed", "relays", hosts(relays), "routers", len(routers))
	}
	p.addresses, p.relays, p.routers = addresses, relays, len(routers)
	p.isRelay = len(relays) == 0 && len(zone) >= minRelayedRouters
}

// relayCount returns how many of the routers of an availability zone follow the tables
// themselves.
func relayCount(routers int) int {
	if routers < minRelayedRouters {
		return routers
	}
	return (routers + routersPerRelay - 1) / routersPerRelay
}

// relaysFor returns the relays of the router on the host, the preferred one first. All
// routers rank those of the zone alike, by weighted rendezvous hashing. A router has
// only relays that rank above it, so that no two routers wait for each other.
func relaysFor(host string, zone []Router) []Router {
	ranked := slices.Clone(zone)
	slices.SortFunc(ranked, func(a, b Router) int { return cmp.Compare(rank(b, "relay"), rank(a, "relay")) })
	count := relayCount(len(ranked))
	own := slices.IndexFunc(ranked, func(r Router) bool { return r.Host == host })
	if own < count { // A relay, or not yet known to the others.
		return nil
	}
	relays := slices.Clone(ranked[:count])
	slices.SortFunc(relays, func(a, b Router) int { return cmp.Compare(rank(b, host), rank(a, host)) })
	return append(relays, ranked[count:min(count+spareRelays, own)]...)
}

// rank returns the rank of the router for the key in weighted rendezvous hashing.
func rank(r Router, key string) float64 {
	uniform := (float64(xxh3.HashString(key+"/"+r.Host)>>11) + 0.5) / (1 << 53)
	weight := r.Capacity
	if weight <= 0 {
		weight = 1
	}
	return math.Log(uniform) / weight
}

// hosts returns the hosts of the routers.
func hosts(routers []Router) []string {
	var names []string
	for _, r := range routers {
		names = append(names, r.Host)
	}
	return names
}

// IsRelay reports whether other routers follow the tables through this one.
func (p *Peers) IsRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isRelay
}

// CallInterval returns the minimum time between a change of a table that all routers
// follow and the next call for changes, which is at least the given minimum. If some
// relays of this router do not respond, all routers may call the store at the same
// time as this one.
func (p *Peers) CallInterval(minimum time.Duration) time.Duration {
	usable := len(p.usableRelays())
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.routers <= smallRouterCount:
		return minimum
	case p.isRelay || len(p.relays) > 0 && usable == len(p.relays):
		return max(relayedInterval, minimum)
	default:
		return min(max(time.Duration(p.routers)*intervalPerRouter, minimum), maxInterval)
	}
}

// others returns the addresses of the other routers.
func (p *Peers) others() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.addresses), func(a string) bool { return a == p.self.Address })
}

// usableRelays returns the relays that may be asked now, the preferred one first.
func (p *Peers) usableRelays() []Router {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.relays), func(r Router) bool { return now.Before(p.avoided[r.Host]) })
}

// suspects reports whether the relay failed when it was last asked.
func (p *Peers) suspects(relay Router) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.avoided[relay.Host]
	return ok
}

// trust records that the relay has responded.
func (p *Peers) trust(relay Router) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.avoided, relay.Host)
}

// avoid keeps the relay, which returned the error, from being asked for some time.
func (p *Peers) avoid(relay Router, err error) {
	pause := avoidTime
	if errorx.IsOfType(err, outOfTouch) {
		pause = outOfTouchTime
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoided[relay.Host] = p.clock.Now().Add(pause)
}
