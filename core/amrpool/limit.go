package amrpool

import "time"

// RateLimit is what a response says about the requests per second that its server
// takes from all routers together.
type RateLimit struct {
	Stated    bool    // Whether the response says anything about a limit.
	PerSecond float64 // 0 if the server names no limit.
}

// rateLimit is the limit that an incarnation of a server has named, as of the response
// that stated it. The zero value is that of a server that has named none.
type rateLimit struct {
	perSecond  float64   // 0 if there is no limit.
	sentAt     time.Time // Time at which the request of the response was sent.
	receivedAt time.Time // Time at which the response arrived.
}

// exists reports whether the server has a limit.
func (l rateLimit) exists() bool {
	return l.perSecond > 0
}

// updated returns the limit after the given statement, and reports whether it replaced
// l. Of two statements of which neither is known to be the later one, because each
// request was sent before the response to the other arrived, the lower limit holds.
func (l rateLimit) updated(next rateLimit) (rateLimit, bool) {
	switch {
	case next.receivedAt.Before(l.sentAt):
		return l, false
	case next.sentAt.Before(l.receivedAt) && l.exists() && (!next.exists() || next.perSecond > l.perSecond):
		return l, false
	case !l.exists() && !next.exists():
		return l, false
	}
	return next, true
}

const (
	// limitBurst is the time of which the requests that a server with a limit was not
	// sent may be made up at once.
	limitBurst = 500 * time.Millisecond

	// minTurn and maxTurn are the shortest and the longest time after which a caller is
	// told to come back because of limits.
	minTurn = 20 * time.Millisecond
	maxTurn = 5 * time.Second

	// announceInterval is the minimum time between two announcements of a limit that
	// has not changed, to routers that seem not to know it.
	announceInterval = 250 * time.Millisecond
)

// interval returns the time between two requests to a server with the limit, of which
// the share may be used.
func (l rateLimit) interval(share float64) time.Duration {
	return time.Duration(float64(time.Second) / (l.perSecond * share))
}

// limitShare returns the share of the servers' limits that may be used for the request.
func (r *Request) limitShare() float64 {
	if r.LimitShare <= 0 {
		return 1
	}
	return r.LimitShare
}

// withinLimit reports whether the server may get the request without exceeding its
// limit, if it has one. The requests are spread by the generic cell rate algorithm
// (ITU-T I.371): nextDue is the time at which the next one is due, and it may be sent
// up to limitBurst earlier.
func (s *server) withinLimit(now time.Time, r *Request) bool {
	if !s.signals.limit.exists() {
		return true
	}
	return !r.ExcludeLimited && !now.Add(limitBurst).Before(s.due())
}

// countLimited counts the request towards the limit of the chosen server.
func (c *Choice) countLimited(now time.Time, r *Request) {
	s := c.server
	if !s.signals.limit.exists() {
		return
	}
	c.WithinLimit = true
	c.limitInterval = s.signals.limit.interval(r.limitShare())
	s.nextDue = later(s.due(), now).Add(c.limitInterval)
}

// due returns the time at which the next request to the server is due.
func (s *server) due() time.Time {
	return later(s.nextDue, s.signals.usedUntil)
}

// uncountLimited takes back countLimited for a request that was not sent.
func (c *Choice) uncountLimited() {
	c.server.nextDue = c.server.nextDue.Add(-c.limitInterval)
	c.limitInterval = 0
}

// takeTurn returns the time after which a caller should come back because the servers
// have reached their limits. Callers are given one turn after another at the rate of the
// limits, so that they do not all come back at once. An explanation takes no turn.
func (f *Fleet) takeTurn(now time.Time, limited []*server) time.Duration {
	first := limited[0]
	for _, s := range limited {
		if s.nextTurnAt(now).Before(first.nextTurnAt(now)) {
			first = s
		}
	}
	turn := first.nextTurnAt(now)
	if turn.Sub(now) >= maxTurn {
		return maxTurn
	}
	if !f.explaining {
		first.nextTurn = turn.Add(first.signals.limit.interval(1))
	}
	return turn.Sub(now)
}

// nextTurnAt returns the time at which the next caller may come back to the server.
func (s *server) nextTurnAt(now time.Time) time.Time {
	due := later(s.due().Add(-limitBurst), now.Add(minTurn))
	return later(due, s.nextTurn)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HasLimit reports whether a server of the pool has a limit, so that routers must agree
// on the requests that it gets.
func (f *Fleet) HasLimit(pool string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.pools[pool] {
		if s.signals.limit.exists() {
			return true
		}
	}
	return false
}

// LimitNotice tells the other routers of the limit of a server.
type LimitNotice struct {
	Server     ServerID
	Started    time.Time // Identifies the incarnation.
	PerSecond  float64   // 0 if the server names no limit any more.
	SentAt     time.Time // Time at which the request was sent whose response stated it.
	ReceivedAt time.Time // Time at which that response arrived.
}

// limit returns the limit that the notice tells of.
func (n LimitNotice) limit() rateLimit {
	return rateLimit{perSecond: n.PerSecond, sentAt: n.SentAt, receivedAt: n.ReceivedAt}
}

// announceLimit queues the limit of the server for the other routers.
func (f *Fleet) announceLimit(now time.Time, s *server, l rateLimit) {
	s.announcedAt = now
	f.limits = append(f.limits, LimitNotice{
		Server: s.id, Started: s.Started, PerSecond: l.perSecond, SentAt: l.sentAt, ReceivedAt: l.receivedAt,
	})
	f.notify()
}

// announceLimitAgain announces a limit that another router seems not to know, unless it
// was announced just before.
func (f *Fleet) announceLimitAgain(now time.Time, s *server, l rateLimit) {
	if now.Sub(s.announcedAt) >= announceInterval {
		f.announceLimit(now, s, l)
	}
}

// TakeLimits returns the limits that the other routers must be told of, and forgets that.
func (f *Fleet) TakeLimits() []LimitNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := f.limits
	f.limits = nil
	return limits
}

// ApplyLimit records the limit of a server of which another router was told, and reports
// whether the limit changed. A router that knows better announces what it knows. This
// router may not have a listing of the server yet.
func (f *Fleet) ApplyLimit(now time.Time, n LimitNotice) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applyLimit(now, n)
}

// applyLimit is ApplyLimit. The caller must hold f.mu.
func (f *Fleet) applyLimit(now time.Time, n LimitNotice) (changed bool) {
	signals := f.signals.of(n.Server, n.Started)
	s := f.byID[n.Server]
	if s != nil && !s.Started.Equal(n.Started) {
		s = nil
	}
	if s != nil {
		signals = s.signals // Has later statements of the same limit, too.
	}
	limit, replaced := signals.limit.updated(n.limit())
	if !replaced {
		if s != nil && limit.perSecond != n.PerSecond {
			f.announceLimitAgain(now, s, limit)
		}
		return false
	}
	changed = limit.perSecond != signals.limit.perSecond
	signals.limit = limit
	f.signals.put(n.Server, signals)
	if s != nil {
		s.signals = signals
	}
	return changed
}
