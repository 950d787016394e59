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

// timeLimits are the time limits of the promises.
type timeLimits struct {
	settle         time.Duration // Time without a disturbance after which the time limits apply to a router.
	recordsInForce time.Duration // Time until new configuration records are in force.
	drain          time.Duration // Time until a draining server gets no more requests.
	answerDelay    time.Duration // Time after the deadline until which the answer may end.
	orderDelay     time.Duration // Time after a disturbance of a router in which delayed orders from it may still arrive.
	leaseHandover  time.Duration // Shortest time between the orders of two lease holders to one server.
	lossSettle     time.Duration // Time after another fault, or extra load, in which requests may be lost by it.
	startUp        time.Duration // Time from the start of a router in which its callers may still be refused.
	weights        time.Duration // Time from the declaration of weights until no request begins on older ones.
	recovery       time.Duration // Longest time after the last fault until the site serves again.
}

// defaultTimeLimits are the limits in the platform's documentation for users.
var defaultTimeLimits = timeLimits{
	settle:         3 * time.Second,
	recordsInForce: 2 * time.Second,
	drain:          2 * time.Second,
	answerDelay:    500 * time.Millisecond,
	orderDelay:     300 * time.Millisecond,
	leaseHandover:  3 * time.Second,
	lossSettle:     5 * time.Second,
	startUp:        500 * time.Millisecond,
	weights:        8 * time.Second,
	recovery:       12 * time.Second,
}

// scaled returns the limits multiplied by the factor, for a machine that is busy
// with other work. It does not change leaseHandover, which is a lower limit: a
// busy machine does not shorten the time between two lease holders.
func (l timeLimits) scaled(factor float64) timeLimits {
	for _, limit := range []*time.Duration{&l.settle, &l.recordsInForce, &l.drain, &l.answerDelay, &l.orderDelay, &l.lossSettle, &l.startUp, &l.weights, &l.recovery} {
		*limit = time.Duration(float64(*limit) * factor)
	}
	return l
}

const (
	quarantineCrashes = 3 // Number of crashes after which a request must be quarantined.
	partCrashes       = 5 // Number of crashes after which a part of prompts must be quarantined.
	maxLateRuns       = 3 // Number of runs that are allowed after the quarantine should be in force.
)

// The API keys of the callers. A fault revokes revocableKey for a time.
const (
	permanentKey = "k1"
	revocableKey = "k2"
	limitedKey   = "k3" // Key of limitedTeam.
)

// Violation describes one breach of a promise.
type Violation struct {
	Promise string    // Name of the promise.
	Detail  string    // Description of the breach.
	At      time.Time // When it was detected.
}

// trackedRequest is a request that was sent and its observed effects.
type trackedRequest struct {
	request amrsite.Request
	router  string
	sent    time.Time
	refused bool // Whether it is not repeatable and its answer promises that it does not run.
	runs    int  // Number of runs that began at servers.

	rejected      bool        // A server has rejected it.
	begunAt       string      // Software version of the server that began the stream; empty until the answer has ended.
	engineRuns    []engineRun // Runs of a stream, oldest first.
	leavingServer string      // The server that ran it last, if that told that it is leaving.
}

// poisonState is the observed state of a poison request, which is a request that
// crashes each server that runs it, or of the requests with a part that does.
type poisonState struct {
	crashes        int
	quarantineTime time.Time // Time of the crash after which it must be quarantined.
	lateRuns       int       // Runs of requests sent to an undisturbed router more than the settle time after quarantineTime.
}

// keyChange is a revocation or restoration of a key in the records.
type keyChange struct {
	at    time.Time
	valid bool
}

// Checker checks the promises against the requests and answers that callers and
// backend servers observe. The promises that routers cannot keep during a
// disturbance are checked only for undisturbed requests: those whose router had
// no disturbance from the settle time before the request was sent until the
// check.
type Checker struct {
	clock        clockwork.Clock
	streamEvents int // Number of events of a complete stream.
	timeLimits   timeLimits
	disturbances *disturbances

	mu               sync.Mutex
	requests         map[string]*trackedRequest // By request ID.
	keyChanges       []keyChange                // Changes of revocableKey, oldest first.
	weights          []weightsDeclaration       // Oldest first.
	drainStarts      map[string]time.Time       // Times at which draining servers began to drain, by server name.
	poisons          map[string]*poisonState    // By the value of Request.Poison or Request.CrashingPart.
	leaving          map[link]time.Time         // When a router passed on an answer of a leaving server.
	pauses           map[link]*pause            // The last pause that a server asked a router for.
	limits           map[string]*limit          // Limits that servers name, by server.
	quotaRuns        []time.Time                // When the requests of limitedTeam were sent that ran in the last window.
	maxQuotaRuns     int                        // Most runs of it in a window.
	software         map[string]string          // Versions of the servers' software, by server.
	takenUp          served                     // Undisturbed requests that take streams up.
	allTakenUp       served                     // Requests that take streams up, also disturbed ones.
	newStreams       served                     // Undisturbed requests that begin streams that can be taken up.
	kept             served                     // Requests on kept connections, and those with an answer or a refusal.
	losses           [causeCount]int            // Requests of the load that were not served, by cause.
	powerReturn      *powerReturn               // Last return of power; nil if it is not watched.
	returns          []string                   // What became of requests after each return of power.
	violations       []Violation
	answered         int
	refused          int
	lost             int // Requests with no answer or an incomplete one.
	undisturbedCount int // Undisturbed requests.
}

// newChecker returns a checker that expects streams of the given number of
// events. The revocable key is valid at first.
func newChecker(clock clockwork.Clock, limits timeLimits, d *disturbances, streamEvents int) *Checker {
	return &Checker{
		clock: clock, streamEvents: streamEvents, timeLimits: limits, disturbances: d, requests: make(map[string]*trackedRequest),
		drainStarts: make(map[string]time.Time), poisons: make(map[string]*poisonState),
		leaving: make(map[link]time.Time), pauses: make(map[link]*pause),
		limits: make(map[string]*limit), software: make(map[string]string),
		keyChanges: []keyChange{{at: clock.Now(), valid: true}},
	}
}

// Violations returns the violations that have been detected so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// report records a violation. The caller must hold c.mu.
func (c *Checker) report(promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...), At: c.clock.Now()})
}

// Report records a violation that was detected outside the Checker.
func (c *Checker) Report(promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(promise, format, args...)
}

// recordKeyChange records that the revocable key is valid or revoked from now on.
func (c *Checker) recordKeyChange(valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyChanges = append(c.keyChanges, keyChange{at: c.clock.Now(), valid: valid})
}

// keyValidity reports whether the key was valid at any time between from and to,
// and whether it was revoked at any time between them. Both are true if the key
// changed in between. Keys other than revocableKey are always valid.
func (c *Checker) keyValidity(key string, from, to time.Time) (valid, revoked bool) {
	if key != revocableKey {
		return true, false
	}
	for i, k := range c.keyChanges {
		last := i == len(c.keyChanges)-1
		if k.at.After(to) || !last && c.keyChanges[i+1].at.Before(from) {
			continue
		}
		valid, revoked = valid || k.valid, revoked || !k.valid
	}
	return valid, revoked
}

// recordDraining records that the server drains from now on or no longer drains.
func (c *Checker) recordDraining(server string, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainStarts, server)
	if draining {
		c.drainStarts[server] = c.clock.Now()
	}
}

// recordSend records a request that is about to be sent to the router.
func (c *Checker) recordSend(r amrsite.Request, router string) *trackedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := &trackedRequest{request: r, router: router, sent: c.clock.Now()}
	c.requests[r.ID] = tracked
	return tracked
}

// checkRun checks a run of a request when it begins at a server.
func (c *Checker) checkRun(run amrsite.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	tracked := c.requests[run.ID]
	if tracked == nil {
		c.report("only sent requests", "%s runs the request %q, which no caller sent", run.Server, run.ID)
		return
	}
	tracked.runs++
	if !tracked.request.Repeatable() && tracked.runs > 1 {
		c.report("at most once", "%s was run %d times, most recently by %s", run.ID, tracked.runs, run.Server)
	}
	if tracked.refused {
		c.report("refused means not run", "%s runs at %s after it was refused", run.ID, run.Server)
	}
	if run.Header.Get(amrsite.TeamHeader) != teamOfKey(tracked.request.Key) || run.Header.Get(amrsite.KeyHeader) != "" {
		c.report("keys", "%s runs with the team header %q and the key header %q", run.ID, run.Header.Get(amrsite.TeamHeader), run.Header.Get(amrsite.KeyHeader))
	}
	c.checkDeadline(tracked, run)
	c.checkPoison(tracked, now)
	c.checkLeaving(tracked, run)
	c.checkPause(link{tracked.router, run.Server}, now)
	c.checkLimit(link{tracked.router, run.Server}, now)
	c.checkQuota(tracked, now)
	c.checkWeights(tracked, run, now)
	tracked.engineRuns = append(tracked.engineRuns, engineRun{server: run.Server, software: c.software[run.Server], goesOn: run.LastEventID != ""})
	if !c.disturbances.undisturbed(tracked.router, tracked.sent.Add(-c.timeLimits.settle), now) {
		return
	}
	if valid, _ := c.keyValidity(tracked.request.Key, tracked.sent.Add(-c.timeLimits.recordsInForce), now); !valid {
		c.report("records in force in time", "%s runs with a key that was revoked %v before it was sent", run.ID, tracked.sent.Sub(c.keyChanges[len(c.keyChanges)-1].at))
	}
	if since, draining := c.drainStarts[run.Server]; draining && tracked.sent.After(since.Add(c.timeLimits.drain)) {
		c.report("no requests to draining servers", "%s runs at %s %v after that server began to drain", run.ID, run.Server, now.Sub(since))
	}
}

// checkDeadline checks that the server received a deadline and that it exceeds
// that of the caller by at most answerDelay.
func (c *Checker) checkDeadline(tracked *trackedRequest, run amrsite.Run) {
	ms, err := strconv.Atoi(run.Header.Get(amrsite.DeadlineHeader))
	received := time.Duration(ms) * time.Millisecond
	if err != nil || received > tracked.request.Timeout+c.timeLimits.answerDelay {
		c.report("deadlines", "%s was forwarded with the deadline %q ms, its deadline was %v", run.ID, run.Header.Get(amrsite.DeadlineHeader), tracked.request.Timeout)
	}
}

// checkPoison checks that a poison request, or a part that crashes servers, is
// quarantined.
func (c *Checker) checkPoison(tracked *trackedRequest, now time.Time) {
	name, limit := tracked.request.Poison, quarantineCrashes
	if name == "" {
		name, limit = tracked.request.CrashingPart(), partCrashes
	}
	if name == "" {
		return
	}
	p := c.poisons[name]
	if p == nil {
		p = &poisonState{}
		c.poisons[name] = p
	}
	p.crashes++
	if p.crashes == limit {
		p.quarantineTime = now
	}
	late := p.crashes > limit && tracked.sent.After(p.quarantineTime.Add(c.timeLimits.settle))
	if !late || !c.disturbances.undisturbed(tracked.router, tracked.sent.Add(-c.timeLimits.settle), now) {
		return
	}
	if p.lateRuns++; p.lateRuns == maxLateRuns+1 {
		c.report("quarantine", "%s has crashed %d servers, %d of them after its quarantine should have been in force", tracked.request.ID, p.crashes, p.lateRuns)
	}
}

// checkAnswer checks the answer to a request. The error is not nil if there was
// none.
func (c *Checker) checkAnswer(tracked *trackedRequest, a amrsite.Response, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if tracked.request.LastEventID != "" && a.Status != 0 {
		c.allTakenUp.count(a)
	}
	id, undisturbed := tracked.request.ID, c.disturbances.undisturbed(tracked.router, tracked.sent.Add(-c.timeLimits.settle), now)
	if undisturbed {
		c.undisturbedCount++
		c.countTakenUp(tracked, a)
	}
	c.countLoss(tracked, a, now)
	c.countReturn(tracked, a)
	c.recordTold(tracked, a, now)
	c.checkSoftware(tracked, a)
	c.checkEvents(tracked, a)
	if undisturbed && now.Sub(tracked.sent) > tracked.request.Timeout+c.timeLimits.answerDelay {
		c.report("an answer in time", "%s ended %v after it was sent, its deadline was %v", id, now.Sub(tracked.sent), tracked.request.Timeout)
	}
	switch {
	case err != nil:
		c.lost++
		if undisturbed && tracked.runs > 0 {
			c.report("an answer", "%s ran and got no answer: %v", id, err)
		}
	case a.Err != nil:
		c.lost++
	case a.Status == http.StatusOK:
		c.answered++
		c.recordLeaving(tracked, now)
		if !tracked.request.IsComplete(a, c.streamEvents) {
			c.report("complete answers", "%s got an incomplete or wrong answer with status 200 from %q, %d bytes: %q", id, a.Stamp, len(a.Body), a.Body)
		}
		if tracked.runs == 0 {
			c.report("complete answers", "%s got an answer with status 200 from %q, but no server ran it", id, a.Stamp)
		}
	default:
		c.refused++
		c.checkRefusal(tracked, a, undisturbed)
	}
}

// checkRefusal checks an answer that reports a failure. The status tells whether
// the router promises that the request does not run.
func (c *Checker) checkRefusal(tracked *trackedRequest, a amrsite.Response, undisturbed bool) {
	id := tracked.request.ID
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		tracked.refused = !tracked.request.Repeatable()
		if tracked.refused && tracked.runs > 0 {
			c.report("refused means not run", "%s was refused with %d after it had run", id, a.Status)
		}
	case http.StatusUnauthorized:
		if _, revoked := c.keyValidity(tracked.request.Key, tracked.sent.Add(-c.timeLimits.recordsInForce), c.clock.Now()); undisturbed && !revoked {
			c.report("allowed requests", "%s was refused with %d", id, a.Status)
		}
		if tracked.request.Key == permanentKey {
			c.report("allowed requests", "%s was refused with %d, although its key was never revoked", id, a.Status)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
	default:
		c.report("allowed requests", "%s was refused with %d", id, a.Status)
	}
}

// checkOrders checks that the orders that a server accepted come from one lease
// holder at a time. The orders must be sorted by time.
func (c *Checker) checkOrders(server string, orders []amrsite.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 1; i < len(orders); i++ {
		previous, order := orders[i-1], orders[i]
		if !c.disturbances.undisturbed(order.Holder, order.At.Add(-c.timeLimits.orderDelay), order.At) {
			continue
		}
		if order.Fence < previous.Fence || order.Fence == previous.Fence && order.Holder != previous.Holder {
			c.report("one holder", "%s accepted an order from %s with the fence %d after one from %s with the fence %d", server, order.Holder, order.Fence, previous.Holder, previous.Fence)
		}
		if order.Holder != previous.Holder && order.At.Sub(previous.At) < c.timeLimits.leaseHandover {
			c.report("one holder", "%s accepted orders from both %s and %s within %v", server, previous.Holder, order.Holder, order.At.Sub(previous.At))
		}
	}
}
