// Package amrweights simulates the store from which engines load model weights, and
// whose bandwidth all loads share.
package amrweights

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
)

const (
	defaultLoadTime   = 500 * time.Millisecond // Time of a load at full speed.
	fullSpeedLoads    = 2                      // Maximum number of concurrent loads that run at full speed.
	minimumTimerDelay = time.Microsecond       // Minimum delay of the timer, so that the progress made until it fires does not round to zero.
)

var (
	namespace   = errorx.NewNamespace("weights")
	unavailable = namespace.NewType("unavailable", errorx.Temporary())
)

// Store simulates a weight store. By default a load takes 500 ms while at most two
// loads are in progress; more loads share the bandwidth of two. It is safe for
// concurrent use. Create it with New.
type Store struct {
	clock      clockwork.Clock
	loadTime   time.Duration // Time of a load at full speed.
	mu         sync.Mutex
	outage     bool
	loads      []*load         // Loads in progress.
	timer      clockwork.Timer // Fires when the next load ends.
	lastUpdate time.Time       // Time of the last call of update.
	peakLoads  int             // Highest number of concurrent loads so far.
}

// load is a load in progress.
type load struct {
	remaining time.Duration // Remaining time at full speed.
	done      chan struct{} // Closed when the load is complete.
}

// Option configures a Store.
type Option func(*Store)

// WithClock sets the clock. The default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Store) { s.clock = clock }
}

// WithTimeScale divides the time of each load by scale.
func WithTimeScale(scale float64) Option {
	return func(s *Store) { s.loadTime = time.Duration(float64(defaultLoadTime) / scale) }
}

// New returns a store without loads in progress.
func New(opts ...Option) *Store {
	s := &Store{clock: clockwork.NewRealClock(), loadTime: defaultLoadTime}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Load waits for the time that a load takes and returns nil. It returns an error
// immediately if there is an outage, and the error of ctx if ctx is done first.
func (s *Store) Load(ctx context.Context, _ string) error {
	l, err := s.begin()
	if err != nil {
		return err
	}
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.update()
		s.loads = slices.DeleteFunc(s.loads, func(other *load) bool { return other == l })
		s.resetTimer()
		return ctx.Err()
	}
}

// SetOutage starts or ends an outage, during which new loads fail. Loads in progress
// continue.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// PeakConcurrentLoads returns the highest number of concurrent loads so far.
func (s *Store) PeakConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakLoads
}

// Handler returns a handler of GET /v1/weights/{version}. It responds with the
// status 204 when the load is complete, or with the status 503 if it fails.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{version}", func(w http.ResponseWriter, r *http.Request) {
		if err := s.Load(r.Context(), r.PathValue("version")); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// begin adds a load. It returns an error if there is an outage.
func (s *Store) begin() (*load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, unavailable.New("the weight store is unavailable: retry after a pause")
	}
	s.update()
	l := &load{remaining: s.loadTime, done: make(chan struct{})}
	s.loads = append(s.loads, l)
	s.peakLoads = max(s.peakLoads, len(s.loads))
	s.resetTimer()
	return l, nil
}

// update subtracts the progress since the last update from the remaining times and
// removes the loads that are complete. It must be called before the number of loads
// changes, since their speed depends on it. The caller holds mu.
func (s *Store) update() {
	now := s.clock.Now()
	progress := time.Duration(float64(now.Sub(s.lastUpdate)) / s.slowdown())
	s.lastUpdate = now
	s.loads = slices.DeleteFunc(s.loads, func(l *load) bool {
		l.remaining -= progress
		if l.remaining > 0 {
			return false
		}
		close(l.done)
		return true
	})
}

// resetTimer sets the timer to the end of the next load. The caller holds mu.
func (s *Store) resetTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if len(s.loads) == 0 {
		return
	}
	next := slices.MinFunc(s.loads, func(a, b *load) int { return int(a.remaining - b.remaining) })
	delay := time.Duration(float64(next.remaining) * s.slowdown())
	s.timer = s.clock.AfterFunc(max(delay, minimumTimerDelay), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.update()
		s.resetTimer()
	})
}

// slowdown returns the factor by which the loads in progress are slower than at full
// speed. The caller holds mu.
func (s *Store) slowdown() float64 {
	return max(1, float64(len(s.loads))/fullSpeedLoads)
}
