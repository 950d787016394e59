package amrengine

import (
	"container/list"
	"sync"

	"amaranthreach.example/core/amrprompt"
)

// blockCache holds blocks under their keys and evicts the least recently used
// one that no running request pins.
type blockCache struct {
	capacity  int
	blocks    map[amrprompt.Key]*block
	idle      *list.List // Keys of blocks that are not pinned, most recent first.
	directory *Directory
	publish   func(eventKind, amrprompt.Key)
}

type block struct {
	pins    int
	element *list.Element // Place in idle; nil while pinned.
}

func newBlockCache(capacity int, directory *Directory, publish func(eventKind, amrprompt.Key)) *blockCache {
	return &blockCache{
		capacity:  capacity,
		blocks:    make(map[amrprompt.Key]*block),
		idle:      list.New(),
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

// pin keeps the blocks from eviction until unpin.
func (c *blockCache) pin(keys []amrprompt.Key) {
	for _, k := range keys {
		b := c.blocks[k]
		if b.pins == 0 {
			c.idle.Remove(b.element)
			b.element = nil
		}
		b.pins++
	}
}

// unpin releases blocks. The deepest becomes the first to be evicted.
func (c *blockCache) unpin(keys []amrprompt.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		b := c.blocks[keys[i]]
		if b == nil {
			continue
		}
		b.pins--
		if b.pins == 0 {
			b.element = c.idle.PushFront(keys[i])
		}
	}
}

// store adds the blocks and pins them, as far as there is room. It returns the
// keys that are pinned.
func (c *blockCache) store(keys []amrprompt.Key) []amrprompt.Key {
	for i, k := range keys {
		if c.blocks[k] == nil && !c.add(k) {
			return keys[:i]
		}
		c.pin(keys[i : i+1])
	}
	return keys
}

func (c *blockCache) add(k amrprompt.Key) bool {
	if len(c.blocks) >= c.capacity && !c.evict() {
		return false
	}
	c.blocks[k] = &block{element: c.idle.PushFront(k)}
	c.directory.add(k)
	c.publish(eventStored, k)
	return true
}

func (c *blockCache) evict() bool {
	oldest := c.idle.Back()
	if oldest == nil {
		return false
	}
	k := c.idle.Remove(oldest).(amrprompt.Key)
	delete(c.blocks, k)
	c.directory.remove(k)
	c.publish(eventEvicted, k)
	return true
}

// clear drops every block, pinned ones too.
func (c *blockCache) clear() {
	for k := range c.blocks {
		c.directory.remove(k)
	}
	clear(c.blocks)
	c.idle.Init()
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
