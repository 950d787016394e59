package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPause limits the time for which a server may ask for no requests. A
	// longer time is more likely to be a mistake than a wish.
	maxPause = 5 * time.Minute

	// maxIncarnations is the maximum number of incarnations of servers whose
	// signals are remembered.
	maxIncarnations = 4096
)

// Signals is what a backend server tells about itself in the header of a
// response. Unlike its listing, this does not depend on the platform's store.
type Signals struct {
	Leaving bool          // The server is about to stop and must get no new requests.
	Pause   time.Duration // Time for which the server asks this router for no requests; 0 if it does not.
	Limit   RateLimit
}

// incarnationSignals holds what an incarnation of a server told about itself. It
// outlives the server's listing, which may be lost and written again.
type incarnationSignals struct {
	started     time.Time // Identifies the incarnation.
	leaving     bool
	pausedUntil time.Time
	limit       rateLimit
	usedUntil   time.Time // Time before which no request is due, whatever was sent.
}

// signalMemory remembers the signals of the last incarnation of each server.
type signalMemory struct {
	lru *simplelru.LRU[ServerID, incarnationSignals]
}

func newSignalMemory() signalMemory {
	lru, err := simplelru.NewLRU[ServerID, incarnationSignals](maxIncarnations, nil)
	if err != nil {
		panic(err) // Happens only for a size that is not positive.
	}
	return signalMemory{lru: lru}
}

// of returns the signals of the incarnation that started at the given time.
func (m signalMemory) of(server ServerID, started time.Time) incarnationSignals {
	known, _ := m.lru.Get(server)
	if !known.started.Equal(started) {
		return incarnationSignals{started: started}
	}
	return known
}

// put replaces the signals of the server unless those of a later incarnation are
// known.
func (m signalMemory) put(server ServerID, signals incarnationSignals) {
	if known, ok := m.lru.Peek(server); ok && signals.started.Before(known.started) {
		return
	}
	m.lru.Add(server, signals)
}

// Observe records the signals that the server sent, and reports whether they
// changed what is known of the server. They need not belong to the response to
// this request, which was sent at the given time.
func (c *Choice) Observe(now, sentAt time.Time, signals Signals) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	changed := c.fleet.observe(now, sentAt, c.server, signals)
	limit := c.server.signals.limit
	if c.WithinLimit && !changed && signals.Limit.Stated && !limit.exists() { // The router that selected the server still knows of a limit.
		c.fleet.announceLimitAgain(now, c.server, rateLimit{sentAt: sentAt, receivedAt: now})
	}
	return changed
}

// ObserveSignals records the signals that the named server sent in the response to a
// request that was sent at the given time, and reports whether they changed what is
// known of the server.
func (f *Fleet) ObserveSignals(now, sentAt time.Time, name string, signals Signals) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byName[name]
	return s != nil && f.observe(now, sentAt, s, signals)
}

// observe records the signals of the server, and reports whether they changed
// what is known of it. A server that has just told that it is leaving is
// announced to the other routers.
func (f *Fleet) observe(now, sentAt time.Time, s *server, signals Signals) bool {
	changed := signals.Limit.Stated && f.observeLimit(now, s, rateLimit{signals.Limit.PerSecond, sentAt, now})
	if until := now.Add(min(signals.Pause, maxPause)); signals.Pause > 0 && until.After(s.signals.pausedUntil) {
		s.signals.pausedUntil = until
		changed = true
	}
	if signals.Leaving && !s.signals.leaving {
		s.signals.leaving = true
		changed = true
		f.leaving = append(f.leaving, LeavingServer{Server: s.id, Started: s.Started})
		f.notify()
	}
	if changed {
		f.signals.put(s.id, s.signals)
	}
	return changed
}

// observeLimit records a statement about the server's limit, and reports whether the
// limit changed. If so, the limit is announced to the other routers.
func (f *Fleet) observeLimit(now time.Time, s *server, stated rateLimit) bool {
	limit, replaced := s.signals.limit.updated(stated)
	changed := limit.perSecond != s.signals.limit.perSecond
	if replaced {
		s.signals.limit = limit
	}
	if changed {
		f.announceLimit(now, s, limit)
	}
	return changed
}

// LeavingServer is an incarnation of a server that has told that it is leaving.
type LeavingServer struct {
	Server  ServerID
	Started time.Time // Identifies the incarnation.
}

// TakeLeaving returns the leaving servers that the other routers must be told of,
// and forgets them.
func (f *Fleet) TakeLeaving() []LeavingServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	leaving := f.leaving
	f.leaving = nil
	return leaving
}

// ApplyLeaving records that another router was told that an incarnation of a server
// is leaving, and reports whether this is news. This router may not have a listing
// of the server yet.
func (f *Fleet) ApplyLeaving(l LeavingServer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	signals := f.signals.of(l.Server, l.Started)
	known := signals.leaving
	signals.leaving = true
	f.signals.put(l.Server, signals)
	if s := f.byID[l.Server]; s != nil && s.Started.Equal(l.Started) {
		s.signals.leaving = true
	}
	return !known
}

// NameOf returns the name of the server with the ID, or the empty string if none is
// listed.
func (f *Fleet) NameOf(id ServerID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.byID[id]; s != nil {
		return s.Name
	}
	return ""
}

// Allowed reports whether the request may still be sent to the server, which may
// have changed since it was selected.
func (c *Choice) Allowed(now time.Time) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	s := c.server
	outdated := c.fleet.staleFor(now, s, c.model) >= c.fleet.stale.Limit
	return s.acceptsRequests(now) && !s.paused(now) && !s.changing(now) && !outdated && (c.WithinLimit || !s.signals.limit.exists())
}

// paused reports whether the server has asked for no requests until later.
func (s *server) paused(now time.Time) bool {
	return now.Before(s.signals.pausedUntil)
}
