package amrdirect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHandover checks the time between orders of two hosts to one engine.
func TestHandover(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	h := newHandover(start, "own", 3*time.Second)
	is.True(h.allowed(at(0), "e1")) // Nobody has ever given orders.

	h.saw(at(1000), "other", map[string]bool{"e1": true, "e2": true})
	is.True(!h.allowed(at(1000), "e3")) // What was ordered before the start is not known.
	is.True(h.allowed(at(3000), "e3"))

	h.saw(at(4000), "other", map[string]bool{"e2": true}) // It is done with e1.
	is.True(!h.allowed(at(6990), "e1"))
	is.True(h.allowed(at(7000), "e1"))

	h.take(at(5500)) // Its lease ended then; it may have ordered e2 until that moment.
	is.True(!h.allowed(at(8490), "e2"))
	is.True(h.allowed(at(8500), "e2"))

	h.saw(at(9000), "own", map[string]bool{"e5": true})
	h.saw(at(9100), "own", nil)
	is.True(h.allowed(at(9100), "e5")) // Orders of one host need no time between them.
}
