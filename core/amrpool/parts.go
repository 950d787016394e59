package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"
)

// maxCachedParts is the maximum number of parts recorded for one backend server.
const maxCachedParts = 1024

// Part is a segment of a prompt. Prompts that begin with the same parts can
// share cached computation for these parts.
type Part struct {
	ID     string // Identifies the content of the part.
	Tokens int
}

// PrefixKeys returns a key for each part that identifies the model, the scope and
// the sequence of all parts up to and including it. The scope separates parts that
// must not be shared. Keys have 32 bits, because routers send them to each other: a
// collision only lets a router expect a part where it is not.
func PrefixKeys(model, scope string, parts []Part) []uint64 {
	seed := xxh3.HashString(model + "\x00" + scope)
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		seed = xxh3.HashStringSeed(p.ID, seed)
		keys[i] = uint64(uint32(seed))
	}
	return keys
}

// partCache records which prompt parts a backend server probably has in its
// cache.
type partCache struct {
	lru       *simplelru.LRU[uint64, cachedPart]
	tokens    int
	maxTokens int // Memory of the server; 0 if unknown.
}

// cachedPart is a part in a partCache.
type cachedPart struct {
	tokens int
	usedAt time.Time
}

// newPartCache returns an empty cache of a server with memory for maxTokens
// tokens. If maxTokens is 0, the number of tokens is not limited.
func newPartCache(maxTokens int) *partCache {
	c := &partCache{maxTokens: maxTokens}
	lru, err := simplelru.NewLRU(maxCachedParts, func(_ uint64, p cachedPart) { c.tokens -= p.tokens })
	if err != nil {
		panic(err) // Happens only for a size that is not positive.
	}
	c.lru = lru
	return c
}

// clear removes all parts.
func (c *partCache) clear() {
	c.lru.Purge()
}

// recentDepth returns the number of leading parts that were used at or after
// the given time.
func (c *partCache) recentDepth(after time.Time, keys []uint64) int {
	for i, key := range keys {
		if p, ok := c.lru.Peek(key); !ok || p.usedAt.Before(after) {
			return i
		}
	}
	return len(keys)
}

// add records that the server processed or used the parts. It records the
// leading parts last, so that they are evicted last.
func (c *partCache) add(now time.Time, keys []uint64, parts []Part) {
	for i := len(keys) - 1; i >= 0; i-- {
		c.use(now, keys[i], parts[i].Tokens)
	}
}

// use records that the server processed or used the part, and evicts the least
// recently used parts that exceed the server's memory.
func (c *partCache) use(now time.Time, key uint64, tokens int) {
	if old, ok := c.lru.Peek(key); ok {
		c.tokens -= old.tokens
	}
	c.lru.Add(key, cachedPart{tokens: tokens, usedAt: now})
	c.tokens += tokens
	for c.maxTokens > 0 && c.tokens > c.maxTokens && c.lru.Len() > 0 {
		c.lru.RemoveOldest()
	}
}

// sumTokens returns the total number of tokens of the parts.
func sumTokens(parts []Part) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}
