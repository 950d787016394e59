// Package amrtick repeats work at intervals.
package amrtick

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls f after each interval until ctx is done. An interval that passes
// while f runs is not made up for.
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
