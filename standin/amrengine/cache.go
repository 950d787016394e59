package amrengine

import (
	"container/list"
	"sync"

	"amaranthreach.example/core/amrprompt"
)

// blockCache holds blocks under their keys and evicts the least recently used
// one. A running request keeps what it uses in memory of its own.
type blockCache struct {
	capacity  int
	blocks    map[amrprompt.Key]*list.Element // Places in recent.
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

// depth returns how many of the keys, from the first on, are cached.
func (c *blockCache) depth(keys []amrprompt.Key) int {
	for i, k := range keys {
		if c.blocks[k] == nil {
			return i
		}
	}
	return len(keys)
}

// use makes the blocks the most recently used, the deepest of them least. It
// ends at the first one that is not cached.
func (c *blockCache) use(keys []amrprompt.Key) {
	for i := c.depth(keys) - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.blocks[keys[i]])
	}
}

// store adds the blocks that are not cached.
func (c *blockCache) store(keys []amrprompt.Key) {
	for _, k := range keys {
		if c.blocks[k] == nil {
			c.add(k)
		}
	}
	c.use(keys)
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

// clear drops every block.
func (c *blockCache) clear() {
	for k := range c.blocks {
		c.directory.remove(k)
	}
	clear(c.blocks)
	c.recent.Init()
	c.publish(eventCleared, amrprompt.Key{})
}

// Directory knows which blocks are cached by any of the engines that share it.
type Directory struct {
	mu      sync.Mutex
	holders map[amrprompt.Key]int
	seen    map[amrprompt.Key]struct{} // Blocks that were ever held.
}

// NewDirectory returns a directory without blocks.
func NewDirectory() *Directory {
	return &Directory{holders: make(map[amrprompt.Key]int), seen: make(map[amrprompt.Key]struct{})}
}

func (d *Directory) add(k amrprompt.Key) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holders[k]++
	d.seen[k] = struct{}{}
}

func (d *Directory) remove(k amrprompt.Key) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holders[k]--; d.holders[k] <= 0 {
		delete(d.holders, k)
	}
}

// tokens returns how many tokens of the blocks are held by some engine, and how
// many have been held before.
func (d *Directory) tokens(keys []amrprompt.Key) (held, repeated int) {
	if d == nil {
		return 0, 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range keys {
		if d.holders[k] > 0 {
			held += amrprompt.TokensPerBlock
		}
		if _, ok := d.seen[k]; ok {
			repeated += amrprompt.TokensPerBlock
		}
	}
	return held, repeated
}
