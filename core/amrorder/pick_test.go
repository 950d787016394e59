package amrorder

import (
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrrecord"
)

// TestPickVersionSharesWorkByHolders checks that each version gets requests in
// proportion to the backend servers that hold it, and that seeds do not move
// away from a version whose share grows.
func TestPickVersionSharesWorkByHolders(t *testing.T) {
	is := is.New(t)
	const seeds = 10_000
	versions := []amrrecord.Version{{Weights: "v2", Share: 100}}
	moved, newer := 0, 0
	for seed := range uint64(seeds) {
		before := PickVersion(versions, map[string]int{"v1": 9, "v2": 3}, seed)
		after := PickVersion(versions, map[string]int{"v1": 6, "v2": 6}, seed)
		if before == "v2" {
			newer++
			is.Equal(after, "v2") // A version whose share grows keeps its seeds.
		} else if after == "v2" {
			moved++
		}
	}
	is.True(newer > seeds/5 && newer < seeds*3/10)
	is.True(moved > seeds/5 && moved < seeds*3/10)
	is.Equal(PickVersion(versions, nil, 1), "v2") // Without known holders, the shares of the record count.
	is.Equal(PickVersion(nil, nil, 1), "")
}
