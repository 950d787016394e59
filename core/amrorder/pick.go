package amrorder

import (
	"maps"
	"math"
	"slices"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrrecord"
)

// PickVersion returns the version of the weights that serves requests of the
// seed, so that each version gets the share of the work that the backend
// servers holding it can do, and a seed stays with its version while that
// holds. When none is known to hold any version it goes by the record.
func PickVersion(versions []amrrecord.Version, held map[string]int, seed uint64) string {
	if len(held) == 0 {
		held = make(map[string]int, len(versions))
		for _, v := range versions {
			held[v.Weights] = max(v.Share, 0)
		}
	}
	best, bestScore := "", math.Inf(-1)
	for _, version := range slices.Sorted(maps.Keys(held)) {
		if score := weightedScore(version, held[version], seed); score > bestScore || best == "" {
			best, bestScore = version, score
		}
	}
	return best
}

// weightedScore is the score of weighted rendezvous hashing.
func weightedScore(name string, weight int, seed uint64) float64 {
	uniform := (float64(xxh3.HashStringSeed(name, seed)>>11) + 0.5) / (1 << 53)
	return -float64(weight) / math.Log(uniform)
}
