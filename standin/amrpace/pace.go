// Package amrpace sends requests in open loop: at their times, whether or not
// earlier ones have been answered. Latencies that are counted from those times
// hide no waiting of the sender itself.
package amrpace

import (
	"context"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

const (
	longest           = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Send is a request that is due at a time.
type Send struct {
	Due time.Time
	Do  func()
}

// Run does each send in a goroutine of its own when it is due, and returns when
// all have been done, or with the error of ctx after those that were begun.
func Run(ctx context.Context, clock clockwork.Clock, sends <-chan Send) error {
	var group errgroup.Group
	defer group.Wait() //nolint:errcheck // Sends return no errors.
	for s := range sends {
		if err := SleepUntil(ctx, clock, s.Due); err != nil {
			return err
		}
		group.Go(func() error {
			s.Do()
			return nil
		})
	}
	return ctx.Err()
}

// SleepUntil returns at the time, or earlier with the error of ctx.
func SleepUntil(ctx context.Context, clock clockwork.Clock, at time.Time) error {
	wait := at.Sub(clock.Now())
	if wait <= 0 {
		return ctx.Err()
	}
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Histogram counts durations from a microsecond to an hour with three
// significant digits. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdr.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdr.New(1, longest, significantDigits)}
}

// Record counts a duration.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(min(max(d.Microseconds(), 1), longest)) // Within the histogram's range.
}

// Count returns how many durations were counted.
func (h *Histogram) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int(h.counts.TotalCount())
}

// Mean returns the mean duration.
func (h *Histogram) Mean() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.Mean()) * time.Microsecond
}

// Percentile returns the duration that the percentage of all does not exceed,
// or 0 when none was counted.
func (h *Histogram) Percentile(percentage float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.counts.ValueAtQuantile(percentage)) * time.Microsecond
}
