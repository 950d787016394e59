package amrcoord

import (
	"time"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// SendCommon sends the common parts that this router has learned of to the
// coordinators of the other groups of their pools.
func (p *Placer) SendCommon() {
	byPool := make(map[string][]amrgossip.Common)
	for _, c := range p.fleet.TakeCommonParts() {
		byPool[c.Pool] = append(byPool[c.Pool], amrgossip.Common{Key: c.Key, WeightsVersion: c.WeightsVersion, Server: amrgossip.ServerID(c.Server)})
	}
	p.mu.Lock()
	messenger := p.messenger
	p.mu.Unlock()
	if messenger == nil {
		return
	}
	for pool, parts := range byPool {
		for host := range p.coordinators(pool) {
			messenger.SendCommon(host, parts)
		}
	}
}

// coordinators returns the other routers that coordinate groups of the pool.
func (p *Placer) coordinators(pool string) map[amrgossip.HostID]bool {
	count := p.fleet.GroupCount(p.clock.Now(), pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make(map[amrgossip.HostID]bool)
	for i := range count {
		host, ok := p.ring.Coordinator(pool, amrpool.Group{Index: i, Count: count}, p.usable)
		if ok && host != p.host {
			hosts[host] = true
		}
	}
	return hosts
}

// HandleCommon records common parts that the coordinator of another group knows.
func (p *Placer) HandleCommon(_ time.Time, parts []amrgossip.Common) {
	for _, c := range parts {
		p.fleet.ApplyCommonPart(amrpool.CommonPart{Key: c.Key, WeightsVersion: c.WeightsVersion, Server: amrpool.ServerID(c.Server)})
	}
}
