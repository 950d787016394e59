package amrdirect

import (
	"testing"

	"github.com/matryer/is"
)

// TestLoadPart checks how many engines of a pool load at once: a fifth, so that
// a large pool comes to new weights as soon as a small one.
func TestLoadPart(t *testing.T) {
	is := is.New(t)
	for engines, loads := range map[int]int64{1: 3, 12: 3, 42: 8, 50: 10, 200: 40} {
		is.Equal(loadUnits/loadPart(engines), loads)
	}
}
