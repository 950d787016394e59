package amrtick

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestEvery checks that the function is called once after each interval, not
// earlier, and that Every returns when the context is canceled.
func TestEvery(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(t.Context())
	calls := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		Every(ctx, clock, time.Second, func() { calls <- struct{}{} })
		return nil
	})
	for range 3 {
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		clock.Advance(999 * time.Millisecond)
		select {
		case <-calls:
			t.Fatal("called before the interval was over")
		default:
		}
		clock.Advance(time.Millisecond)
		<-calls
	}
	cancel()
	is.NoErr(group.Wait())
}
