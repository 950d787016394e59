package amrsoak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/standin/amrsite"
)

// bounds are the bounds of time of the promises.
type bounds struct {
	contact time.Duration // Without trouble, after which a router is in touch.
	records time.Duration // In which new records are in force.
	drain   time.Duration // In which a leaving server gets nothing any more.
	answer  time.Duration // Beyond the deadline, in which there is an answer.
	thaw    time.Duration // After trouble, in which late orders are excused.
	lease   time.Duration // Between orders of two holders to one server.
	recover time.Duration // After the last fault, in which the site serves again.
}

// standardBounds are the bounds of the users' pages.
var standardBounds = bounds{
	contact: 3 * time.Second,
	records: 2 * time.Second,
	drain:   2 * time.Second,
	answer:  500 * time.Millisecond,
	thaw:    300 * time.Millisecond,
	lease:   3 * time.Second,
	recover: 12 * time.Second,
}

// stretched returns the bounds for a machine that is busy with other work. The
// time between holders stays: a busy machine does not make them wait less.
func (b bounds) stretched(factor float64) bounds {
	for _, d := range []*time.Duration{&b.contact, &b.records, &b.drain, &b.answer, &b.thaw, &b.recover} {
		*d = time.Duration(float64(*d) * factor)
	}
	return b
}

const (
	poisonStrikes = 3 // Crashes after which a request is to be stopped.
	poisonRetries = 3 // Runs that may follow.
)

// The keys of the callers. The second one is revoked and given back.
const (
	steadyKey    = "k1"
	revocableKey = "k2"
)

// Finding is a promise that was broken.
type Finding struct {
	Promise string
	What    string
	At      time.Time
}

// record is what is known of a request.
type record struct {
	request amrsite.Request
	router  string
	sent    time.Time
	refused bool // With the promise that it does not run.
	runs    int
}

// poison is what is known of a request that breaks each server that runs it.
type poison struct {
	crashes int
	third   time.Time // When the third server broke.
	later   int       // Runs that routers in touch sent later than the contact time after that.
}

// change is a change of what the records allow.
type change struct {
	at      time.Time
	allowed bool
}

// Check compares what callers and backend servers see with the promises.
type Check struct {
	clock    clockwork.Clock
	events   int // Of a stream.
	bounds   bounds
	troubles *troubles

	mu        sync.Mutex
	requests  map[string]*record
	keys      []change             // Of the revocable key.
	leaving   map[string]time.Time // By server: when it was told to leave.
	poisons   map[string]*poison   // By the name of what breaks servers.
	findings  []Finding
	answered  int
	refused   int
	lost      int // No answer, or one that broke off.
	judgeable int // Sent to routers in touch.
}

// newCheck returns a check of streams of so many events.
func newCheck(clock clockwork.Clock, b bounds, t *troubles, events int) *Check {
	return &Check{
		clock: clock, events: events, bounds: b, troubles: t, requests: make(map[string]*record),
		leaving: make(map[string]time.Time), poisons: make(map[string]*poison),
		keys: []change{{at: clock.Now(), allowed: true}},
	}
}

// Findings returns the broken promises so far.
func (c *Check) Findings() []Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Finding(nil), c.findings...)
}

func (c *Check) report(promise, format string, args ...any) {
	c.findings = append(c.findings, Finding{Promise: promise, What: fmt.Sprintf(format, args...), At: c.clock.Now()})
}

// Report notes a broken promise that was seen elsewhere.
func (c *Check) Report(promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(promise, format, args...)
}

// keyChanged notes that the revocable key is allowed from now on, or not.
func (c *Check) keyChanged(allowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = append(c.keys, change{at: c.clock.Now(), allowed: allowed})
}

// allowance returns whether the key may be taken and may be refused between
// the times.
func (c *Check) allowance(key string, from, to time.Time) (allowed, revoked bool) {
	if key != revocableKey {
		return true, false
	}
	for i, k := range c.keys {
		last := i == len(c.keys)-1
		if k.at.After(to) || !last && c.keys[i+1].at.Before(from) {
			continue
		}
		allowed, revoked = allowed || k.allowed, revoked || !k.allowed
	}
	return allowed, revoked
}

// left notes that the server was told to leave, or is back.
func (c *Check) left(server string, leaves bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leaving, server)
	if leaves {
		c.leaving[server] = c.clock.Now()
	}
}

// sending notes a request before it is sent.
func (c *Check) sending(r amrsite.Request, router string) *record {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := &record{request: r, router: router, sent: c.clock.Now()}
	c.requests[r.ID] = found
	return found
}

// ran checks a run as it begins at a server.
func (c *Check) ran(run amrsite.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	found := c.requests[run.ID]
	if found == nil {
		c.report("unasked", "%s runs %q, which nobody sent", run.Server, run.ID)
		return
	}
	found.runs++
	if !found.request.Repeatable() && found.runs > 1 {
		c.report("at most once", "%s is run %d times, last by %s", run.ID, found.runs, run.Server)
	}
	if found.refused {
		c.report("refused means not run", "%s runs at %s after its refusal", run.ID, run.Server)
	}
	if run.Header.Get(amrsite.TeamHeader) != amrsite.Team || run.Header.Get(amrsite.KeyHeader) != "" {
		c.report("keys", "%s runs for the team %q, with the key %q", run.ID, run.Header.Get(amrsite.TeamHeader), run.Header.Get(amrsite.KeyHeader))
	}
	c.checkTime(found, run)
	c.checkPoison(found, now)
	if !c.troubles.calm(found.router, found.sent.Add(-c.bounds.contact), now) {
		return
	}
	if allowed, _ := c.allowance(found.request.Key, found.sent.Add(-c.bounds.records), now); !allowed {
		c.report("records in force in time", "%s runs with a key that was revoked %v before it was sent", run.ID, found.sent.Sub(c.keys[len(c.keys)-1].at))
	}
	if since, leaves := c.leaving[run.Server]; leaves && found.sent.After(since.Add(c.bounds.drain)) {
		c.report("leaving servers", "%s is sent to %s %v after it was told to leave", run.ID, run.Server, now.Sub(since))
	}
}

// checkTime checks that a server is told no more time than is left.
func (c *Check) checkTime(found *record, run amrsite.Run) {
	ms, err := strconv.Atoi(run.Header.Get(amrsite.DeadlineHeader))
	given := time.Duration(ms) * time.Millisecond
	if err != nil || given > found.request.Deadline+c.bounds.answer {
		c.report("deadlines", "%s is handed on with the deadline %q of %v", run.ID, run.Header.Get(amrsite.DeadlineHeader), found.request.Deadline)
	}
}

// checkPoison checks that a request which breaks servers is stopped.
func (c *Check) checkPoison(found *record, now time.Time) {
	name := found.request.Poison
	if name == "" {
		return
	}
	p := c.poisons[name]
	if p == nil {
		p = &poison{}
		c.poisons[name] = p
	}
	p.crashes++
	if p.crashes == poisonStrikes {
		p.third = now
	}
	late := p.crashes > poisonStrikes && found.sent.After(p.third.Add(c.bounds.contact))
	if !late || !c.troubles.calm(found.router, found.sent.Add(-c.bounds.contact), now) {
		return
	}
	if p.later++; p.later == poisonRetries+1 {
		c.report("requests that break servers", "%s breaks %d servers, %d of them late", found.request.ID, p.crashes, p.later)
	}
}

// ended checks the answer of a request, or that it got none.
func (c *Check) ended(found *record, a amrsite.Response, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	id, calm := found.request.ID, c.troubles.calm(found.router, found.sent.Add(-c.bounds.contact), now)
	if calm {
		c.judgeable++
	}
	if calm && now.Sub(found.sent) > found.request.Deadline+c.bounds.answer {
		c.report("an answer in time", "%s ends %v after it was sent, its deadline was %v", id, now.Sub(found.sent), found.request.Deadline)
	}
	switch {
	case err != nil:
		c.lost++
		if calm && found.runs > 0 {
			c.report("an answer", "%s ran and has no answer: %v", id, err)
		}
	case a.Err != nil:
		c.lost++
	case a.Status == http.StatusOK:
		c.answered++
		if !found.request.IsComplete(a, c.events) {
			c.report("whole answers", "%s has a success by %q of %d bytes that is not whole: %q", id, a.Stamp, len(a.Body), a.Body)
		}
		if found.runs == 0 {
			c.report("whole answers", "%s has a success by %q, and nothing ran it", id, a.Stamp)
		}
	default:
		c.refused++
		c.checkRefusal(found, a, calm)
	}
}

func (c *Check) checkRefusal(found *record, a amrsite.Response, calm bool) {
	id := found.request.ID
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		found.refused = !found.request.Repeatable()
		if found.refused && found.runs > 0 {
			c.report("refused means not run", "%s was refused with %d after it had run", id, a.Status)
		}
	case http.StatusUnauthorized:
		if _, revoked := c.allowance(found.request.Key, found.sent.Add(-c.bounds.records), c.clock.Now()); calm && !revoked {
			c.report("allowed requests", "%s was refused with %d", id, a.Status)
		}
		if found.request.Key == steadyKey {
			c.report("allowed requests", "%s was refused with %d, though its key was always allowed", id, a.Status)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
	default:
		c.report("allowed requests", "%s was refused with %d", id, a.Status)
	}
}

// checkOrders checks the orders that a server took.
func (c *Check) checkOrders(server string, orders []amrsite.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 1; i < len(orders); i++ {
		was, is := orders[i-1], orders[i]
		if !c.troubles.calm(is.Holder, is.At.Add(-c.bounds.thaw), is.At) {
			continue
		}
		if is.Fence < was.Fence || is.Fence == was.Fence && is.Holder != was.Holder {
			c.report("one holder", "%s takes an order of %s with the fence %d after one of %s with %d", server, is.Holder, is.Fence, was.Holder, was.Fence)
		}
		if is.Holder != was.Holder && is.At.Sub(was.At) < c.bounds.lease {
			c.report("one holder", "%s takes orders of %s and %s within %v", server, was.Holder, is.Holder, is.At.Sub(was.At))
		}
	}
}
