// Package amrweights is a small stand-in of the weight store, whose rate limit
// is shared by all loads.
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
	defaultLoadTime   = 500 * time.Millisecond
	defaultFullSpeed  = 2 // Loads at once that each go at full speed.
	minimumTimerDelay = time.Microsecond
)

var (
	namespace   = errorx.NewNamespace("weights")
	unavailable = namespace.NewType("unavailable", errorx.Temporary())
)

// Store is a stand-in of the weight store. A load takes 500 ms while at most
// two go on; more share the speed of two.
type Store struct {
	clock    clockwork.Clock
	loadTime time.Duration
	mu       sync.Mutex
	out      bool
	loads    []*load
	timer    clockwork.Timer // Fires at the end of the next load.
	updated  time.Time       // When the remaining times were last brought up to date.
	most     int
}

type load struct {
	left time.Duration // At full speed.
	done chan struct{}
}

// Option changes a setting of a store.
type Option func(*Store)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Store) { s.clock = clock }
}

// WithTimeScale divides the time of loads.
func WithTimeScale(scale float64) Option {
	return func(s *Store) { s.loadTime = time.Duration(float64(defaultLoadTime) / scale) }
}

// New returns a store without loads.
func New(opts ...Option) *Store {
	s := &Store{clock: clockwork.NewRealClock(), loadTime: defaultLoadTime}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Load returns when the weights have been loaded, or an error when the store
// is out or ctx ends.
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
		s.arm()
		return ctx.Err()
	}
}

// SetOutage makes new loads fail until it is called with false.
func (s *Store) SetOutage(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
}

// MostAtOnce returns the largest number of loads that went on at once.
func (s *Store) MostAtOnce() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// Handler serves GET /v1/weights/{version}, which answers when the load is
// done.
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

func (s *Store) begin() (*load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out {
		return nil, unavailable.New("the weight store is out: load again after a pause")
	}
	s.update()
	l := &load{left: s.loadTime, done: make(chan struct{})}
	s.loads = append(s.loads, l)
	s.most = max(s.most, len(s.loads))
	s.arm()
	return l, nil
}

// update brings the remaining times up to date and ends loads that are done.
// The caller holds mu.
func (s *Store) update() {
	now := s.clock.Now()
	progress := time.Duration(float64(now.Sub(s.updated)) / s.slowdown())
	s.updated = now
	s.loads = slices.DeleteFunc(s.loads, func(l *load) bool {
		l.left -= progress
		if l.left > 0 {
			return false
		}
		close(l.done)
		return true
	})
}

// arm sets a timer for the end of the next load. The caller holds mu.
func (s *Store) arm() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if len(s.loads) == 0 {
		return
	}
	first := slices.MinFunc(s.loads, func(a, b *load) int { return int(a.left - b.left) })
	delay := time.Duration(float64(first.left) * s.slowdown())
	s.timer = s.clock.AfterFunc(max(delay, minimumTimerDelay), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.update()
		s.arm()
	})
}

func (s *Store) slowdown() float64 {
	return max(1, float64(len(s.loads))/defaultFullSpeed)
}
