package amrsoak

import (
	"sync"
	"time"
)

// everybody is the name under which trouble of all routers is kept.
const everybody = ""

// span is a time in which something was disturbed.
type span struct {
	from, to time.Time // Zero while it lasts.
}

// overlaps reports whether the span has a moment from one time to the other.
func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// troubles keeps when each router was disturbed. Bounds of time hold only for
// routers that were in touch: without trouble for the contact time before.
type troubles struct {
	mu    sync.Mutex
	spans map[string][]*span
}

// begin notes that the router is disturbed until the returned function is
// called.
func (t *troubles) begin(router string, now time.Time) (end func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &span{from: now}
	if t.spans == nil {
		t.spans = make(map[string][]*span)
	}
	t.spans[router] = append(t.spans[router], s)
	return func(now time.Time) {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.to = now
	}
}

// calm reports whether neither the router nor all of them were disturbed
// between the times.
func (t *troubles) calm(router string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range []string{router, everybody} {
		for _, s := range t.spans[name] {
			if s.overlaps(from, to) {
				return false
			}
		}
	}
	return true
}
