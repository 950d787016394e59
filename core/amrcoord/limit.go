package amrcoord

import (
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// limitShares are the shares of the servers' limits that routers may use by their rank
// for the group. Routers of a higher rank count even if this one cannot reach them, since
// others may. All shares together stay below the one and a half times that servers allow
// for. Routers of a lower rank use no limits.
var limitShares = [...]float64{1, 0.3, 0.1}

// limitServers sets which of the limits of the group's servers the request may use if this
// router selects the server.
func (p *Placer) limitServers(r *amrpool.Request) {
	if !p.fleet.HasLimit(r.Pool) {
		return
	}
	now := p.clock.Now()
	p.mu.Lock()
	alone, routers := p.messenger == nil, len(p.ring.members)
	rank := p.ring.Rank(r.Pool, r.Group, p.host, func(host amrgossip.HostID) bool { return p.health.mayServe(now, host) })
	p.mu.Unlock()
	switch {
	case alone: // All routers select servers without each other.
		r.LimitShare = 1 / float64(max(1, routers))
	case rank < len(limitShares):
		r.LimitShare = limitShares[rank]
	default:
		r.ExcludeLimited = true
	}
}

// limitAndProbe is limitServers for a request that this router places. It probes the router
// that it believes to coordinate the group, if that is another one.
func (p *Placer) limitAndProbe(r *amrpool.Request) {
	if !p.fleet.HasLimit(r.Pool) {
		return
	}
	p.limitServers(r)
	p.mu.Lock()
	messenger := p.messenger
	host, ok := p.ring.Coordinator(r.Pool, r.Group, p.usable)
	probe := ok && host != p.host && p.health.probe(p.clock.Now(), host)
	p.mu.Unlock()
	if probe && messenger != nil {
		messenger.SendPing(host)
	}
}
