package amrreplay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrtrace"
)

// TestCacheAwareOutperformsLeastLoaded checks on the recorded traces that the
// cache-aware policy has a higher hit rate and fewer wasted tokens than the
// least-loaded policy, even though all caches start empty. It does not compare
// latencies, which are reliable only on an idle machine.
func TestCacheAwareOutperformsLeastLoaded(t *testing.T) {
	// The slow replay gives routers on a busy machine time to learn the
	// contents of the caches.
	const timeScale = 0.4
	for _, workload := range []string{amrtrace.Mandacaru, amrtrace.Ledoslik} {
		t.Run(workload, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			requests := recordedRequests(t, workload, 0, 1700*ms)
			blocks := defaultCacheBlocks(recordedRequests(t, workload, 0, time.Hour), defaultEngines)
			replay := New(requests, WithCacheBlocks(blocks), WithTimeScale(timeScale))
			ideal, err := replay.Run(t.Context(), PolicyIdeal)
			is.NoErr(err)
			var cacheAware, leastLoaded Result
			var group errgroup.Group
			group.Go(func() error { cacheAware = runLenient(t, replay, string(amrrecord.PolicyCacheAware)); return nil })
			group.Go(func() error { leastLoaded = runLenient(t, replay, string(amrrecord.PolicyLeastLoaded)); return nil })
			is.NoErr(group.Wait())
			for _, r := range []Result{cacheAware, leastLoaded} {
				is.Equal(r.Answered, len(requests))
				is.Equal(r.Lost, 0)
				is.Equal(r.DuplicateRuns, 0)
				// Twelve separate caches may keep blocks that a
				// shared one evicts.
				is.True(r.HitRate <= ideal.HitRate+0.01)
			}
			t.Logf("cache-aware: hit rate %.3f, wasted %d, TTFT p99 %v; least-loaded: %.3f, %d, %v", cacheAware.HitRate, cacheAware.WastedTokens, cacheAware.TTFT99, leastLoaded.HitRate, leastLoaded.WastedTokens, leastLoaded.TTFT99)
			is.True(cacheAware.HitRate > leastLoaded.HitRate)
			is.True(cacheAware.WastedTokens < leastLoaded.WastedTokens)
		})
	}
}
