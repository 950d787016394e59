package amrsuspect

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// MaxStrikes is the number of crashes of backend servers in a row after
	// which a request that ran there is not run again for a while.
	MaxStrikes = 3

	// StrikeTime is how long a strike counts.
	StrikeTime = time.Minute

	// sameCrash is the time in which all runs that break off at one server are
	// taken to break off with one crash.
	sameCrash = time.Second
)

// Strikes counts the crashes of backend servers with which runs of a request
// broke off, where routers tell one another of them. A request that others were broken
// off with clears itself when it runs well. Strikes is safe for concurrent use;
// create it with NewStrikes.
type Strikes struct {
	mu    sync.Mutex
	known *lru.Cache[Fingerprint, []strike]
}

// strike is a crash with which a run of the request broke off.
type strike struct {
	server uint64
	at     time.Time
}

// NewStrikes returns an account without strikes.
func NewStrikes() *Strikes {
	known, err := lru.New[Fingerprint, []strike](MaxKnown)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return &Strikes{known: known}
}

// Add counts a run that broke off at the backend server with the hash. Copies of
// a request that break off with one crash of a server count once.
func (s *Strikes) Add(now time.Time, f Fingerprint, server uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	strikes, _ := s.known.Get(f)
	if !counts(now, strikes) {
		strikes = nil
	}
	if slices.ContainsFunc(strikes, func(k strike) bool { return k.server == server && now.Sub(k.at) < sameCrash }) {
		return
	}
	strikes = append(strikes, strike{server: server, at: now})
	s.known.Add(f, strikes[max(0, len(strikes)-MaxStrikes):])
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
	strikes, _ := s.known.Peek(f)
	return len(strikes) >= MaxStrikes && counts(now, strikes)
}

// counts reports whether the strikes, oldest first, are not too old.
func counts(now time.Time, strikes []strike) bool {
	return len(strikes) > 0 && now.Sub(strikes[len(strikes)-1].at) < StrikeTime
}
