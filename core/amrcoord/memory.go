package amrcoord

import (
	"time"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// memoryShares[i] is the share of a server's memory that the router of rank i for the
// server's group may fill, for its own callers and for routers that ask it. Routers of a lower
// rank have none. All known routers count for the rank, since others may reach those that this
// router does not. The first share is the largest because coordinators place most requests.
var memoryShares = [...]float64{0.6, 0.2}

const (
	// memoryReserve is the share of the router with the highest rank for the server itself, so
	// that routers of a low rank are able to place requests.
	memoryReserve = 0.1

	// sharedMemory is the sum of the shares. The rest is not used, since a server learns late
	// that a request was canceled.
	sharedMemory = 0.9

	// ringSettleTime is the time within which routers that reach the store learn of a change of
	// the routers.
	ringSettleTime = 3 * time.Second

	// memoryHoldTime is the time after which the requests of a router that has lost its
	// share have ended: the longest usual deadline.
	memoryHoldTime = 12 * time.Second
)

// ringHistory holds the rings by which routers may still place requests, or by which
// requests were placed that may still run. The zero value is ready to use.
type ringHistory struct {
	rings []datedRing // In order of time; the last one is the current one.
}

// datedRing is a ring and the time from which it applies.
type datedRing struct {
	ring *Ring
	from time.Time
}

// set records the current ring, unless it has the same routers as before.
func (h *ringHistory) set(now time.Time, ring *Ring) {
	if n := len(h.rings); n > 0 && h.rings[n-1].ring.equal(ring) {
		return
	}
	for len(h.rings) > 1 && now.Sub(h.rings[1].from) >= memoryHoldTime {
		h.rings = h.rings[1:]
	}
	h.rings = append(h.rings, datedRing{ring, now})
}

// within returns the rings that applied at any time since the given one.
func (h *ringHistory) within(since time.Time) []datedRing {
	first := 0
	for first+1 < len(h.rings) && !h.rings[first+1].from.After(since) {
		first++
	}
	return h.rings[first:]
}

// least returns the least value of the share by the rings that applied since the given
// time.
func (h *ringHistory) least(since time.Time, share func(*Ring) float64) float64 {
	least := sharedMemory
	for _, r := range h.within(since) {
		least = min(least, share(r.ring))
	}
	return least
}

// alone reports whether the rings that applied since the given time have one router at most.
func (h *ringHistory) alone(since time.Time) bool {
	for _, r := range h.within(since) {
		if len(r.ring.members) > 1 {
			return false
		}
	}
	return true
}

// boundMemory sets the shares of the servers' memory within which this router may select a
// server for the request. A share that is larger by a change of the routers applies after
// ringSettleTime. A router that has just started uses its share at once, and until
// memoryHoldTime has passed it also keeps to what the servers report. A change of the number
// of groups is not recorded: two coordinators may then have the largest share of a server
// until the requests of the former one end. A router that knows no other one has no shares.
func (p *Placer) boundMemory(r *amrpool.Request) {
	if !p.fleet.HasHardServerMemory() || r.Model == "" {
		return
	}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	settling, holding := now.Add(-ringSettleTime), now.Add(-memoryHoldTime)
	if p.rings.alone(settling) {
		r.MemoryRights = nil
		return
	}
	pool, group := r.Pool, r.Group
	share := func(ring *Ring) float64 { return p.memoryShare(ring, pool, group) }
	settled := p.rings.least(settling, share)
	r.MemoryRights = &amrpool.MemoryRights{
		Share: settled, Largest: memoryShares[0],
		TakenOver: p.rings.rings[0].from.After(holding) || p.rings.least(holding, share) < settled,
		Reserve:   p.memoryReserves(p.rings.within(holding)),
	}
}

// memoryShare returns the share that this router may fill by its rank for the group.
func (p *Placer) memoryShare(ring *Ring, pool string, g amrpool.Group) float64 {
	if p.messenger == nil { // All routers select servers without each other.
		return sharedMemory / float64(max(1, len(ring.members)))
	}
	if g.Count == 0 { // The servers are those of all groups, whose coordinators have the shares.
		return 0
	}
	rank := ring.Rank(pool, g, p.host, func(amrgossip.HostID) bool { return true })
	if rank >= len(memoryShares) {
		return 0
	}
	return memoryShares[rank]
}

// memoryReserves returns a function that returns this router's part of the reserve of a
// server: it has the reserve if it has the highest rank for the server in all rings.
func (p *Placer) memoryReserves(rings []datedRing) func(amrpool.ServerID) float64 {
	if p.messenger == nil {
		return func(amrpool.ServerID) float64 { return 0 }
	}
	return func(s amrpool.ServerID) float64 {
		for _, r := range rings {
			if r.ring.preferred(uint64(s)) != p.host {
				return 0
			}
		}
		return memoryReserve
	}
}

// preferred returns the router with the highest rank for the key, whatever its capacity.
func (r *Ring) preferred(key uint64) amrgossip.HostID {
	var host amrgossip.HostID
	best := uint64(0)
	for _, m := range r.members {
		if at := mix(m.hash ^ mix(key+1)); at >= best {
			best, host = at, m.host
		}
	}
	return host
}
