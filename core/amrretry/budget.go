// Package amrretry limits retries, so that they cannot multiply an overload.
//
// A Policy decides whether one request may be retried, and a Budget limits the
// retries of one router. A Window limits the retries of many routers together.
package amrretry

import "time"

const (
	// DefaultRatio is the fraction of a retry that each successful request adds
	// to a Budget.
	DefaultRatio = 0.1

	// DefaultBurst is the largest number of retries that a Budget holds.
	DefaultBurst = 20

	// DefaultPerSecond is the number of retries that are added to a Budget each
	// second, so that a router with little traffic can retry at all.
	DefaultPerSecond = 0.5
)

// Budget limits retries to a fraction of the successful requests plus a small
// constant rate. It is a token bucket: each success adds a fraction of a retry,
// and each retry takes a whole one. It is not safe for concurrent use.
type Budget struct {
	ratio     float64
	burst     float64
	perSecond float64
	available float64   // Retries that may be made now.
	updated   time.Time // Time up to which perSecond has been added.
}

// NewBudget returns a full Budget: it holds as many retries as its burst.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{ratio: DefaultRatio, burst: DefaultBurst, perSecond: DefaultPerSecond}
	for _, opt := range opts {
		opt(b)
	}
	b.available = b.burst
	return b
}

// Option configures a Budget.
type Option func(*Budget)

// WithRatio replaces DefaultRatio.
func WithRatio(ratio float64) Option {
	return func(b *Budget) { b.ratio = ratio }
}

// WithBurst replaces DefaultBurst.
func WithBurst(retries float64) Option {
	return func(b *Budget) { b.burst = retries }
}

// WithPerSecond replaces DefaultPerSecond.
func WithPerSecond(retries float64) Option {
	return func(b *Budget) { b.perSecond = retries }
}

// RecordSuccess records a successful request, which adds a fraction of a retry.
func (b *Budget) RecordSuccess() {
	b.available = min(b.burst, b.available+b.ratio)
}

// Spend takes one retry from the budget. It reports false, and takes nothing,
// if less than one is left.
func (b *Budget) Spend(now time.Time) bool {
	if !b.updated.IsZero() {
		b.available = min(b.burst, b.available+b.perSecond*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
