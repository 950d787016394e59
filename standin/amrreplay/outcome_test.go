package amrreplay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrtrace"
)

// TestOutcomes checks on the recorded traces what a policy that knows caches
// is for: it beats one that knows only loads in hit rate and waste, also while
// all caches are cold. Times are left to replays on a machine that has nothing
// else to do.
func TestOutcomes(t *testing.T) {
	const timeScale = 0.4 // Leaves a busy machine time to learn what caches hold.
	for _, workload := range []string{amrtrace.Mandacaru, amrtrace.Ledoslik} {
		t.Run(workload, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			requests := recorded(t, workload, 0, 1700*ms)
			blocks := defaultCacheBlocks(recorded(t, workload, 0, time.Hour), defaultEngines)
			replay := New(requests, WithCacheBlocks(blocks), WithTimeScale(timeScale))
			ideal, err := replay.Run(t.Context(), PolicyIdeal)
			is.NoErr(err)
			var aware, loaded Result
			var group errgroup.Group
			group.Go(func() error { aware = runLate(t, replay, string(amrrecord.PolicyCacheAware)); return nil })
			group.Go(func() error { loaded = runLate(t, replay, string(amrrecord.PolicyLeastLoaded)); return nil })
			is.NoErr(group.Wait())
			for _, r := range []Result{aware, loaded} {
				is.Equal(r.Answered, len(requests))
				is.Equal(r.Lost, 0)
				is.Equal(r.Doubled, 0)
				is.True(r.HitRate <= ideal.HitRate+0.01) // Twelve caches may keep what one evicts.
			}
			t.Logf("aware: hit rate %.3f, wasted %d, TTFT p99 %v; loaded: %.3f, %d, %v", aware.HitRate, aware.WastedTokens, aware.TTFT99, loaded.HitRate, loaded.WastedTokens, loaded.TTFT99)
			is.True(aware.HitRate > loaded.HitRate)
			is.True(aware.WastedTokens < loaded.WastedTokens)
		})
	}
}
