// Package amrretry decides whether a request that failed may be tried again.
package amrretry

import "time"

const (
	// DefaultRatio is the share of a retry that each success pays for.
	DefaultRatio = 0.1

	// DefaultBurst is the largest number of retries saved up.
	DefaultBurst = 20

	// DefaultPerSecond is the rate of retries that are free of successes, so
	// that a router with little traffic can retry at all.
	DefaultPerSecond = 0.5
)

// Budget bounds retries to a share of the successes, so that retries cannot
// multiply an overload. It is not safe for concurrent use.
type Budget struct {
	ratio     float64
	burst     float64
	perSecond float64
	saved     float64
	last      time.Time
}

// NewBudget returns a full budget.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{ratio: DefaultRatio, burst: DefaultBurst, perSecond: DefaultPerSecond}
	for _, opt := range opts {
		opt(b)
	}
	b.saved = b.burst
	return b
}

// Option configures a Budget.
type Option func(*Budget)

// WithRatio sets the share of a retry that each success pays for.
func WithRatio(ratio float64) Option {
	return func(b *Budget) { b.ratio = ratio }
}

// WithBurst sets the largest number of retries saved up.
func WithBurst(retries float64) Option {
	return func(b *Budget) { b.burst = retries }
}

// WithPerSecond sets the rate of retries that are free of successes.
func WithPerSecond(retries float64) Option {
	return func(b *Budget) { b.perSecond = retries }
}

// Success adds the share that a success pays for.
func (b *Budget) Success() {
	b.saved = min(b.burst, b.saved+b.ratio)
}

// Spend takes one retry from the budget, and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	if !b.last.IsZero() {
		b.saved = min(b.burst, b.saved+b.perSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
