package amrcache

// slot is an element of the doubly linked list of blocks in order of use.
// Slot 0 is the list's sentinel: its next is the most recently used block.
type slot struct {
	id         uint64
	prev, next uint32
}

const sentinel = 0 // Slot of the list's sentinel.

func (x *Index) clear() {
	x.slots = append(x.slots[:0], slot{})
	x.free = x.free[:0]
	x.lookup = make(map[uint64]uint32)
}

// touch adds the block, or moves it to the front of the order of use.
func (x *Index) touch(id uint64) {
	i, ok := x.lookup[id]
	if ok {
		x.unlink(i)
	} else {
		i = x.allocate(id)
		x.lookup[id] = i
	}
	x.link(i)
}

func (x *Index) drop(id uint64) {
	i, ok := x.lookup[id]
	if !ok {
		return
	}
	x.unlink(i)
	x.free = append(x.free, i)
	delete(x.lookup, id)
}

// trim drops the least recently used blocks beyond the capacity.
func (x *Index) trim() {
	for len(x.lookup) > x.capacity {
		x.drop(x.slots[x.slots[sentinel].prev].id)
	}
}

func (x *Index) allocate(id uint64) uint32 {
	if n := len(x.free); n > 0 {
		i := x.free[n-1]
		x.free = x.free[:n-1]
		x.slots[i].id = id
		return i
	}
	x.slots = append(x.slots, slot{id: id})
	return uint32(len(x.slots) - 1)
}

func (x *Index) link(i uint32) {
	first := x.slots[sentinel].next
	x.slots[i].prev, x.slots[i].next = sentinel, first
	x.slots[first].prev = i
	x.slots[sentinel].next = i
}

func (x *Index) unlink(i uint32) {
	s := x.slots[i]
	x.slots[s.prev].next = s.next
	x.slots[s.next].prev = s.prev
}
