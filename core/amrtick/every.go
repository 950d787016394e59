// Package amrtick calls a function at regular intervals.
package amrtick

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls f after each interval until ctx is done. Calls do not overlap: if f
// takes longer than the interval, ticks are dropped as by a time.Ticker, and the
// missed calls are not made up for.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			f()
		}
	}
}
