package amrsoak

import (
	"strconv"
	"time"

	"amaranthreach.example/standin/amrsite"
)

const (
	// pauseDelay is the time after a rejection with Retry-After in which further
	// requests may still arrive at the server.
	pauseDelay = 500 * time.Millisecond

	// maxPauseArrivals is the number of requests of a router that may arrive at a
	// server after pauseDelay, until the end of the time that it asked for.
	maxPauseArrivals = 2
)

// link is the path from a router to a backend server.
type link struct {
	router, server string
}

// pause is a time for which a server asked a router for no requests.
type pause struct {
	asked, until time.Time
	arrivals     int // Requests that arrived at the server after pauseDelay.
}

// recordLeaving records that the router has passed on an answer in which the server
// told that it is leaving. The caller must hold c.mu.
func (c *Checker) recordLeaving(tracked *trackedRequest, now time.Time) {
	l := link{tracked.router, tracked.leavingServer}
	if _, ok := c.leaving[l]; !ok && tracked.leavingServer != "" {
		c.leaving[l] = now
	}
}

// checkLeaving checks that a leaving server gets no requests from a router that has
// passed on one of its answers. It does not matter whether the router can reach the
// store. The caller must hold c.mu.
func (c *Checker) checkLeaving(tracked *trackedRequest, run amrsite.Run) {
	if !run.Leaving {
		return
	}
	tracked.leavingServer = run.Server
	told, ok := c.leaving[link{tracked.router, run.Server}]
	if ok && tracked.sent.After(told.Add(c.timeLimits.drain)) {
		c.report("no requests to leaving servers", "%s runs at %s, although %s had passed on an answer of that leaving server %v before it was sent", run.ID, run.Server, tracked.router, tracked.sent.Sub(told))
	}
}

// checkRejection checks a rejection by the server. The value of its Retry-After
// header is empty if it has none.
func (c *Checker) checkRejection(server, id, retryAfter string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.requests[id]
	if tracked == nil {
		return // A report or an order.
	}
	tracked.rejected = true
	now := c.clock.Now()
	l := link{tracked.router, server}
	c.checkPause(l, now)
	c.checkLimit(l, now)
	if seconds, err := strconv.Atoi(retryAfter); err == nil {
		c.pauses[l] = &pause{asked: now, until: now.Add(time.Duration(seconds) * time.Second)}
	}
}

// checkPause checks that a server which asked for no requests gets none. The caller
// must hold c.mu.
func (c *Checker) checkPause(l link, now time.Time) {
	p := c.pauses[l]
	if p == nil || now.Before(p.asked.Add(pauseDelay)) || now.After(p.until) {
		return
	}
	p.arrivals++
	if p.arrivals == maxPauseArrivals+1 && c.disturbances.undisturbedAlone(l.router, p.asked, now) {
		c.report("no requests to servers that ask for none", "%d requests of %s arrived at %s between %v and %v after it asked for none", p.arrivals, l.router, l.server, pauseDelay, now.Sub(p.asked))
	}
}

// forgetSignals forgets what servers told the router, because it was restarted or
// paused.
func (c *Checker) forgetSignals(router string) {
	c.forgetLinks(func(l link) bool { return l.router == router })
}

// forgetServer forgets what the server told routers, because it was restarted.
func (c *Checker) forgetServer(server string) {
	c.forgetLinks(func(l link) bool { return l.server == server })
}

func (c *Checker) forgetLinks(match func(link) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.leaving {
		if match(l) {
			delete(c.leaving, l)
		}
	}
	for _, limit := range c.limits {
		for router := range limit.told {
			if match(link{router: router}) {
				delete(limit.told, router)
			}
		}
	}
	for l := range c.pauses {
		if match(l) {
			delete(c.pauses, l)
		}
	}
}
