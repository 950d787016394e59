// Package amrservice is a small stand-in of a plain service. It counts every
// run, so that tests can tell lost and doubled work.
package amrservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const maxBodyBytes = 1 << 20

// Service is a stand-in of a plain service.
type Service struct {
	clock clockwork.Clock
	delay time.Duration

	mu       sync.Mutex
	runs     []Run
	refusals int // Calls still to refuse.
	losses   int // Answers still to lose.
	down     bool
}

// Run is one call that took effect.
type Run struct {
	Number         int // From 1.
	At             time.Time
	Path           string
	RequestID      string // Of the X-Request-Id header.
	IdempotencyKey string // Of the Idempotency-Key header.
	Body           string
	AnswerLost     bool
}

// Option changes a setting of a service.
type Option func(*Service)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Service) { s.clock = clock }
}

// WithDelay sets how long a call takes before its effect.
func WithDelay(d time.Duration) Option {
	return func(s *Service) { s.delay = d }
}

// New returns a service that has run nothing.
func New(opts ...Option) *Service {
	s := &Service{clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// RefuseNext makes the next n calls answer 503 without effect.
func (s *Service) RefuseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = n
}

// LoseAnswers makes the next n calls take effect and then cut the connection.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = n
}

// SetDown makes every call cut the connection without effect until it is
// called with false.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Log returns every call that took effect, in order.
func (s *Service) Log() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

type reply struct {
	Run  int             `json:"run"`
	Echo json.RawMessage `json:"echo"`
}

// Handler returns the service's HTTP interface: any path by POST with a JSON
// body.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.Error(w, "use POST", http.StatusMethodNotAllowed)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil || !json.Valid(body) {
			http.Error(w, "the body is not JSON", http.StatusBadRequest)
			return
		}
		s.serve(w, r, body)
	})
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	if s.delay > 0 {
		select {
		case <-s.clock.After(s.delay):
		case <-r.Context().Done():
			return
		}
	}
	run, refused := s.run(r, string(body))
	switch {
	case refused:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the service is busy", http.StatusServiceUnavailable)
	case run.Number == 0 || run.AnswerLost:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply{run.Number, body}) // The caller is gone when this fails.
	}
}

// run notes the call unless it is refused or the service is down, in which
// case the run has no number.
func (s *Service) run(r *http.Request, body string) (run Run, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Run{}, false
	}
	if s.refusals > 0 {
		s.refusals--
		return Run{}, true
	}
	run = Run{
		Number:         len(s.runs) + 1,
		At:             s.clock.Now(),
		Path:           r.URL.Path,
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Body:           body,
	}
	if s.losses > 0 {
		s.losses--
		run.AnswerLost = true
	}
	s.runs = append(s.runs, run)
	return run, false
}
