package amrsoak

import (
	"net/http"
	"strings"
	"time"

	"amaranthreach.example/standin/amrsite"
)

// lossCause is the cause for which a request was not served.
type lossCause int

// The causes of losses.
const (
	causeGone    lossCause = iota // The caller met a router that was killed, stopped or paused.
	causeRefused                  // The request was refused and did not run.
	causeLate                     // The answer did not come in time.
	causeLost                     // The answer was missing, broken off or an error.
	causeCount
)

// String returns a description of the cause.
func (l lossCause) String() string {
	return [causeCount]string{"router gone", "refused, not run", "late", "lost"}[l]
}

// Names in disturbances that are no routers.
const (
	otherFaults = "other faults" // Faults by which a request may be lost although its router is not gone.
	extraLoad   = "extra load"   // Load by which requests may be refused.
	gonePrefix  = "gone/"        // Precedes the name of a router that is killed, stopped or paused.
	killPrefix  = "killed/"      // Precedes the name of a router that is killed.
)

const (
	inFlight   = 250 * time.Millisecond // Time that a request takes; those sent this long before a router is gone meet it.
	goneStep   = 10 * time.Millisecond  // Step of the integration of maxGone.
	goneFactor = 1.3                    // Factor of the expected losses,
	goneSlack  = 20                     // and a number beyond that, for chance.
)

// loadPrefix precedes the IDs of the requests of the load.
const loadPrefix = "request"

// countLoss counts a request of the load that was not served by its cause. Requests that
// take streams up do not count, since those of an unknown software version are refused,
// and requests whose key may be revoked do not. Without other faults, only the cause
// causeGone is allowed. The caller must hold c.mu.
func (c *Checker) countLoss(tracked *trackedRequest, a amrsite.Response, now time.Time) {
	r := tracked.request
	if !strings.HasPrefix(r.ID, loadPrefix) || r.LastEventID != "" || r.Key != permanentKey || r.IsComplete(a, c.streamEvents) && now.Sub(tracked.sent) <= r.Timeout+c.timeLimits.answerDelay {
		return
	}
	cause := c.lossCause(tracked, a, now)
	c.losses[cause]++
	begin := tracked.sent.Add(-c.timeLimits.lossSettle)
	if cause != causeGone && c.disturbances.undisturbed(otherFaults, begin, now) && c.disturbances.undisturbed(extraLoad, begin, now) {
		c.report("only routers that are gone lose requests", "%s, sent to %s at %s, was not served (%v): status %d from %q, %s", r.ID, tracked.router, tracked.sent.UTC().Format("15:04:05.000"), cause, a.Status, a.Stamp, a.Body)
	}
}

// lossCause returns the cause for which the request was not served. The caller must hold
// c.mu.
func (c *Checker) lossCause(tracked *trackedRequest, a amrsite.Response, now time.Time) lossCause {
	if !c.disturbances.undisturbedAlone(gonePrefix+tracked.router, tracked.sent.Add(-c.timeLimits.startUp), now) {
		return causeGone
	}
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest:
		return causeRefused
	case http.StatusRequestTimeout, http.StatusGatewayTimeout:
		return causeLate
	}
	if now.Sub(tracked.sent) > tracked.request.Timeout {
		return causeLate
	}
	return causeLost
}

// checkGone checks the number of losses by routers that were gone, unless there were other
// faults, by which requests can take longer than inFlight and meet a router later.
func (c *Checker) checkGone(routers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bound := c.disturbances.maxGone(routers, c.timeLimits.startUp); c.losses[causeGone] > bound && !c.disturbances.any(otherFaults) && !c.disturbances.any(extraLoad) {
		c.report("losses follow from the time that routers were gone", "%d requests met routers that were gone, of which %d are allowed", c.losses[causeGone], bound)
	}
}

// maxGone returns the largest number of requests of the load that meet routers which are
// gone. Callers know of it by readiness a while after; from then on, only anyRouterShare
// of the requests go there, unless all routers are gone.
func (d *disturbances) maxGone(routers int, startUp time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, to := d.goneSpan()
	from, to = from.Add(-inFlight), to.Add(startUp)
	expected := 0.0
	for t := from; t.Before(to); t = t.Add(goneStep) {
		gone, known := 0, 0
		for name := range d.intervals {
			if !strings.HasPrefix(name, gonePrefix) || !d.overlaps(name, t.Add(-startUp), t.Add(inFlight)) {
				continue
			}
			gone++
			if d.covers(name, t.Add(-readinessInterval-readinessTimeout), t.Add(-startUp)) {
				known++
			}
		}
		share := float64(gone) / float64(routers)
		if ready := routers - known; ready > 0 {
			share = share*anyRouterShare + (1-anyRouterShare)*float64(gone-known)/float64(ready)
		}
		expected += share * float64(goneStep) / float64(sendInterval) * (1 - revocableShare)
	}
	return int(expected*goneFactor) + goneSlack
}

// goneSpan returns the time from which to which any router was gone. The caller must hold d.mu.
func (d *disturbances) goneSpan() (from, to time.Time) {
	for name, intervals := range d.intervals {
		if !strings.HasPrefix(name, gonePrefix) {
			continue
		}
		for _, i := range intervals {
			if from.IsZero() || i.from.Before(from) {
				from = i.from
			}
			if i.to.After(to) {
				to = i.to
			}
		}
	}
	return from, to
}
