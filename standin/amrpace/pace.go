// Package amrpace sends requests in an open loop: each at its scheduled time,
// whether or not earlier requests have been answered. Latencies that are
// measured from the scheduled times include any delay of the sender itself,
// which avoids coordinated omission.
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
	maxMicroseconds   = int64(time.Hour / time.Microsecond) // Longer durations are recorded as this.
	significantDigits = 3
)

// ScheduledSend is a call that is scheduled for a time.
type ScheduledSend struct {
	Due time.Time
	Do  func() // Do sends the request and waits for its answer.
}

// Run calls Do of each send in a new goroutine when it is due, in the order of
// the channel, until the channel is closed or ctx is done. It does not notice
// that ctx is done while it waits for the channel. It waits for all calls that
// it has started, and returns the error of ctx.
func Run(ctx context.Context, clock clockwork.Clock, sends <-chan ScheduledSend) error {
	var running errgroup.Group
	defer running.Wait() //nolint:errcheck // The functions return no errors.
	for s := range sends {
		if err := SleepUntil(ctx, clock, s.Due); err != nil {
			return err
		}
		running.Go(func() error {
			s.Do()
			return nil
		})
	}
	return ctx.Err()
}

// SleepUntil sleeps until the time at. It returns early with the error of ctx
// if ctx is done.
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

// Histogram counts durations with three significant digits. Durations shorter
// than a microsecond or longer than an hour count as these limits. It is safe
// for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdr.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdr.New(1, maxMicroseconds, significantDigits)}
}

// Record adds a duration to the histogram.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// It fails only for values out of range.
	_ = h.counts.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int(h.counts.TotalCount())
}

// Mean returns the mean of the recorded durations, or 0 if there are none.
func (h *Histogram) Mean() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.Mean()) * time.Microsecond
}

// Percentile returns the duration that the given percentage, from 0 to 100, of
// the recorded durations do not exceed, or 0 if there are none.
func (h *Histogram) Percentile(percentage float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.counts.ValueAtQuantile(percentage)) * time.Microsecond
}
