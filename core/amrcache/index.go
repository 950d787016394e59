// Package amrcache maintains an index of the prompt blocks that an engine has
// cached.
//
// The index is updated from the cache events of the engine, which arrive late
// and with gaps, and from the prompts that the sidecar has had computed. It
// evicts blocks in least-recently-used order as the engine does, so that lost
// eviction events do not make it grow beyond the engine's capacity.
package amrcache

import (
	"encoding/binary"

	"amaranthreach.example/core/amrprompt"
)

// DefaultCapacity is the capacity of an index in blocks until SetCapacity is
// called with that of the engine.
const DefaultCapacity = 92_000

// Index is the set of blocks that one engine has cached. It is not safe for
// concurrent use.
type Index struct {
	capacity    int
	incarnation string
	seq         uint64 // Sequence number of the last event that was applied.
	lost        uint64 // Number of events that did not arrive.

	slots   []slot            // List in order of use; see slot.
	free    []uint32          // Unused slots.
	lookup  map[uint64]uint32 // Slots by short key.
	pending map[uint64]uint32 // By short key, the number of announced prompts that contain the block.
}

// Option configures an Index.
type Option func(*Index)

// WithCapacity sets the number of blocks that the engine can cache.
func WithCapacity(blocks int) Option {
	return func(x *Index) { x.SetCapacity(blocks) }
}

// New returns an empty index.
func New(opts ...Option) *Index {
	x := &Index{capacity: DefaultCapacity, pending: make(map[uint64]uint32)}
	x.clear()
	for _, o := range opts {
		o(x)
	}
	return x
}

// EventKind is the kind of a cache event.
type EventKind string

// The kinds of events.
const (
	Stored  EventKind = "stored"
	Evicted EventKind = "evicted"
	Cleared EventKind = "cleared" // The engine has evicted all blocks.
)

// Event is one cache event of an engine.
type Event struct {
	Seq  uint64 // Sequence number within the incarnation, from 1.
	Kind EventKind
	Key  amrprompt.Key // Block that was stored or evicted.
}

// SetCapacity sets the number of blocks that the engine can cache, and evicts
// excess blocks. Values below 1 are ignored.
func (x *Index) SetCapacity(blocks int) {
	if blocks < 1 {
		return
	}
	x.capacity = blocks
	x.evictExcess()
}

// Apply applies cache events of an incarnation of the engine. Events that have
// already been applied are ignored. If the incarnation differs from the last known
// one, the index is emptied first.
func (x *Index) Apply(incarnation string, events []Event) {
	x.SetIncarnation(incarnation)
	for _, e := range events {
		if e.Seq <= x.seq {
			continue
		}
		x.lost += e.Seq - x.seq - 1
		x.seq = e.Seq
		x.apply(e)
	}
}

// SetIncarnation sets the incarnation of the engine. If it differs from the last
// known one, the index is emptied, because a restarted engine has nothing cached.
// The first incarnation that becomes known does not empty the index.
func (x *Index) SetIncarnation(incarnation string) {
	if incarnation == x.incarnation {
		return
	}
	if x.incarnation != "" {
		x.clear()
		clear(x.pending)
	}
	x.incarnation = incarnation
	x.seq = 0
}

// Depth returns the number of leading blocks of the prompt that are cached.
func (x *Index) Depth(keys []amrprompt.Key) int {
	for i, k := range keys {
		if _, ok := x.lookup[shortKey(k)]; !ok {
			return i
		}
	}
	return len(keys)
}

// ExpectedDepth returns the number of leading blocks of the prompt that are
// cached, or will be cached once the prompts announced by Expect have been
// computed.
func (x *Index) ExpectedDepth(keys []amrprompt.Key) int {
	for i, k := range keys {
		key := shortKey(k)
		if _, ok := x.lookup[key]; ok {
			continue
		}
		if x.pending[key] == 0 {
			return i
		}
	}
	return len(keys)
}

// Expect announces that the prompt will be computed. A call of MarkComputed
// or CancelExpected with the same keys must follow.
func (x *Index) Expect(keys []amrprompt.Key) {
	for _, k := range keys {
		x.pending[shortKey(k)]++
	}
}

// CancelExpected withdraws the announcement of a prompt.
func (x *Index) CancelExpected(keys []amrprompt.Key) {
	for _, k := range keys {
		key := shortKey(k)
		if x.pending[key] <= 1 {
			delete(x.pending, key)
			continue
		}
		x.pending[key]--
	}
}

// MarkComputed records that an announced prompt has been computed. All its
// blocks are then assumed to be cached.
func (x *Index) MarkComputed(keys []amrprompt.Key) {
	x.CancelExpected(keys)
	x.touchAll(keys)
}

// Reconcile corrects the index by the number of leading blocks that the engine
// found cached when it received a prompt. If the engine has not computed the
// other blocks since then, they are removed from the index.
func (x *Index) Reconcile(keys []amrprompt.Key, cached int, computed bool) {
	if computed {
		cached = len(keys)
	}
	cached = min(cached, len(keys))
	for _, k := range keys[cached:] {
		x.evict(shortKey(k))
	}
	x.touchAll(keys[:cached])
}

// Latest returns at most n blocks, the most recently used one first. Each block
// is given as the first 8 bytes of its key, as a little-endian number.
func (x *Index) Latest(n int) []uint64 {
	blocks := make([]uint64, 0, min(n, len(x.lookup)))
	for i := x.slots[sentinel].next; i != sentinel && len(blocks) < n; i = x.slots[i].next {
		blocks = append(blocks, x.slots[i].key)
	}
	return blocks
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int {
	return len(x.lookup)
}

// LostEvents returns the number of events that did not arrive, as far as gaps in
// the sequence numbers show.
func (x *Index) LostEvents() uint64 {
	return x.lost
}

// Seq returns the sequence number of the last event that was applied.
func (x *Index) Seq() uint64 {
	return x.seq
}

// Incarnation returns the incarnation of the engine whose blocks the index
// contains.
func (x *Index) Incarnation() string {
	return x.incarnation
}

func (x *Index) apply(e Event) {
	switch e.Kind {
	case Stored:
		x.touch(shortKey(e.Key))
		x.evictExcess()
	case Evicted:
		x.evict(shortKey(e.Key))
	case Cleared:
		x.clear()
	}
}

// touchAll marks the blocks of a prompt as used and adds those that are missing.
// It goes from the last to the first block, so that the end of a prompt is
// evicted before its beginning.
func (x *Index) touchAll(keys []amrprompt.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		x.touch(shortKey(keys[i]))
	}
	x.evictExcess()
}

// shortKey returns the first 8 bytes of the key, by which the index identifies a
// block to save memory. The probability that any two of a hundred thousand blocks
// have the same short key is below one in a billion. A collision only makes an
// estimate wrong, because the engine compares complete keys.
func shortKey(k amrprompt.Key) uint64 {
	return binary.LittleEndian.Uint64(k[:])
}
