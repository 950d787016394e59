package amrengine

import (
	"container/list"
	"sync"

	"amaranthreach.example/core/amrprompt"
)

// blockCache is the prefix cache of an engine: a set of block keys of which the
// least recently used one is evicted when the cache is full. Eviction does not
// affect running requests, which have their own copies of the blocks.
type blockCache struct {
	capacity  int
	blocks    map[amrprompt.Key]*list.Element // Elements of recent.
	recent    *list.List                      // Keys, the most recently used first.
	directory *Directory
	publish   func(eventKind, amrprompt.Key)
}

func newBlockCache(capacity int, directory *Directory, publish func(eventKind, amrprompt.Key)) *blockCache {
	return &blockCache{
		capacity:  max(1, capacity),
		blocks:    make(map[amrprompt.Key]*list.Element),
		recent:    list.New(),
		directory: directory,
		publish:   publish,
	}
}

// prefixBlocks returns the number of leading keys whose blocks are cached.
func (c *blockCache) prefixBlocks(keys []amrprompt.Key) int {
	for i, k := range keys {
		if c.blocks[k] == nil {
			return i
		}
	}
	return len(keys)
}

// touch marks the leading cached blocks as used, the last of them first, so
// that a block is evicted before those that precede it in the prompt.
func (c *blockCache) touch(keys []amrprompt.Key) {
	for i := c.prefixBlocks(keys) - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.blocks[keys[i]])
	}
}

// store adds the blocks that are not cached yet and calls touch.
func (c *blockCache) store(keys []amrprompt.Key) {
	for _, k := range keys {
		if c.blocks[k] == nil {
			c.add(k)
		}
	}
	c.touch(keys)
}

func (c *blockCache) add(k amrprompt.Key) {
	if len(c.blocks) >= c.capacity {
		c.evict()
	}
	c.blocks[k] = c.recent.PushFront(k)
	c.directory.add(k)
	c.publish(eventStored, k)
}

func (c *blockCache) evict() {
	k := c.recent.Remove(c.recent.Back()).(amrprompt.Key)
	delete(c.blocks, k)
	c.directory.remove(k)
	c.publish(eventEvicted, k)
}

// clear removes all blocks.
func (c *blockCache) clear() {
	for k := range c.blocks {
		c.directory.remove(k)
	}
	clear(c.blocks)
	c.recent.Init()
	c.publish(eventCleared, amrprompt.Key{})
}

// Directory records which blocks the engines that share it have in their
// caches, so that an engine can count the tokens that it computes needlessly.
// It is safe for concurrent use.
type Directory struct {
	mu           sync.Mutex
	engineCounts map[amrprompt.Key]int      // Number of engines that have the block in their cache.
	everCached   map[amrprompt.Key]struct{} // Blocks that an engine has, or had, in its cache.
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{engineCounts: make(map[amrprompt.Key]int), everCached: make(map[amrprompt.Key]struct{})}
}

// add records that an engine has cached the block. It does nothing if d is nil.
func (d *Directory) add(k amrprompt.Key) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engineCounts[k]++
	d.everCached[k] = struct{}{}
}

// remove records that an engine no longer caches the block. It does nothing if
// d is nil.
func (d *Directory) remove(k amrprompt.Key) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engineCounts[k]--; d.engineCounts[k] <= 0 {
		delete(d.engineCounts, k)
	}
}

// overlap returns the number of tokens of the blocks that some engine has in
// its cache, and of those that some engine has, or had, in its cache. Both are
// 0 if d is nil.
func (d *Directory) overlap(keys []amrprompt.Key) (cachedTokens, everCachedTokens int) {
	if d == nil {
		return 0, 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range keys {
		if d.engineCounts[k] > 0 {
			cachedTokens += amrprompt.TokensPerBlock
		}
		if _, ok := d.everCached[k]; ok {
			everCachedTokens += amrprompt.TokensPerBlock
		}
	}
	return cachedTokens, everCachedTokens
}
