package amrsoak

import (
	"strconv"
	"time"

	"amaranthreach.example/standin/amrsite"
)

const (
	limitWindow   = 4 * time.Second        // Window in which the requests to a server with a limit are counted.
	limitFactor   = 1.5                    // Multiple of its limit that a server may get in a window,
	limitSlack    = 5                      // and the number of requests beyond that.
	toldDelay     = 500 * time.Millisecond // Time after a router has passed on an answer with a limit from which its requests count.
	minLimitTime  = 8 * time.Second        // Shortest time for which a server names a limit.
	limitPerFault = 1.7                    // Limit per second for each of fault.FaultyRequests.
)

// limit is a limit that a server names.
type limit struct {
	perSecond float64
	named     time.Time
	told      map[string]time.Time // When each router first passed on an answer with the limit, by router.
	arrivals  []arrival
	exceeded  bool
}

// arrival is a request that arrived at a server with a limit.
type arrival struct {
	router string
	at     time.Time
}

// nameLimit lets the server name a limit in its responses for a time.
func (s *site) nameLimit(b *server, f fault) {
	perSecond := float64(f.FaultyRequests) * limitPerFault
	b.SetLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	s.checker.recordLimit(b.Name, perSecond)
	s.clock.Sleep(minLimitTime + f.Length)
	s.checker.recordLimit(b.Name, 0)
	b.SetLimit("")
}

// recordLimit records that the server names the limit from now on, or none if it is 0.
func (c *Checker) recordLimit(server string, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limits, server)
	if perSecond > 0 {
		c.limits[server] = &limit{perSecond: perSecond, named: c.clock.Now(), told: make(map[string]time.Time)}
	}
}

// recordTold records that the router has passed on an answer of a server which names a
// limit. The caller must hold c.mu.
func (c *Checker) recordTold(tracked *trackedRequest, a amrsite.Response, now time.Time) {
	l := c.limits[amrsite.ServerOfStamp(a.Stamp)]
	if l == nil || tracked.sent.Before(l.named) {
		return
	}
	if _, ok := l.told[tracked.router]; !ok {
		l.told[tracked.router] = now
	}
}

// checkLimit counts a request that arrived at the server, and checks its limit. Requests
// of routers that were disturbed since the server named the limit do not count. The caller
// must hold c.mu.
func (c *Checker) checkLimit(from link, now time.Time) {
	l := c.limits[from.server]
	if l == nil {
		return
	}
	l.arrivals = append(l.arrivals, arrival{from.router, now})
	if l.exceeded || now.Before(l.named.Add(c.timeLimits.settle+limitWindow)) {
		return
	}
	n := 0
	for _, a := range l.arrivals {
		told, ok := l.told[a.router]
		if ok && now.Sub(a.at) < limitWindow && a.at.Sub(told) >= toldDelay && c.disturbances.undisturbedAlone(a.router, l.named, now) {
			n++
		}
	}
	if float64(n) > limitFactor*l.perSecond*limitWindow.Seconds()+limitSlack {
		l.exceeded = true
		c.report("limits of servers", "%s got %d requests in %v from routers that it had told its limit of %v a second", from.server, n, limitWindow, l.perSecond)
	}
}
