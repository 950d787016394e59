// Package amrservice implements a small stand-in for a plain service, which is
// a backend server that is not a model engine. It records every call that took
// effect, so that tests can detect lost and duplicate work.
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

// Service is a stand-in for a plain service. Its methods are safe for
// concurrent use.
type Service struct {
	clock clockwork.Clock
	delay time.Duration

	mu              sync.Mutex
	runs            []Run
	callsToRefuse   int // Number of calls that are still to be refused.
	responsesToLose int // Number of calls whose response is still to be lost.
	down            bool
}

// Run records a call that took effect.
type Run struct {
	Number         int       // Position among all runs, from 1.
	At             time.Time // Time at which the call took effect.
	Path           string
	RequestID      string // Value of the X-Request-Id header.
	IdempotencyKey string // Value of the Idempotency-Key header.
	Body           string
	ResponseLost   bool // Whether the connection was aborted instead of a response.
}

// Option configures a service that New creates.
type Option func(*Service)

// WithClock sets the clock. The default is the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Service) { s.clock = clock }
}

// WithDelay sets the time between the arrival of a call and its effect. The
// default is 0.
func WithDelay(d time.Duration) Option {
	return func(s *Service) { s.delay = d }
}

// New returns a service without runs.
func New(opts ...Option) *Service {
	s := &Service{clock: clockwork.NewRealClock()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// RefuseNext makes the next n calls fail with status 503. They have no effect.
func (s *Service) RefuseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callsToRefuse = n
}

// LoseResponses makes the service abort the connection of each of the next n
// calls after the call took effect.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// SetDown sets whether the service is down. While it is down it aborts the
// connection of every call, which has no effect.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Runs returns the runs in the order in which they took effect.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

type reply struct {
	Run  int             `json:"run"`
	Echo json.RawMessage `json:"echo"`
}

// Handler returns the handler of the service's HTTP interface. It accepts POST
// requests with a JSON body of at most 1 MiB on any path, and responds with the
// number of the run and the body.
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
	case run.Number == 0 || run.ResponseLost:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply{run.Number, body}) // An error means that the client has disconnected.
	}
}

// run records the call as a run, unless it is refused or the service is down.
// If the service is down, the returned run has the number 0.
func (s *Service) run(r *http.Request, body string) (run Run, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Run{}, false
	}
	if s.callsToRefuse > 0 {
		s.callsToRefuse--
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
	if s.responsesToLose > 0 {
		s.responsesToLose--
		run.ResponseLost = true
	}
	s.runs = append(s.runs, run)
	return run, false
}
