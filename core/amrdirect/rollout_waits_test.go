package amrdirect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWaits checks that engines which do not hold declared weights are told with the reason and
// the age of the weights, and only from waitLogAge on.
func TestWaits(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(3)
	now := r.clock.Now()
	r.fleet.ObserveVersion("e02", "m1", 2)
	r.fleet.SetTargetTime(now.Add(-time.Second), "m1", 2)
	oldest, waits := r.waits(now, "m1", []string{"engines"})
	is.Equal(oldest, time.Second)
	is.Equal(waits, nil)

	r.fleet.SetTargetTime(now.Add(-4*time.Second), "m1", 2)
	r.handover = newHandover(now, "own", 3*time.Second)
	r.handover.noneBefore(now)
	r.handover.wait("e01", now)
	_, waits = r.waits(now, "m1", []string{"engines"})
	is.Equal(waits, []string{"e00=turn:4s", "e01=other-order:4s"})
}
