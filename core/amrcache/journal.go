package amrcache

import "amaranthreach.example/core/amrprompt"

const (
	// journalBlocks is how many stored blocks a journal remembers.
	journalBlocks = 4096

	// journalStart is how many of the latest blocks a new reader is told of.
	journalStart = 1024

	// journalReaders is how many readers a journal remembers.
	journalReaders = 1024
)

// Journal lists the blocks that were stored of late, so that each reader can
// be told of those that it did not cause itself. A reader that lags too far
// behind misses the oldest. The zero value is an empty journal.
type Journal struct {
	entries []journalEntry // A ring once it is full.
	next    uint64         // Number of the next entry.
	readers map[string]uint64
}

type journalEntry struct {
	block  uint64
	origin string
}

// Add notes that the blocks were stored because of the origin.
func (j *Journal) Add(origin string, keys []amrprompt.Key) {
	for _, k := range keys {
		e := journalEntry{block: short(k), origin: origin}
		if len(j.entries) < journalBlocks {
			j.entries = append(j.entries, e)
		} else {
			j.entries[j.next%journalBlocks] = e
		}
		j.next++
	}
}

// Read returns at most limit blocks, by the first 8 bytes of their keys, that
// the reader has not been told of and has not caused itself. A new reader is
// told of the latest.
func (j *Journal) Read(reader string, limit int) []uint64 {
	if _, known := j.readers[reader]; !known {
		j.register(reader)
	}
	at := j.readers[reader]
	if j.next > journalBlocks {
		at = max(at, j.next-journalBlocks)
	}
	var blocks []uint64
	for ; at < j.next && len(blocks) < limit; at++ {
		if e := j.entries[at%journalBlocks]; e.origin != reader {
			blocks = append(blocks, e.block)
		}
	}
	j.readers[reader] = at
	return blocks
}

// register adds a reader and forgets the one that lags most when there are
// too many.
func (j *Journal) register(reader string) {
	if j.readers == nil {
		j.readers = make(map[string]uint64)
	}
	if len(j.readers) >= journalReaders {
		last, oldest := "", j.next+1
		for name, at := range j.readers {
			if at < oldest || at == oldest && name < last {
				last, oldest = name, at
			}
		}
		delete(j.readers, last)
	}
	j.readers[reader] = max(j.next, journalStart) - journalStart
}
