package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// zoneUseTTL is the time since the last request from an availability zone for which
	// the shared parts of a prompt are worth a copy there. Parts that are used less often
	// would displace others.
	zoneUseTTL = time.Second

	// maxZoneUses is the maximum number of uses that a router records.
	maxZoneUses = 4096
)

// zoneUse identifies the shared parts of prompts from an availability zone.
type zoneUse struct {
	key  uint64 // Prefix key of the last shared part.
	zone ZoneID
}

// zoneUses records when prompts with the same shared parts last came from each zone.
type zoneUses struct {
	last *simplelru.LRU[zoneUse, time.Time]
}

func newZoneUses() zoneUses {
	last, err := simplelru.NewLRU[zoneUse, time.Time](maxZoneUses, nil)
	if err != nil {
		panic(err) // Happens only for a size that is not positive.
	}
	return zoneUses{last}
}

// recent reports whether there was a use within zoneUseTTL.
func (u zoneUses) recent(now time.Time, use zoneUse) bool {
	last, ok := u.last.Peek(use)
	return ok && now.Sub(last) < zoneUseTTL
}

// setCopyServer sets the server to which a copy of the shared parts is fetched at no cost,
// because later prompts from the same zone find it there. There is none unless all parts
// are elsewhere, no server in the zone of the request has them, and prompts with them come
// from there often.
func (f *Fleet) setCopyServer(now time.Time, r *Request, p *prompt) {
	if p.shared == 0 || !f.byUrgency(r.Pool) {
		return
	}
	zone := r.Zone
	if zone == 0 {
		zone = f.Zone()
	}
	use := zoneUse{p.keys[p.shared-1], zone}
	recent := f.zoneUses.recent(now, use)
	if !f.explaining {
		f.zoneUses.last.Add(use, now)
	}
	if !recent {
		return
	}
	known := p.sources[p.version]
	if known == nil || known.all.first.depth < p.shared {
		return
	}
	for _, s := range p.eligible {
		if s.zone != zone || s.version[p.model] < p.version {
			continue
		}
		if near := known.byZone[s.AvailabilityZone]; near != nil && near.first.depth >= p.shared {
			p.copyTo = nil
			return
		}
		if p.copyTo == nil || s.rank(p.keys[p.shared-1]) > p.copyTo.rank(p.keys[p.shared-1]) {
			p.copyTo = s
		}
	}
}
