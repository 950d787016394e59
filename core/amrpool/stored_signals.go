package amrpool

import "time"

// StoredSignals are the signals of an incarnation of a listed server that routers which start
// must know, as they are known after all routers were gone at once.
type StoredSignals struct {
	Server     string
	Started    time.Time // Identifies the incarnation.
	PerSecond  float64   // Requests per second that the server takes; 0 if it names no limit.
	ReceivedAt time.Time // Time at which that was last stated; zero if it never was.
	Leaving    bool      // The server said in responses that it is leaving, which its listing does not say.
	Kept       bool      // Signals of the server's pool are kept: the pool admits by urgency.
}

// StoredSignals returns the signals of all listed servers.
func (f *Fleet) StoredSignals(now time.Time) []StoredSignals {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []StoredSignals
	for pool, servers := range f.pools {
		kept := f.byUrgency(pool)
		for _, s := range servers {
			if s.isGone(now) {
				continue
			}
			limit := s.signals.limit
			all = append(all, StoredSignals{
				Server: s.Name, Started: s.Started, PerSecond: limit.perSecond, ReceivedAt: limit.receivedAt,
				Leaving: s.signals.leaving && !s.Draining, Kept: kept,
			})
		}
	}
	return all
}

// ApplyStoredLimit is ApplyLimit for a limit that was stored. If this router knew nothing of
// a limit, it assumes that the requests of the server are used up so far, because routers
// that are gone may just have sent them.
func (f *Fleet) ApplyStoredLimit(now time.Time, n LimitNotice) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := !f.signals.of(n.Server, n.Started).limit.receivedAt.IsZero()
	changed = f.applyLimit(now, n)
	if !changed || known {
		return changed
	}
	signals := f.signals.of(n.Server, n.Started)
	signals.usedUntil = now.Add(limitBurst + signals.limit.interval(1))
	f.signals.put(n.Server, signals)
	if s := f.byID[n.Server]; s != nil && s.Started.Equal(n.Started) {
		s.signals = signals
	}
	return true
}
