package amrtrace

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthreach.example/core/amrprompt"
)

// Ideal is what one cache of a size shared by all requests reaches on a trace.
type Ideal struct {
	PromptTokens   int
	CachedTokens   int
	DistinctBlocks int
}

// HitRate returns the share of prompt tokens that were cached.
func (i Ideal) HitRate() float64 {
	if i.PromptTokens == 0 {
		return 0
	}
	return float64(i.CachedTokens) / float64(i.PromptTokens)
}

// NewIdeal plays the requests that arrive from the given time on, after the
// earlier ones have filled a cache that evicts the least recently used of its
// blocks.
func NewIdeal(requests []Request, blocks int, from time.Duration) Ideal {
	return play(requests, allKeys(requests), blocks, from)
}

// DistinctBlocks returns the number of different blocks in the prompts.
func DistinctBlocks(requests []Request) int {
	seen := make(map[amrprompt.Key]struct{})
	for _, keys := range allKeys(requests) {
		for _, k := range keys {
			seen[k] = struct{}{}
		}
	}
	return len(seen)
}

// allKeys returns the keys of each request. Requests with the same prefix whose
// suffix fills no block share them.
func allKeys(requests []Request) [][]amrprompt.Key {
	keys := make([][]amrprompt.Key, len(requests))
	known := make(map[string][]amrprompt.Key)
	for i, r := range requests {
		prefix := r.PromptTokens() - r.SuffixTokens
		if prefix%amrprompt.TokensPerBlock+r.SuffixTokens >= amrprompt.TokensPerBlock {
			keys[i] = r.Keys("")
			continue
		}
		path := r.path()
		if known[path] == nil {
			known[path] = r.Keys("")
		}
		keys[i] = known[path]
	}
	return keys
}

func play(requests []Request, keys [][]amrprompt.Key, blocks int, from time.Duration) Ideal {
	cache, err := lru.NewLRU[amrprompt.Key, struct{}](max(1, blocks), nil)
	if err != nil {
		panic(err) // The size is positive.
	}
	seen := make(map[amrprompt.Key]struct{})
	var ideal Ideal
	for i, r := range requests {
		depth := 0
		for depth < len(keys[i]) && cache.Contains(keys[i][depth]) {
			depth++
		}
		for d := len(keys[i]) - 1; d >= 0; d-- {
			cache.Add(keys[i][d], struct{}{})
			seen[keys[i][d]] = struct{}{}
		}
		if r.At >= from {
			ideal.PromptTokens += r.PromptTokens()
			ideal.CachedTokens += min(depth*amrprompt.TokensPerBlock, r.PromptTokens())
		}
	}
	ideal.DistinctBlocks = len(seen)
	return ideal
}
