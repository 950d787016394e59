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

// TestFaultScenarios replays a recorded trace with each list of faults in
// ../testdata/faults. It checks against the logs of the engines that no request
// is lost, that no non-idempotent request runs twice, and that no refusal
// claims that a request did not run although it did.
func TestFaultScenarios(t *testing.T) {
	t.Parallel()
	const (
		length           = 4 * time.Second
		timeScale        = 2
		keepOneIn        = 3   // One in this many idempotent requests is kept.
		minAnsweredShare = 0.9 // At least this fraction of the requests must be answered.
	)
	requests := recordedRequests(t, amrtrace.Mandacaru, 0, length)
	i := 0
	// The scenarios run in parallel, so each must put little load on the
	// machine.
	requests = slices.DeleteFunc(requests, func(r amrtrace.Request) bool {
		i++
		return !r.NonIdempotent && i%keepOneIn != 0
	})
	files, err := filepath.Glob("../testdata/faults/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no fault scenarios found", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".yaml"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			faults, err := ReadFaults(file)
			is.NoErr(err)
			r := runLenient(t, New(requests, WithRouters(3), WithTimeScale(timeScale), WithFaults(faults)), "cache-aware")
			t.Logf("answered %d, refused %v, lost %+v, doubled %d", r.Answered, r.Details.Refusals, r.Details.FailureCounts, r.DuplicateRuns)
			is.Equal(r.Requests, len(requests))
			is.Equal(r.Answered+r.Refused, len(requests))
			is.Equal(r.Lost, 0)
			is.Equal(r.DuplicateRuns, 0)
			is.Equal(r.Details.FailureCounts.Wrong, 0)
			is.True(float64(r.Answered) >= minAnsweredShare*float64(r.Requests))
		})
	}
}

func TestRandomFaultsAreDeterministic(t *testing.T) {
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
	is.Equal(len(seen), len(faultKinds)) // Every kind of fault occurs.
}
