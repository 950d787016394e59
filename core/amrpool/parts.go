package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"
)

const (
	// maxCachedParts is the maximum number of parts recorded for one backend
	// server.
	maxCachedParts = 1024

	// unsharedInterval is the interval in which all memory taken by unshared
	// parts is recorded as a single part.
	unsharedInterval = 100 * time.Millisecond
)

// Part is a segment of a prompt. Prompts that begin with the same parts can
// share cached computation for these parts.
type Part struct {
	ID     string // Identifies the content of the part.
	Tokens int
}

// prefixKeys returns a key for each part that identifies the sequence of all
// parts up to and including it. Equal sequences with an equal seed have equal
// keys.
func prefixKeys(seed uint64, parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	for i, p := range parts {
		seed = xxh3.HashStringSeed(p.ID, seed)
		keys[i] = seed
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

// addUnshared records that parts which no other request shares took the given
// number of tokens of the server's memory, for which the server evicts other
// parts.
func (c *partCache) addUnshared(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	key := uint64(now.UnixNano() / int64(unsharedInterval)) // A collision with the hash of a part is unlikely.
	if old, ok := c.lru.Peek(key); ok {
		tokens += old.tokens
	}
	c.use(now, key, tokens)
}

// sumTokens returns the total number of tokens of the parts.
func sumTokens(parts []Part) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}
