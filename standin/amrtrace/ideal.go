package amrtrace

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthreach.example/core/amrprompt"
)

// IdealResult holds the measurements of a single cache that all requests of a
// trace share.
type IdealResult struct {
	PromptTokens int
	CachedTokens int
	// DistinctBlocks counts the distinct blocks of all requests, including
	// those before the measured period.
	DistinctBlocks int
}

// HitRate returns the fraction of prompt tokens that were cached, or 0 if there
// were no prompt tokens.
func (i IdealResult) HitRate() float64 {
	if i.PromptTokens == 0 {
		return 0
	}
	return float64(i.CachedTokens) / float64(i.PromptTokens)
}

// SimulateIdealCache simulates a single LRU cache of the given number of blocks
// that all requests share. It measures the requests that arrive at or after
// from; earlier requests only fill the cache.
func SimulateIdealCache(requests []Request, blocks int, from time.Duration) IdealResult {
	return simulateCache(requests, promptKeys(requests), blocks, from)
}

// CountDistinctBlocks returns the number of distinct blocks in the prompts of
// the requests.
func CountDistinctBlocks(requests []Request) int {
	seen := make(map[amrprompt.Key]struct{})
	for _, keys := range promptKeys(requests) {
		for _, k := range keys {
			seen[k] = struct{}{}
		}
	}
	return len(seen)
}

// promptKeys returns the block keys of the prompt of each request. It computes
// the keys only once for all requests with the same path whose suffixes do not
// complete a block, since only full blocks have keys.
func promptKeys(requests []Request) [][]amrprompt.Key {
	keys := make([][]amrprompt.Key, len(requests))
	keysByPath := make(map[string][]amrprompt.Key)
	for i, r := range requests {
		prefix := r.PromptTokens() - r.SuffixTokens
		if prefix%amrprompt.TokensPerBlock+r.SuffixTokens >= amrprompt.TokensPerBlock {
			keys[i] = r.Keys("")
			continue
		}
		path := r.path()
		if keysByPath[path] == nil {
			keysByPath[path] = r.Keys("")
		}
		keys[i] = keysByPath[path]
	}
	return keys
}

// simulateCache implements SimulateIdealCache. The keys are those that
// promptKeys returns for the requests.
func simulateCache(requests []Request, keys [][]amrprompt.Key, blocks int, from time.Duration) IdealResult {
	cache, err := lru.NewLRU[amrprompt.Key, struct{}](max(1, blocks), nil)
	if err != nil {
		panic(err) // NewLRU fails only if the size is not positive.
	}
	seen := make(map[amrprompt.Key]struct{})
	var ideal IdealResult
	for i, r := range requests {
		cachedBlocks := 0
		for cachedBlocks < len(keys[i]) && cache.Contains(keys[i][cachedBlocks]) {
			cachedBlocks++
		}
		// The last block is added first, so that the blocks at the end of a
		// prompt are evicted before those at its start, without which they
		// are of no use.
		for d := len(keys[i]) - 1; d >= 0; d-- {
			cache.Add(keys[i][d], struct{}{})
			seen[keys[i][d]] = struct{}{}
		}
		if r.At >= from {
			ideal.PromptTokens += r.PromptTokens()
			ideal.CachedTokens += min(cachedBlocks*amrprompt.TokensPerBlock, r.PromptTokens())
		}
	}
	ideal.DistinctBlocks = len(seen)
	return ideal
}
