package amrdirect

import (
	"testing"

	"github.com/matryer/is"
)

// TestUnitsPerLoad checks how many engines of a pool load weights at the same
// time: a fifth of them, so that a rollout in a large pool takes no longer than
// in a small one, but at least three.
func TestUnitsPerLoad(t *testing.T) {
	is := is.New(t)
	for engines, loads := range map[int]int64{1: 3, 12: 3, 42: 8, 50: 10, 200: 40} {
		is.Equal(loadCapacity/unitsPerLoad(engines), loads)
	}
}
