package amrcoord

import (
	"math"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// Router is a router that may coordinate placement groups.
type Router struct {
	Host     string
	Capacity float64 // Processing capacity of its host, relative to others.
}

// minCapacityShare is the capacity, as a share of the largest one in the ring, below
// which a router coordinates a group only if all routers above it are unusable. A group
// cannot be divided, and a small host has little processing time left for it beside the
// requests of its own callers, of which it gets as many as a large one.
const minCapacityShare = 0.5

// Ring determines the coordinators of placement groups by weighted rendezvous
// hashing among the routers with enough capacity. All routers that know the same
// routers determine the same coordinators, and few groups get another one when a
// router joins or leaves. A Ring is immutable.
type Ring struct {
	members []member
}

// member is a router in a Ring.
type member struct {
	name     string
	host     amrgossip.HostID
	hash     uint64
	capacity float64
	small    bool // Below minCapacityShare.
}

// rank orders the routers of a group; the highest one coordinates it.
type rank struct {
	small bool
	score float64
}

// above reports whether the rank is higher than another one.
func (r rank) above(other rank) bool {
	if r.small != other.small {
		return !r.small
	}
	return r.score > other.score
}

// NewRing returns a Ring of the routers. A router without a capacity counts as
// having a capacity of 1.
func NewRing(routers []Router) *Ring {
	r := &Ring{}
	largest := 0.0
	for _, router := range routers {
		capacity := router.Capacity
		if capacity <= 0 {
			capacity = 1
		}
		largest = max(largest, capacity)
		r.members = append(r.members, member{name: router.Host, host: amrgossip.IDOf(router.Host), hash: xxh3.HashString(router.Host), capacity: capacity})
	}
	for i := range r.members {
		m := &r.members[i]
		m.small = m.capacity < minCapacityShare*largest
	}
	return r
}

// Coordinator returns the router with the highest rank for the group of the pool
// among those that are usable. It returns false if there is none.
func (r *Ring) Coordinator(pool string, g amrpool.Group, usable func(amrgossip.HostID) bool) (amrgossip.HostID, bool) {
	key := groupKey(pool, g)
	var host amrgossip.HostID
	var best rank
	found := false
	for _, m := range r.members {
		if at := m.rank(key); (!found || at.above(best)) && usable(m.host) {
			best, host, found = at, m.host, true
		}
	}
	return host, found
}

// Rank returns the number of routers that have a higher rank for the group of the pool
// than the one on the host, among those that count.
func (r *Ring) Rank(pool string, g amrpool.Group, host amrgossip.HostID, counts func(amrgossip.HostID) bool) int {
	key := groupKey(pool, g)
	own := rank{small: true, score: math.Inf(-1)}
	for _, m := range r.members {
		if m.host == host {
			own = m.rank(key)
		}
	}
	higher := 0
	for _, m := range r.members {
		if m.rank(key).above(own) && counts(m.host) {
			higher++
		}
	}
	return higher
}

// equal reports whether the rings have the same routers with the same capacities, in any
// order.
func (r *Ring) equal(other *Ring) bool {
	members := make(map[member]bool)
	for _, m := range r.members {
		members[m] = true
	}
	for _, m := range other.members {
		if !members[m] {
			return false
		}
	}
	return len(r.members) == len(other.members)
}

// name returns the name of the router's host, or an empty string if it is not in the ring.
func (r *Ring) name(host amrgossip.HostID) string {
	for _, m := range r.members {
		if m.host == host {
			return m.name
		}
	}
	return ""
}

// groupKey returns the key of the group of the pool in rendezvous hashing.
func groupKey(pool string, g amrpool.Group) uint64 {
	return xxh3.HashString(pool) + uint64(g.Index)*0x9e3779b97f4a7c15
}

// rank returns the rank of the router for the key. Its score is the logarithm of a
// uniform number from 0 to 1, divided by the weight.
func (m member) rank(key uint64) rank {
	return rank{small: m.small, score: math.Log((float64(mix(m.hash^key)>>11)+0.5)/(1<<53)) / m.capacity}
}

// mix applies the 64-bit finalizer of MurmurHash3, which makes each bit of x
// affect all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
