package amrforward

import (
	"time"

	"amaranthreach.example/core/amrretry"
)

// RetryBounds limits the retries to each pool by all routers together.
type RetryBounds struct {
	Ratio  float64       // Number of retries allowed for each request in a window.
	Slack  float64       // Number of retries allowed in a window in addition to those that Ratio allows.
	Window time.Duration // Length of the sliding window.
}

// WithRetryBounds sets the limits on retries and the function that returns the
// number of routers that share them.
func WithRetryBounds(b RetryBounds, routers func() int) Option {
	return func(f *Forwarder) { f.bounds, f.routers = b, routers }
}

// WithoutSlack withholds the slack of the retry bounds of pools that admit by urgency for one
// window from the start, or until AllowSlack is called. It is for a router that may replace
// one which has just used its share, as when all routers were killed.
func WithoutSlack() Option {
	return func(f *Forwarder) { f.slackWithheld = true }
}

// AllowSlack allows the slack of the retry bounds to be used at once, and reports whether it
// was withheld.
func (f *Forwarder) AllowSlack() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	withheld := f.slackWithheld && f.clock.Since(f.started) < f.bounds.Window
	f.slackWithheld = false
	return withheld
}

// SetRetryBounds replaces the limits on retries. If they change, counting
// starts anew.
func (f *Forwarder) SetRetryBounds(b RetryBounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bounds == b {
		return
	}
	f.bounds = b
	clear(f.windows)
}

// countRequest adds a request to the window of the pool, which allows retries
// in proportion.
func (f *Forwarder) countRequest(now time.Time, pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(pool).CountRequest(now)
}

// takeRetry takes one retry from the budget of the pool. It reports false if
// the budget is exhausted.
func (f *Forwarder) takeRetry(now time.Time, pool string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.window(pool).TryCountRetry(now, f.routers())
}

// RetriesLeft returns the number of retries that this router may make now for
// each pool that has had requests.
func (f *Forwarder) RetriesLeft(now time.Time) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := make(map[string]int, len(f.windows))
	for pool := range f.windows {
		left[pool] = f.window(pool).Remaining(now, f.routers())
	}
	return left
}

// window returns the retry window of the pool and creates it if needed. The
// caller must hold f.mu.
func (f *Forwarder) window(pool string) *amrretry.Window {
	w := f.windows[pool]
	if w == nil {
		w = amrretry.NewWindow(f.bounds.Ratio, f.bounds.Slack, f.bounds.Window)
		f.windows[pool] = w
	}
	if f.slackWithheld && f.fleet.AdmitsByUrgency(pool) {
		w.SetSlackFrom(f.started.Add(f.bounds.Window))
	} else {
		w.SetSlackFrom(time.Time{})
	}
	return w
}
