package amrcache

// slot is an element of a doubly linked list of blocks in order of use. The links
// are indices into Index.slots. The list is circular: the next element of its
// sentinel is the most recently used block, and the previous one the least
// recently used block.
type slot struct {
	key        uint64
	prev, next uint32
}

const sentinel = 0 // Index of the sentinel in Index.slots.

// clear removes all blocks.
func (x *Index) clear() {
	x.slots = append(x.slots[:0], slot{})
	x.free = x.free[:0]
	x.lookup = make(map[uint64]uint32)
}

// touch adds the block if it is missing, and makes it the most recently used one.
func (x *Index) touch(key uint64) {
	i, ok := x.lookup[key]
	if ok {
		x.unlink(i)
	} else {
		i = x.allocate(key)
		x.lookup[key] = i
	}
	x.pushFront(i)
}

// evict removes the block if the index contains it.
func (x *Index) evict(key uint64) {
	i, ok := x.lookup[key]
	if !ok {
		return
	}
	x.unlink(i)
	x.free = append(x.free, i)
	delete(x.lookup, key)
}

// evictExcess removes the least recently used blocks until the number of blocks
// does not exceed the capacity.
func (x *Index) evictExcess() {
	for len(x.lookup) > x.capacity {
		x.evict(x.slots[x.slots[sentinel].prev].key)
	}
}

// allocate returns the index of an unlinked slot for the block.
func (x *Index) allocate(key uint64) uint32 {
	if n := len(x.free); n > 0 {
		i := x.free[n-1]
		x.free = x.free[:n-1]
		x.slots[i].key = key
		return i
	}
	x.slots = append(x.slots, slot{key: key})
	return uint32(len(x.slots) - 1)
}

// pushFront inserts slot i at the front of the list.
func (x *Index) pushFront(i uint32) {
	first := x.slots[sentinel].next
	x.slots[i].prev, x.slots[i].next = sentinel, first
	x.slots[first].prev = i
	x.slots[sentinel].next = i
}

// unlink removes slot i from the list.
func (x *Index) unlink(i uint32) {
	s := x.slots[i]
	x.slots[s.prev].next = s.next
	x.slots[s.next].prev = s.prev
}
