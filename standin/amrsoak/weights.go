package amrsoak

import (
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrsite"
)

// linkFaults is the name in disturbances of faults of links. While one is active, the time from
// the declaration of weights to their use does not count.
const linkFaults = "link faults"

// weightsPromise is the name of the promise that checkWeights checks.
const weightsPromise = "declared weights in time"

// rollingRestartGap is the time between the signals to two routers in a rolling restart.
const rollingRestartGap = time.Second

// weightsDeclaration is a version of the weights and the time from which the store had it.
type weightsDeclaration struct {
	at      time.Time
	version int
}

// disturbsLinks reports whether the fault disturbs a link.
func (k faultKind) disturbsLinks() bool {
	switch k {
	case callersLink, storeLink, serverLink, peersLink, routerCut, splitAnswers:
		return true
	}
	return false
}

// recordWeights records that the store has the version of the weights from now on.
func (c *Checker) recordWeights(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weights = append(c.weights, weightsDeclaration{at: c.clock.Now(), version: version})
}

// checkWeights checks that a request does not begin on older weights than those that were
// declared longer ago than the time limit. It is checked if neither the store nor a link was
// disturbed in that time, and the router ran without a disturbance for the settle time. The caller must hold c.mu.
func (c *Checker) checkWeights(tracked *trackedRequest, run amrsite.Run, now time.Time) {
	due := 0
	begin := now.Add(-c.timeLimits.weights)
	for _, w := range c.weights {
		if !w.at.After(begin) {
			due = w.version
		}
	}
	if !tracked.request.Stream() || run.Version >= due { // Only engines, which run the streams, have weights.
		return
	}
	since := tracked.sent.Add(-c.timeLimits.settle)
	if !c.disturbances.undisturbedAlone(gonePrefix+tracked.router, since, now) || !c.disturbances.undisturbed(tracked.router, since, now) {
		return
	}
	if !c.disturbances.undisturbedAlone(allRouters, begin.Add(-c.timeLimits.settle), now) || !c.disturbances.undisturbedAlone(linkFaults, begin, now) {
		return
	}
	c.report(weightsPromise, "%s, sent to %s, begins at %s on version %d of the weights, and version %d was declared more than %v ago", tracked.request.ID, tracked.router, run.Server, run.Version, due, c.timeLimits.weights)
}

// rollingRestart stops one router after the other and starts each again after the down time.
// With a long delay of stops, all of them are stopping when it publishes new weights.
func (s *site) rollingRestart(down time.Duration) error {
	var group errgroup.Group
	for _, r := range s.routers {
		group.Go(func() error { return s.restart(r, syscall.SIGTERM, down) })
		s.clock.Sleep(rollingRestartGap)
	}
	s.publishWeights()
	err := group.Wait()
	s.clock.Sleep(s.checker.timeLimits.weights) // Requests are still checked against the new weights.
	return err
}
