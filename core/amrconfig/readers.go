package amrconfig

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// Routers in each availability zone that read the head.
	readersPerZone = 2

	// Sidecars in each availability zone that hold a snapshot for routers that
	// start while the store is down and no router has the records.
	snapshotHoldersPerZone = 2

	// Time after which other routers take over as readers.
	slotLength = time.Minute
)

// Peer is another process that holds the records.
type Peer struct {
	Name             string
	Address          string // IP address and port.
	AvailabilityZone string
	Weight           float64 // Share of the work as a reader; 0 means 1.
	Sidecar          bool    // Gives snapshots only.
}

// slotOf returns the slot that the time is in.
func slotOf(now time.Time) int64 {
	return now.UnixNano() / int64(slotLength)
}

// readers returns the routers that read the head in the slot, for each
// availability zone in turn. Processes whose clocks or lists of peers differ
// may choose differently; that costs a few more reads.
func readers(peers []Peer, slot int64) []Peer {
	zones := map[string][]candidate{}
	for _, p := range peers {
		if !p.Sidecar {
			zones[p.AvailabilityZone] = append(zones[p.AvailabilityZone], candidate{p, p.score(slot)})
		}
	}
	var all []Peer
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		zone := zones[name]
		slices.SortFunc(zone, byScore)
		for _, c := range zone[:min(readersPerZone, len(zone))] {
			all = append(all, c.Peer)
		}
	}
	return all
}

// SnapshotHolders returns the sidecars of the availability zone that hold a snapshot of
// the records. They stay the same while the sidecars do.
func SnapshotHolders(peers []Peer, zone string) []Peer {
	var all []candidate
	for _, p := range peers {
		if p.Sidecar && p.AvailabilityZone == zone {
			all = append(all, candidate{p, p.score(0)})
		}
	}
	slices.SortFunc(all, byScore)
	holders := make([]Peer, 0, snapshotHoldersPerZone)
	for _, c := range all[:min(snapshotHoldersPerZone, len(all))] {
		holders = append(holders, c.Peer)
	}
	return holders
}

func byScore(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
}

type candidate struct {
	Peer
	score float64
}

// score is the weighted rendezvous score of the peer for the slot.
func (p Peer) score(slot int64) float64 {
	weight := p.Weight
	if weight == 0 {
		weight = 1
	}
	uniform := (float64(xxh3.HashString(p.Name+"\x00"+strconv.FormatInt(slot, 10))>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
