package amrsuspect

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// MaxStrikes is the number of strikes in a row after which a request is
	// quarantined.
	MaxStrikes = 3

	// StrikeTTL is the time for which the strikes of a request count after the
	// last one.
	StrikeTTL = time.Minute

	// sameCrashTime is the time within which all strikes for one backend server
	// are attributed to the same crash.
	sameCrashTime = time.Second

	// strikeFreeTime is the time after a completed run during which a request
	// gets no strikes, because the run shows that the request does not crash
	// servers. It also delays the quarantine of a request that starts to crash
	// servers, and is therefore short.
	strikeFreeTime = 3 * time.Second

	// reminderInterval is the least time between two reminders that a request
	// is quarantined.
	reminderInterval = time.Second
)

// Strikes counts the strikes of requests in a router, where routers notify each
// other of strikes. Many requests may be running on a server when one of them
// crashes it. The others lose their strikes when they complete at any router.
// Strikes is safe for concurrent use. Create it with NewStrikes.
type Strikes struct {
	mu            sync.Mutex
	byFingerprint *lru.Cache[Fingerprint, []Strike]
	lastSuccess   *lru.Cache[Fingerprint, time.Time] // Time at which a run last completed.
	clearedUntil  *lru.Cache[Fingerprint, time.Time] // Time up to which strikes no longer count, as other routers have told.
	reminded      *lru.Cache[Fingerprint, time.Time] // Time of the last reminder.
	trials        *lru.Cache[Fingerprint, trial]
	repeated      map[Fingerprint]struct{} // Requests that may have MinStored strikes or more.
}

// Strike is a strike for a crash of a backend server.
type Strike struct {
	Server uint64 // Hash of the name of the server.
	At     time.Time
}

// NewStrikes returns a Strikes without strikes.
func NewStrikes() *Strikes {
	return &Strikes{
		byFingerprint: newCache[[]Strike](), lastSuccess: newCache[time.Time](), clearedUntil: newCache[time.Time](),
		reminded: newCache[time.Time](), trials: newCache[trial](), repeated: make(map[Fingerprint]struct{}),
	}
}

func newCache[V any]() *lru.Cache[Fingerprint, V] {
	cache, err := lru.New[Fingerprint, V](MaxTracked)
	if err != nil {
		panic(err) // New fails only if the size is less than 1.
	}
	return cache
}

// Add adds a strike for a run that broke off because the backend server with
// the given hash crashed, and returns the number of strikes of the request. Several
// runs of the request that broke off in the same crash count as one strike. Add
// returns 0, and adds no strike, if the request has completed shortly before.
func (s *Strikes) Add(now time.Time, f Fingerprint, server uint64) int {
	return s.add(now, f, server, sameCrashTime)
}

// AddReported is like Add for a strike that another router has reported. It adds none
// if one for the same server is known: routers repeat the last strike of a request that
// they refuse, which must not prolong its quarantine.
func (s *Strikes) AddReported(now time.Time, f Fingerprint, server uint64) int {
	return s.add(now, f, server, StrikeTTL)
}

// add adds a strike unless there is one for the same server within the given time.
func (s *Strikes) add(now time.Time, f Fingerprint, server uint64, sameTime time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.lastSuccess.Peek(f); ok && now.Sub(last) < strikeFreeTime {
		return 0
	}
	strikes, _ := s.byFingerprint.Get(f)
	if !unexpired(now, strikes) {
		strikes = nil
	}
	if slices.ContainsFunc(strikes, func(k Strike) bool { return k.Server == server && now.Sub(k.At) < sameTime }) {
		return len(strikes)
	}
	return len(s.set(f, append(strikes, Strike{Server: server, At: now})))
}

// set sets the strikes of the request to the latest MaxStrikes of the given ones, which
// are ordered by time, and returns these. The caller must hold mu.
func (s *Strikes) set(f Fingerprint, strikes []Strike) []Strike {
	strikes = strikes[max(0, len(strikes)-MaxStrikes):]
	s.byFingerprint.Add(f, strikes)
	if len(strikes) >= MinStored {
		s.repeated[f] = struct{}{}
	}
	return strikes
}

// Servers returns the hashes of the servers for which the request has strikes,
// oldest first.
func (s *Strikes) Servers(f Fingerprint) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	strikes, _ := s.byFingerprint.Peek(f)
	var servers []uint64
	for _, k := range strikes {
		servers = append(servers, k.Server)
	}
	return servers
}

// RecordSuccess records that a run of the request has completed, and removes
// its strikes. It returns how many there were.
func (s *Strikes) RecordSuccess(now time.Time, f Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSuccess.Add(f, now)
	strikes, _ := s.byFingerprint.Peek(f)
	s.byFingerprint.Remove(f)
	return len(strikes)
}

// Clear removes the strikes of a request that has completed at another router.
func (s *Strikes) Clear(now time.Time, f Fingerprint) {
	s.ClearUntil(f, now)
}

// ForgetServers removes the strikes of all requests for crashes of the servers since
// the given time, because another cause of those crashes has been found.
func (s *Strikes) ForgetServers(servers []uint64, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	explained := func(k Strike) bool { return !k.At.Before(since) && slices.Contains(servers, k.Server) }
	for _, f := range s.byFingerprint.Keys() {
		strikes, _ := s.byFingerprint.Peek(f)
		if !slices.ContainsFunc(strikes, explained) {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(strikes), explained)
		if len(kept) == 0 {
			s.byFingerprint.Remove(f)
			continue
		}
		s.byFingerprint.Add(f, kept)
	}
}

// QuarantineRemaining returns the time for which the request remains
// quarantined, or 0 if it is not quarantined.
func (s *Strikes) QuarantineRemaining(now time.Time, f Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantineRemaining(now, f)
}

// quarantineRemaining returns the same. The caller must hold mu.
func (s *Strikes) quarantineRemaining(now time.Time, f Fingerprint) time.Duration {
	strikes, _ := s.byFingerprint.Peek(f)
	if len(strikes) < MaxStrikes {
		return 0
	}
	return max(0, StrikeTTL-now.Sub(strikes[len(strikes)-1].At))
}

// NextReminder returns the hash of the backend server of the last strike of a
// request that is refused, if other routers should be notified of that strike
// again. A router at which the request has completed answers that the strikes
// are cleared. NextReminder returns false if the request has no strikes or if
// the last reminder is too recent.
func (s *Strikes) NextReminder(now time.Time, f Fingerprint) (server uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	strikes, _ := s.byFingerprint.Peek(f)
	if last, reminded := s.reminded.Peek(f); len(strikes) == 0 || reminded && now.Sub(last) < reminderInterval {
		return 0, false
	}
	s.reminded.Add(f, now)
	return strikes[len(strikes)-1].Server, true
}

// unexpired reports whether the strikes, oldest first, still count.
func unexpired(now time.Time, strikes []Strike) bool {
	return len(strikes) > 0 && now.Sub(strikes[len(strikes)-1].At) < StrikeTTL
}
