package amrorder

import (
	"maps"
	"math"
	"slices"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrrecord"
)

// PickVersion returns the weights version that serves the requests with the
// seed, chosen by weighted rendezvous hashing. held gives the number of backend
// servers that hold each version, so that a version gets a share of the
// requests in proportion to them. When the numbers change, only as many seeds
// move to another version as the new shares require. If held is empty, the
// shares in versions are used instead. If both are empty, PickVersion returns
// an empty string.
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

// weightedScore returns the score of the name in weighted rendezvous hashing:
// the name with the highest score is chosen.
func weightedScore(name string, weight int, seed uint64) float64 {
	uniform := (float64(xxh3.HashStringSeed(name, seed)>>11) + 0.5) / (1 << 53)
	return -float64(weight) / math.Log(uniform)
}
