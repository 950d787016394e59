package amrcache

import "amaranthreach.example/core/amrprompt"

const (
	// journalSize is the number of stored blocks that a journal remembers.
	journalSize = 4096

	// initialBacklog is the number of the latest blocks that a new reader gets.
	initialBacklog = 1024

	// maxReaders is the number of readers whose position a journal remembers.
	maxReaders = 1024
)

// Journal is a log of recently stored blocks that several readers follow. Each
// reader gets all blocks except those that it caused to be stored. A reader that
// falls more than journalSize blocks behind misses the oldest ones. The zero
// value is an empty journal. Journal is not safe for concurrent use.
type Journal struct {
	entries []journalEntry    // Ring buffer of at most journalSize entries.
	next    uint64            // Sequence number of the next entry.
	readers map[string]uint64 // By reader, the sequence number of the next entry to read.
}

type journalEntry struct {
	block  uint64 // Short key.
	origin string // Reader that caused the block to be stored.
}

// Add records that the blocks were stored because of the reader origin.
func (j *Journal) Add(origin string, keys []amrprompt.Key) {
	for _, k := range keys {
		entry := journalEntry{block: shortKey(k), origin: origin}
		if len(j.entries) < journalSize {
			j.entries = append(j.entries, entry)
		} else {
			j.entries[j.next%journalSize] = entry
		}
		j.next++
	}
}

// Read returns at most limit blocks that the reader has not got yet and has not
// caused to be stored itself. A new reader begins with the latest blocks. Each
// block is given as the first 8 bytes of its key, as a little-endian number.
func (j *Journal) Read(reader string, limit int) []uint64 {
	if _, known := j.readers[reader]; !known {
		j.register(reader)
	}
	position := j.readers[reader]
	if j.next > journalSize {
		position = max(position, j.next-journalSize)
	}
	var blocks []uint64
	for ; position < j.next && len(blocks) < limit; position++ {
		if entry := j.entries[position%journalSize]; entry.origin != reader {
			blocks = append(blocks, entry.block)
		}
	}
	j.readers[reader] = position
	return blocks
}

// register adds a reader. If there are already maxReaders, it removes the one
// that is furthest behind.
func (j *Journal) register(reader string) {
	if j.readers == nil {
		j.readers = make(map[string]uint64)
	}
	if len(j.readers) >= maxReaders {
		slowest, lowest := "", j.next+1
		for name, position := range j.readers {
			if position < lowest || position == lowest && name < slowest {
				slowest, lowest = name, position
			}
		}
		delete(j.readers, slowest)
	}
	j.readers[reader] = max(j.next, initialBacklog) - initialBacklog
}
