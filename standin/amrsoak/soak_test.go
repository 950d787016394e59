package amrsoak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSoak runs one short soak test. Its time limits are extended, because tests of
// other packages run at the same time.
func TestSoak(t *testing.T) {
	t.Parallel()
	const (
		seed    = 21 // Selects many kinds of faults within the short duration.
		length  = 4 * time.Second
		stretch = 4
	)
	is := is.New(t)
	dir := t.TempDir()
	program, err := Build(t.Context(), dir, false)
	is.NoErr(err)
	soak := Soak{Program: program, Dir: dir, Seed: seed, Length: length, Size: Size{Routers: 2, Engines: 3, Services: 2}, TimeLimitFactor: stretch}
	result, err := soak.Run(t.Context())
	is.NoErr(err)
	is.Equal(result.Violations, nil)
	is.True(result.Answered > 0)
}

func TestRegressions(t *testing.T) {
	is := is.New(t)
	known, err := Regressions()
	is.NoErr(err)
	seen := make(map[uint64]bool)
	for _, r := range known {
		is.True(r.Cause != "")
		is.True(!seen[r.Seed])
		seen[r.Seed] = true
	}
}
