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

	// soundTime is how long a run that ended well shows that the request breaks
	// no servers. A request that begins to do so is stopped not much later.
	soundTime = 3 * time.Second

	// retellTime is the least time between two notices of a request that is
	// refused.
	retellTime = time.Second
)

// Strikes counts the crashes of backend servers with which runs of a request
// broke off, where routers tell one another of them. A request that was only
// beside the one that broke the server clears itself when it runs well, at any
// router. Strikes is safe for concurrent use; create it with NewStrikes.
type Strikes struct {
	mu    sync.Mutex
	known *lru.Cache[Fingerprint, []strike]
	sound *lru.Cache[Fingerprint, time.Time] // When a run ended well last.
	told  *lru.Cache[Fingerprint, time.Time] // When others were told of a refusal.
}

// strike is a crash with which a run of the request broke off.
type strike struct {
	server uint64
	at     time.Time
}

// NewStrikes returns an account without strikes.
func NewStrikes() *Strikes {
	return &Strikes{known: newCache[[]strike](), sound: newCache[time.Time](), told: newCache[time.Time]()}
}

func newCache[V any]() *lru.Cache[Fingerprint, V] {
	cache, err := lru.New[Fingerprint, V](MaxKnown)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return cache
}

// Add counts a run that broke off at the backend server with the hash. Copies of
// a request that break off with one crash of a server count once. It reports
// false, and counts nothing, where the request ran well just now.
func (s *Strikes) Add(now time.Time, f Fingerprint, server uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.sound.Peek(f); ok && now.Sub(last) < soundTime {
		return false
	}
	strikes, _ := s.known.Get(f)
	if !counts(now, strikes) {
		strikes = nil
	}
	if slices.ContainsFunc(strikes, func(k strike) bool { return k.server == server && now.Sub(k.at) < sameCrash }) {
		return true
	}
	strikes = append(strikes, strike{server: server, at: now})
	s.known.Add(f, strikes[max(0, len(strikes)-MaxStrikes):])
	return true
}

// RanWell notes a run that ended well and forgets the request's strikes. It
// reports whether there were any.
func (s *Strikes) RanWell(now time.Time, f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sound.Add(f, now)
	return s.known.Remove(f)
}

// Clear forgets the strikes of a request that ran well elsewhere.
func (s *Strikes) Clear(f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.Remove(f)
}

// Quarantined returns the time for which the request is not to be run, or 0.
func (s *Strikes) Quarantined(now time.Time, f Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	strikes, _ := s.known.Peek(f)
	if len(strikes) < MaxStrikes {
		return 0
	}
	return max(0, StrikeTime-now.Sub(strikes[len(strikes)-1].at))
}

// Retell returns the backend server of the request's last strike where other
// routers are to be told of it again, since the request is refused here: one of
// them may know that it runs well.
func (s *Strikes) Retell(now time.Time, f Fingerprint) (server uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	strikes, _ := s.known.Peek(f)
	if last, told := s.told.Peek(f); len(strikes) == 0 || told && now.Sub(last) < retellTime {
		return 0, false
	}
	s.told.Add(f, now)
	return strikes[len(strikes)-1].server, true
}

// counts reports whether the strikes, oldest first, are not too old.
func counts(now time.Time, strikes []strike) bool {
	return len(strikes) > 0 && now.Sub(strikes[len(strikes)-1].at) < StrikeTime
}
