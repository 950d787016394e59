package amrsoak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSoak runs one short seed. The bounds of time are stretched, since tests of
// other packages run beside it.
func TestSoak(t *testing.T) {
	t.Parallel()
	const (
		seed    = 21 // Many kinds of faults in a short time.
		length  = 4 * time.Second
		stretch = 4
	)
	is := is.New(t)
	dir := t.TempDir()
	program, err := Build(t.Context(), dir, false)
	is.NoErr(err)
	soak := Soak{Program: program, Dir: dir, Seed: seed, Length: length, Size: Size{Routers: 2, Engines: 3, Services: 2}, Stretch: stretch}
	result, err := soak.Run(t.Context())
	is.NoErr(err)
	is.Equal(result.Findings, nil)
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
