package amrdirect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// engines returns a note that names the engines and tells no orders, as routers of earlier
// versions write it.
func engines(names ...string) observedNote {
	note := observedNote{engines: make(map[string]bool)}
	for _, name := range names {
		note.engines[name] = true
	}
	return note
}

// TestHandover checks the minimum time between orders that two hosts give to
// the same engine.
func TestHandover(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	h := newHandover(start, "own", 3*time.Second)
	h.observeLease(at(1000), "other", engines("e1", "e2"))
	is.True(!h.allowed(at(1000), "e3")) // Orders from before the start are not known.
	is.True(h.allowed(at(3000), "e3"))

	h.observeLease(at(4000), "other", engines("e2")) // The change of e1 has ended.
	is.True(!h.allowed(at(6990), "e1"))
	is.True(h.allowed(at(7000), "e1"))

	h.takeOver(at(5500)) // The lease of the other host expired then, and it may have given e2 an order until then.
	is.True(!h.allowed(at(8490), "e2"))
	is.True(h.allowed(at(8500), "e2"))

	h.observeLease(at(9000), "own", engines("e5"))
	h.observeLease(at(9100), "own", engines())
	is.True(h.allowed(at(9100), "e5")) // Orders of the same host need no time between them.
}

// TestHandoverOfFirstHolder guards against a router that starts, finds no row of the lease and
// takes this for a sign that nobody has given orders: the store may have been restored from a
// copy without the row. The opposite: the first holder of all does not wait, also after it has
// read its own row.
func TestHandoverOfFirstHolder(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	h := newHandover(start, "own", 3*time.Second)
	is.True(!h.allowed(start, "e1"))
	is.True(!h.allowed(start.Add(2990*time.Millisecond), "e1"))
	is.True(h.allowed(start.Add(3*time.Second), "e1"))

	first := newHandover(start, "own", 3*time.Second)
	first.noneBefore(start)
	is.True(first.allowed(start, "e1"))
	first.observeLease(start, "own", observedNote{engines: map[string]bool{"e1": true}, knownFrom: start})
	is.True(first.allowed(start, "e1"))
	is.True(first.allowed(start, "e2"))
}
