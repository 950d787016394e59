package amrpool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// groupSize is the mean number of servers in a placement group. Larger groups
	// balance the load better and compute fewer parts twice, but their coordinators
	// place more requests.
	groupSize = 40

	// groupWeightsTTL is the time for which the numbers of servers in the groups
	// of a pool are kept.
	groupWeightsTTL = 100 * time.Millisecond
)

// Group identifies a placement group: a part of the servers of a pool. All requests
// to a group are placed by the same router, its coordinator, so that this router
// knows the load and the cached parts of its servers without being told of them.
type Group struct {
	Index int
	Count int // Number of groups in the pool; 0 selects all servers of the pool.
}

// contains reports whether the server is in the group.
func (g Group) contains(s *server) bool {
	return g.Count <= 1 || s.groupOf(g.Count) == g.Index
}

// groupOf returns the index of the server's group if its pool has the given number
// of groups. Rendezvous hashing moves few servers when that number changes.
func (s *server) groupOf(count int) int {
	if s.groups == count {
		return s.group
	}
	best := uint64(0)
	for i := range count {
		if r := mix(s.hash ^ groupHash(i)); r >= best {
			best, s.group = r, i
		}
	}
	s.groups = count
	return s.group
}

// groupHash returns the hash of a group's index.
func groupHash(index int) uint64 {
	return xxh3.HashString("group") + mix(uint64(index)+1)
}

// groupWeights holds the numbers of servers that accept requests in the groups of a
// pool.
type groupWeights struct {
	servers []int
	at      time.Time
}

// GroupsOf returns the placement groups for the prompt of the request: the one that
// should get it, and the one that is next if the first cannot take it. They are the
// same if the pool has one group. Prompts that begin with the same parts have the
// same groups, unless their prefix is hot; see spreadHotPrefix. Groups get prompts in
// proportion to their servers (weighted rendezvous hashing).
func (f *Fleet) GroupsOf(now time.Time, r *Request) (first, second Group) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.groupsOf(now, r)
}

// groupsOf is GroupsOf. The caller must hold f.mu.
func (f *Fleet) groupsOf(now time.Time, r *Request) (first, second Group) {
	weights := f.weightsOf(now, r.Pool)
	key := r.groupKey()
	passed := f.spreadHotPrefix(now, r, key, len(weights.servers))
	ranked := weights.rank(key)
	if len(ranked) == 0 {
		first = Group{Count: len(weights.servers)}
		return first, first
	}
	first = Group{Index: ranked[passed%len(ranked)], Count: len(weights.servers)}
	second = Group{Index: ranked[(passed+1)%len(ranked)], Count: len(weights.servers)}
	return first, second
}

// rank returns the indices of the groups with servers in the order in which prompts with
// the key should get them.
func (w *groupWeights) rank(key uint64) []int {
	var ranked []int
	scores := make([]float64, len(w.servers))
	for i, servers := range w.servers {
		if servers > 0 {
			// The logarithm of a uniform number from 0 to 1, divided by the weight.
			scores[i] = math.Log((float64(mix(key^groupHash(i))>>11)+0.5)/(1<<53)) / float64(servers)
			ranked = append(ranked, i)
		}
	}
	slices.SortStableFunc(ranked, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return ranked
}

// GroupCount returns the number of placement groups in the pool.
func (f *Fleet) GroupCount(now time.Time, pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.weightsOf(now, pool).servers)
}

// weightsOf returns the numbers of servers in the groups of the pool. An explanation does
// not keep them.
func (f *Fleet) weightsOf(now time.Time, pool string) *groupWeights {
	w := f.groupWeights[pool]
	if w != nil && now.Sub(w.at) < groupWeightsTTL {
		return w
	}
	// Servers that accept no requests for a moment do not change the groups.
	groups := (len(f.pools[pool]) + groupSize/2) / groupSize
	w = &groupWeights{servers: make([]int, max(1, groups)), at: now}
	for _, s := range f.pools[pool] {
		if s.acceptsRequests(now) {
			w.servers[s.groupOf(len(w.servers))]++
		}
	}
	if !f.explaining {
		f.groupWeights[pool] = w
	}
	return w
}

// groupKey returns the key that determines the group of the request's prompt: that
// of its last shared part, or of its only part.
func (r *Request) groupKey() uint64 {
	keys := r.PrefixKeys()
	if len(keys) == 0 {
		return 0
	}
	return keys[max(r.shared()-1, 0)]
}
