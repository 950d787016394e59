package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"
)

const (
	// maxParts bounds the parts that a router remembers of one backend server.
	maxParts = 1024

	// fillTime is the time over which memory that is taken by parts of no
	// interest is counted as one part.
	fillTime = 100 * time.Millisecond
)

// Part is one part of a prompt. Requests share leading parts.
type Part struct {
	ID     string
	Tokens int
}

// chain returns a key for each part that stands for it and all parts before
// it. Equal chains under one seed have equal keys.
func chain(seed uint64, parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		seed = xxh3.HashStringSeed(p.ID, seed)
		keys[i] = seed
	}
	return keys
}

// partCache remembers which parts a backend server is likely to have cached.
type partCache struct {
	lru    *simplelru.LRU[uint64, cachedPart]
	tokens int
	bound  int
}

type cachedPart struct {
	tokens int
	usedAt time.Time
}

func newPartCache(bound int) *partCache {
	c := &partCache{bound: bound}
	lru, err := simplelru.NewLRU(maxParts, func(_ uint64, p cachedPart) { c.tokens -= p.tokens })
	if err != nil {
		panic(err) // Only for a size below one.
	}
	c.lru = lru
	return c
}

func (c *partCache) clear() {
	c.lru.Purge()
}

// freshDepth returns how many leading parts were used after the time.
func (c *partCache) freshDepth(after time.Time, keys []uint64) int {
	for i, key := range keys {
		if p, ok := c.lru.Peek(key); !ok || p.usedAt.Before(after) {
			return i
		}
	}
	return len(keys)
}

// add notes that the parts were read or used.
func (c *partCache) add(now time.Time, keys []uint64, parts []Part) {
	for i := len(keys) - 1; i >= 0; i-- {
		c.use(now, keys[i], parts[i].Tokens)
	}
}

// use notes that the part was read or used.
func (c *partCache) use(now time.Time, key uint64, tokens int) {
	if old, ok := c.lru.Peek(key); ok {
		c.tokens -= old.tokens
	}
	c.lru.Add(key, cachedPart{tokens: tokens, usedAt: now})
	c.tokens += tokens
	for c.bound > 0 && c.tokens > c.bound && c.lru.Len() > 0 {
		c.lru.RemoveOldest()
	}
}

// fill notes that parts which no other request asks for took so many tokens of
// memory. They make the engine evict parts that were used before.
func (c *partCache) fill(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	key := uint64(now.UnixNano() / int64(fillTime)) // No hash of a part is likely to be the same.
	if old, ok := c.lru.Peek(key); ok {
		tokens += old.tokens
	}
	c.use(now, key, tokens)
}

func tokensOf(parts []Part) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}
