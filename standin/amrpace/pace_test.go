package amrpace

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// TestRun checks that slow requests do not delay later ones.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock() // In the bubble of synctest, this is its fake clock.
		begin := clock.Now()
		sends := make(chan ScheduledSend, 10)
		lateness, latency := NewHistogram(), NewHistogram()
		var done atomic.Int32
		for i := range 10 {
			due := begin.Add(time.Duration(i) * time.Second)
			sends <- ScheduledSend{due, func() {
				lateness.Record(clock.Since(due))
				_ = SleepUntil(t.Context(), clock, clock.Now().Add(time.Minute))
				latency.Record(clock.Since(due))
				done.Add(1)
			}}
		}
		close(sends)
		is.NoErr(Run(t.Context(), clock, sends))
		is.Equal(done.Load(), int32(10))
		is.Equal(clock.Since(begin), 69*time.Second)
		// No send was late: the histogram records 0 as a microsecond.
		is.Equal(lateness.Percentile(100), time.Microsecond)
		is.Equal(latency.Percentile(50).Round(time.Second), time.Minute)
		is.Equal(latency.Count(), 10)
	})
}

func TestRunCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		sends := make(chan ScheduledSend, 1)
		sends <- ScheduledSend{clockwork.NewRealClock().Now().Add(time.Hour), func() { t.Error("Do was called after ctx was canceled") }}
		cancel()
		is.Equal(Run(ctx, clockwork.NewRealClock(), sends), context.Canceled)
	})
}
