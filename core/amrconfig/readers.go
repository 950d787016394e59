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
	// Number of head readers in each availability zone.
	headReadersPerZone = 2

	// Number of sidecars in each availability zone that hold a snapshot,
	// so that a router can start while the store is unavailable and no other
	// router has the records.
	snapshotHoldersPerZone = 2

	// Time after which other routers become head readers.
	slotLength = time.Minute
)

// Peer is a process that has the records. It is a router or, if Sidecar is
// set, a sidecar.
type Peer struct {
	Name             string
	Address          string // IP address and port.
	AvailabilityZone string
	Weight           float64 // Relative probability of being selected as a head reader; 0 means 1.
	Sidecar          bool    // A sidecar only provides snapshots; it is never a head reader.
}

// slotAt returns the number of the time slot that contains the time.
func slotAt(now time.Time) int64 {
	return now.UnixNano() / int64(slotLength)
}

// headReaders returns the routers that read the head during the time slot,
// ordered by availability zone. Each process computes them on its own, by
// weighted rendezvous hashing. If clocks or lists of peers differ between
// processes, a few more routers read the head than necessary, which does no
// harm.
func headReaders(peers []Peer, slot int64) []Peer {
	peersByZone := map[string][]scoredPeer{}
	for _, p := range peers {
		if !p.Sidecar {
			peersByZone[p.AvailabilityZone] = append(peersByZone[p.AvailabilityZone], scoredPeer{p, p.score(slot)})
		}
	}
	var all []Peer
	for _, zone := range slices.Sorted(maps.Keys(peersByZone)) {
		zonePeers := peersByZone[zone]
		slices.SortFunc(zonePeers, compareByScore)
		for _, c := range zonePeers[:min(headReadersPerZone, len(zonePeers))] {
			all = append(all, c.Peer)
		}
	}
	return all
}

// SnapshotHolders returns the sidecars in the availability zone that hold a
// snapshot of the records. Unlike the head readers, they do not change over
// time: the result depends only on the sidecars in peers.
func SnapshotHolders(peers []Peer, zone string) []Peer {
	var all []scoredPeer
	for _, p := range peers {
		if p.Sidecar && p.AvailabilityZone == zone {
			all = append(all, scoredPeer{p, p.score(0)})
		}
	}
	slices.SortFunc(all, compareByScore)
	holders := make([]Peer, 0, snapshotHoldersPerZone)
	for _, c := range all[:min(snapshotHoldersPerZone, len(all))] {
		holders = append(holders, c.Peer)
	}
	return holders
}

// compareByScore orders peers by descending score and then by name.
func compareByScore(a, b scoredPeer) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
}

// scoredPeer is a peer with its score for one time slot.
type scoredPeer struct {
	Peer
	score float64
}

// score returns the weighted rendezvous hashing score of the peer for the time
// slot.
func (p Peer) score(slot int64) float64 {
	weight := p.Weight
	if weight == 0 {
		weight = 1
	}
	uniform := (float64(xxh3.HashString(p.Name+"\x00"+strconv.FormatInt(slot, 10))>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
