package amrexplain

// buffer holds the newest decisions, and the decisions that have not been written to
// the object store yet. The number of each is limited; the oldest decisions are
// removed first. The buffer does no I/O and is not safe for concurrent use.
type buffer struct {
	recent  []Decision     // The newest decisions, as a circular buffer.
	next    int            // Index in recent of the next decision.
	byID    map[string]int // Indexes in recent by request id.
	pending []Decision     // Not written yet, the oldest first.
	limit   int            // Maximum length of pending.
	writing int            // Number of decisions, from the start of pending, that are being written.
	dropped uint64         // Number of decisions removed from pending because it was full.
}

// newBuffer returns a buffer that keeps the given numbers of recent decisions and of
// decisions that have not been written yet.
func newBuffer(recent, limit int) *buffer {
	return &buffer{recent: make([]Decision, 0, recent), byID: map[string]int{}, limit: limit}
}

// add adds a decision. If there are too many pending decisions, it drops the oldest.
func (b *buffer) add(d Decision) {
	if len(b.recent) < cap(b.recent) {
		b.recent = append(b.recent, d)
	} else {
		delete(b.byID, b.recent[b.next].RequestID)
		b.recent[b.next] = d
	}
	b.byID[d.RequestID] = b.next
	b.next = (b.next + 1) % cap(b.recent)

	if len(b.pending) >= b.limit {
		b.pending = b.pending[1:]
		b.writing = max(0, b.writing-1)
		b.dropped++
	}
	b.pending = append(b.pending, d)
}

// get returns the decision on the request with the id if it is among the newest, and
// reports whether it is.
func (b *buffer) get(id string) (Decision, bool) {
	i, ok := b.byID[id]
	if !ok {
		return Decision{}, false
	}
	return b.recent[i], true
}

// nextBatch returns the oldest pending decisions to write, at most n. They stay
// pending until endWrite is called.
func (b *buffer) nextBatch(n int) []Decision {
	b.writing = min(n, len(b.pending))
	return append([]Decision(nil), b.pending[:b.writing]...)
}

// endWrite ends the write of the last batch. If ok is set, the batch was written and
// its decisions are no longer pending.
func (b *buffer) endWrite(ok bool) {
	if ok {
		b.pending = append([]Decision(nil), b.pending[b.writing:]...)
	}
	b.writing = 0
}

// eachRecent calls yield for the recent decisions, the newest first, until yield
// returns false.
func (b *buffer) eachRecent(yield func(Decision) bool) {
	for i := range b.recent {
		at := (b.next - 1 - i + 2*cap(b.recent)) % cap(b.recent)
		if !yield(b.recent[at]) {
			return
		}
	}
}
