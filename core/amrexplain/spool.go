package amrexplain

// spool holds the newest decisions for look-ups and those that are not yet in
// the object store. Both are bounded; the oldest go first. It does no I/O and
// is not safe for concurrent use.
type spool struct {
	ring    []Decision // The newest, as a circular buffer.
	next    int        // Where the next decision goes.
	byID    map[string]int
	pending []Decision
	limit   int // Of pending.
	flying  int // First decisions of pending that are being written.
	dropped uint64
}

func newSpool(ring, limit int) *spool {
	return &spool{ring: make([]Decision, 0, ring), byID: map[string]int{}, limit: limit}
}

// add takes a decision. It drops the oldest pending one when there are too
// many.
func (s *spool) add(d Decision) {
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, d)
	} else {
		delete(s.byID, s.ring[s.next].RequestID)
		s.ring[s.next] = d
	}
	s.byID[d.RequestID] = s.next
	s.next = (s.next + 1) % cap(s.ring)

	if len(s.pending) >= s.limit {
		s.pending = s.pending[1:]
		s.flying = max(0, s.flying-1)
		s.dropped++
	}
	s.pending = append(s.pending, d)
}

func (s *spool) get(id string) (Decision, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Decision{}, false
	}
	return s.ring[i], true
}

// take returns at most n decisions to write. They stay pending until written
// is called.
func (s *spool) take(n int) []Decision {
	s.flying = min(n, len(s.pending))
	return append([]Decision(nil), s.pending[:s.flying]...)
}

// written says whether the decisions last taken are in the object store.
func (s *spool) written(ok bool) {
	if ok {
		s.pending = append([]Decision(nil), s.pending[s.flying:]...)
	}
	s.flying = 0
}

// newest calls yield for the decisions of the ring, the newest first, until it
// returns false.
func (s *spool) newest(yield func(Decision) bool) {
	for i := range s.ring {
		at := (s.next - 1 - i + 2*cap(s.ring)) % cap(s.ring)
		if !yield(s.ring[at]) {
			return
		}
	}
}
