package amrsuspect

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// MaxStrikes is the number of broken runs in a row after which a request
	// is not run again for a while.
	MaxStrikes = 3

	// StrikeTime is how long a strike counts.
	StrikeTime = time.Minute
)

// Strikes counts the runs of requests that broke off with their backend server,
// where routers tell one another of them. A request that others were broken
// off with clears itself when it runs well. Strikes is safe for concurrent use;
// create it with NewStrikes.
type Strikes struct {
	mu    sync.Mutex
	known *lru.Cache[Fingerprint, strike]
}

type strike struct {
	count int
	last  time.Time
}

// NewStrikes returns an account without strikes.
func NewStrikes() *Strikes {
	known, err := lru.New[Fingerprint, strike](MaxKnown)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return &Strikes{known: known}
}

// Add counts a strike.
func (s *Strikes) Add(now time.Time, f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.known.Get(f)
	if ok && now.Sub(old.last) >= StrikeTime {
		old.count = 0
	}
	s.known.Add(f, strike{count: old.count + 1, last: now})
}

// Clear forgets the strikes of a request that ran well. It reports whether
// there were any.
func (s *Strikes) Clear(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.Remove(f)
}

// Quarantined reports whether the request is not to be run now.
func (s *Strikes) Quarantined(now time.Time, f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.known.Peek(f)
	return ok && old.count >= MaxStrikes && now.Sub(old.last) < StrikeTime
}
