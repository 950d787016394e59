package amrreplay

import (
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/standin/amrtrace"
)

// TestFaultScenarios plays a recorded trace through each scenario of
// ../testdata/faults. By the engines' own log no request may be lost, none that
// is not idempotent may run twice, and no refusal may be untrue.
func TestFaultScenarios(t *testing.T) {
	t.Parallel()
	const (
		length     = 4 * time.Second
		scale      = 2
		oneOf      = 3   // Requests are kept.
		leastShare = 0.9 // Of the requests that are answered.
	)
	requests := recorded(t, amrtrace.Mandacaru, 0, length)
	i := 0
	requests = slices.DeleteFunc(requests, func(r amrtrace.Request) bool { // Keeps the load of all scenarios at once low.
		i++
		return !r.Once && i%oneOf != 0
	})
	files, err := filepath.Glob("../testdata/faults/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".yaml"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			faults, err := ReadFaults(file)
			is.NoErr(err)
			r := runLate(t, New(requests, WithRouters(3), WithTimeScale(scale), WithFaults(faults)), "cache-aware")
			t.Logf("answered %d, refused %v, lost %+v, doubled %d", r.Answered, r.Details.Refusals, r.Details.Causes, r.Doubled)
			is.Equal(r.Requests, len(requests))
			is.Equal(r.Answered+r.Refused, len(requests))
			is.Equal(r.Lost, 0)
			is.Equal(r.Doubled, 0)
			is.Equal(r.Details.Causes.Wrong, 0)
			is.True(float64(r.Answered) >= leastShare*float64(r.Requests))
		})
	}
}

func TestRandomFaultsFollowTheSeed(t *testing.T) {
	is := is.New(t)
	draw := func(seed uint64) Faults {
		return randomFaults(rand.New(rand.NewPCG(seed, seed)), time.Hour, 12, 3)
	}
	faults := draw(1)
	is.Equal(faults, draw(1))
	is.NoErr(faults.Check())
	is.NoErr(faults.checkTargets(12, 3))
	seen := make(map[FaultKind]bool)
	for _, f := range faults {
		seen[f.Kind] = true
	}
	is.Equal(len(seen), len(faultKinds)) // Every kind comes.
}
