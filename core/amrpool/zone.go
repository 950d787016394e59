package amrpool

import (
	"time"

	"github.com/zeebo/xxh3"
)

// leaveCost is the cost of a server in another availability zone, in pools that admit by
// urgency: the wait in the zone of the request from which it is sent elsewhere. It is
// longer than the waits in a zone that has room, and short compared with latency goals.
const leaveCost = 30 * time.Millisecond

// ZoneID identifies an availability zone in messages between routers. It is a hash of the
// zone's name, or 0 if the zone is unknown. Two zones with the same ID would only make the
// choice of a server less efficient.
type ZoneID uint16

// ZoneIDOf returns the ID of the named availability zone.
func ZoneIDOf(zone string) ZoneID {
	if zone == "" {
		return 0
	}
	return ZoneID(max(1, uint16(xxh3.HashString(zone))))
}

// Zone returns the availability zone of the router.
func (f *Fleet) Zone() ZoneID {
	return ZoneIDOf(f.zone)
}

// leavesZone reports whether a request would leave its availability zone for the server.
// The zone of a request from another router is that of this router if it is unknown, as in
// pools that do not admit by urgency.
func (f *Fleet) leavesZone(r *Request, s *server) bool {
	if r.Zone == 0 || !f.byUrgency(r.Pool) {
		return s.AvailabilityZone != f.zone
	}
	return s.zone != r.Zone
}

// zoneCost returns the cost of the server because of its availability zone.
func (f *Fleet) zoneCost(r *Request, s *server) time.Duration {
	switch {
	case !f.leavesZone(r, s):
		return 0
	case f.byUrgency(r.Pool):
		return leaveCost
	}
	return zoneCost
}

// slotsCost returns the cost of the slots in use of the server of a plain service. With
// admission by urgency, the wait for a slot is a cost of its own; see roomCost. Then a
// server whose slots are in use costs as much as one elsewhere, so that requests do not
// leave their zone while it has slots.
func (f *Fleet) slotsCost(r *Request, s *server, load float64) time.Duration {
	share := load / float64(max(s.Slots, 1))
	if f.byUrgency(r.Pool) {
		return time.Duration(float64(leaveCost) * share)
	}
	return time.Duration(float64(slotCost) * share)
}
