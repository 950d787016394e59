// Package amrcache keeps the index of the blocks that one engine has cached.
//
// The index is fed by the engine's cache events, which come late and with
// gaps, and by what the sidecar has run itself. It mirrors the engine's
// least-recently-used order, so that lost eviction events do not make it grow
// beyond the engine's capacity.
package amrcache

import (
	"encoding/binary"

	"amaranthreach.example/core/amrprompt"
)

// DefaultCapacity is the capacity of an index, in blocks, until the engine
// has told its own.
const DefaultCapacity = 92_000

// Index is the set of blocks of one engine. It is not safe for concurrent use.
type Index struct {
	capacity    int
	incarnation string
	seq         uint64
	missed      uint64

	slots   []slot
	free    []uint32
	lookup  map[uint64]uint32
	pending map[uint64]uint32 // Prompts about to compute the block.
}

// Option configures an Index.
type Option func(*Index)

// WithCapacity sets the number of blocks that the engine can hold.
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

// EventKind says what happened to a block.
type EventKind string

// The kinds of events.
const (
	Stored  EventKind = "stored"
	Evicted EventKind = "evicted"
	Cleared EventKind = "cleared"
)

// Event is one cache event of the engine.
type Event struct {
	Seq  uint64
	Kind EventKind
	Key  amrprompt.Key
}

// SetCapacity sets the number of blocks that the engine can hold. Values
// below 1 are ignored.
func (x *Index) SetCapacity(blocks int) {
	if blocks < 1 {
		return
	}
	x.capacity = blocks
	x.trim()
}

// Apply takes cache events of an incarnation of the engine. Events that were
// applied before are ignored; a new incarnation empties the index.
func (x *Index) Apply(incarnation string, events []Event) {
	x.Restarted(incarnation)
	for _, e := range events {
		if e.Seq <= x.seq {
			continue
		}
		x.missed += e.Seq - x.seq - 1
		x.seq = e.Seq
		x.apply(e)
	}
}

// Restarted empties the index unless the incarnation is the one it holds the
// blocks of.
func (x *Index) Restarted(incarnation string) {
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

// Depth returns how many leading blocks of the prompt are cached.
func (x *Index) Depth(keys []amrprompt.Key) int {
	for i, k := range keys {
		if _, ok := x.lookup[short(k)]; !ok {
			return i
		}
	}
	return len(keys)
}

// ExpectedDepth returns how many leading blocks of the prompt are cached or
// will be once the prompts announced by Expect have been computed.
func (x *Index) ExpectedDepth(keys []amrprompt.Key) int {
	for i, k := range keys {
		id := short(k)
		if _, ok := x.lookup[id]; ok {
			continue
		}
		if x.pending[id] == 0 {
			return i
		}
	}
	return len(keys)
}

// Expect announces that the prompt will be computed. A call of Computed or
// Abandoned for the same keys must follow.
func (x *Index) Expect(keys []amrprompt.Key) {
	for _, k := range keys {
		x.pending[short(k)]++
	}
}

// Abandoned takes back an announcement.
func (x *Index) Abandoned(keys []amrprompt.Key) {
	for _, k := range keys {
		id := short(k)
		if x.pending[id] <= 1 {
			delete(x.pending, id)
			continue
		}
		x.pending[id]--
	}
}

// Computed notes that the announced prompt has been computed: all its blocks
// are assumed to be cached.
func (x *Index) Computed(keys []amrprompt.Key) {
	x.Abandoned(keys)
	x.hold(keys)
}

// Observed takes the number of leading blocks that the engine found cached
// for a prompt. The blocks behind them are dropped unless the engine has
// computed them since.
func (x *Index) Observed(keys []amrprompt.Key, cached int, computed bool) {
	if computed {
		cached = len(keys)
	}
	cached = min(cached, len(keys))
	for _, k := range keys[cached:] {
		x.drop(short(k))
	}
	x.hold(keys[:cached])
}

// Latest returns at most n blocks, the one used last at the front, by the
// first 8 bytes of their keys in little-endian order.
func (x *Index) Latest(n int) []uint64 {
	blocks := make([]uint64, 0, min(n, len(x.lookup)))
	for i := x.slots[sentinel].next; i != sentinel && len(blocks) < n; i = x.slots[i].next {
		blocks = append(blocks, x.slots[i].id)
	}
	return blocks
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int {
	return len(x.lookup)
}

// Missed returns the number of events that were lost.
func (x *Index) Missed() uint64 {
	return x.missed
}

// Seq returns the number of the last event that was applied.
func (x *Index) Seq() uint64 {
	return x.seq
}

// Incarnation returns the incarnation of the engine whose blocks the index
// holds.
func (x *Index) Incarnation() string {
	return x.incarnation
}

func (x *Index) apply(e Event) {
	switch e.Kind {
	case Stored:
		x.touch(short(e.Key))
		x.trim()
	case Evicted:
		x.drop(short(e.Key))
	case Cleared:
		x.clear()
	}
}

// hold marks the blocks as used, the first one last, so that a prompt's end
// leaves the index before its beginning.
func (x *Index) hold(keys []amrprompt.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		x.touch(short(keys[i]))
	}
	x.trim()
}

// short returns the part of the key that the index keeps. Two of a hundred
// thousand blocks share it with a probability below one in a billion, and
// then only an estimate is wrong: the engine compares whole keys.
func short(k amrprompt.Key) uint64 {
	return binary.LittleEndian.Uint64(k[:])
}
