package amrsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrsite"
)

// otherThanPower is the name in disturbances of all faults but losses of power.
const otherThanPower = "faults other than losses of power"

// returnPromise is the name of the promise that checkReturn checks.
const returnPromise = "service returns with power"

const (
	maxGroupGap  = 300 * time.Millisecond // Longest time between the loss, or the return, of two groups of machines.
	maxWithinGap = 50 * time.Millisecond  // Longest time between two machines of a group.
	maxEndTime   = 5 * time.Second        // Longest time for which servers that are back end the connections of requests.
	returnWatch  = 6 * time.Second        // Time for which the requests are counted from the time limit of a recovery on.

	minReturnRequests = 40 // Number of requests from which minServedShare is checked.
)

// powerReturn is the return of power, and what became of the requests of the load since then,
// by the second in which they were sent.
type powerReturn struct {
	at     time.Time
	served []served
}

// machineGroup is a group of machines that lose power, and get it back, one after the other.
type machineGroup struct {
	machines int
	lose     func(i int) error
	restore  func(i int) error
}

// losePower lets all routers, servers and the store lose power, in any order, and return in
// any order. Then it watches which requests are served.
func (s *site) losePower(f fault) error {
	s.powerMu.Lock()
	defer s.powerMu.Unlock()
	random := randomOf(f)
	endTime := time.Duration(random.Int64N(int64(maxEndTime)))
	dark := random.IntN(2) == 0
	ends := []func(time.Time){s.checker.disturbances.begin(allRouters, s.clock.Now()), s.checker.disturbances.begin(linkFaults, s.clock.Now())}
	for _, r := range s.routers {
		ends = append(ends, s.checker.disturbances.begin(gonePrefix+r.name, s.clock.Now()), s.checker.disturbances.begin(killPrefix+r.name, s.clock.Now()))
	}
	groups := []machineGroup{s.routerMachines(), s.serverMachines(dark, endTime), s.storeMachine()}
	err := s.inGroups(random, groups, func(g machineGroup, i int) error { return g.lose(i) })
	s.clock.Sleep(f.Length)
	err = errors.Join(err, s.inGroups(random, groups, func(g machineGroup, i int) error { return g.restore(i) }))
	for _, end := range ends {
		end(s.clock.Now())
	}
	s.watchReturn(endTime)
	return err
}

// watchReturn watches which requests are served after the return of power, and lets servers
// serve when they have ended the connections of requests for endTime.
func (s *site) watchReturn(endTime time.Duration) {
	s.checker.recordReturn()
	s.clock.Sleep(endTime)
	for _, b := range s.servers {
		b.proxy.Set(ProxyFaults{})
	}
	s.clock.Sleep(s.checker.timeLimits.recovery + returnWatch - endTime)
	s.checker.checkReturn()
}

// inGroups calls the function for each machine, group after group in random order.
func (s *site) inGroups(random *rand.Rand, groups []machineGroup, do func(g machineGroup, i int) error) error {
	var pending errgroup.Group
	for _, n := range random.Perm(len(groups)) {
		for _, i := range random.Perm(groups[n].machines) {
			pending.Go(func() error { return do(groups[n], i) })
			s.clock.Sleep(time.Duration(random.Int64N(int64(maxWithinGap))))
		}
		s.clock.Sleep(time.Duration(random.Int64N(int64(maxGroupGap))))
	}
	return pending.Wait()
}

// routerMachines returns the machines of the routers.
func (s *site) routerMachines() machineGroup {
	return machineGroup{
		machines: len(s.routers),
		lose: func(i int) error {
			s.checker.forgetSignals(s.routers[i].name)
			return s.routers[i].Stop(syscall.SIGKILL)
		},
		restore: func(i int) error { return s.routers[i].Start() },
	}
}

// serverMachines returns the machines of the servers. Without power they say nothing if dark,
// or else refuse connections. When they are back, they end the connections of requests until
// watchReturn ends that, unless the time is short.
func (s *site) serverMachines(dark bool, endTime time.Duration) machineGroup {
	gone := ProxyFaults{Refuse: true}
	if dark {
		gone = ProxyFaults{HoldTo: true, HoldFrom: true}
	}
	return machineGroup{
		machines: len(s.servers),
		lose: func(i int) error {
			s.servers[i].proxy.Set(gone)
			if !dark {
				s.servers[i].proxy.Reset()
			}
			return nil
		},
		restore: func(i int) error {
			b := s.servers[i]
			b.proxy.Reset()
			b.proxy.Set(ProxyFaults{End: endTime > maxEndTime/2})
			s.restartServer(b)
			return nil
		},
	}
}

// storeMachine returns the machine of the store.
func (s *site) storeMachine() machineGroup {
	return machineGroup{
		machines: 1,
		lose:     func(int) error { s.store.SetFaults(amrsite.StoreFaults{Down: true}); return nil },
		restore:  func(int) error { s.store.SetFaults(amrsite.StoreFaults{}); return nil },
	}
}

// recordReturn records that power has returned everywhere.
func (c *Checker) recordReturn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.powerReturn = &powerReturn{at: c.clock.Now()}
}

// countReturn counts a request of the load that was sent since the last return of power. The
// caller must hold c.mu.
func (c *Checker) countReturn(tracked *trackedRequest, a amrsite.Response) {
	if c.powerReturn == nil || !strings.HasPrefix(tracked.request.ID, loadPrefix) || tracked.request.Key != permanentKey || tracked.sent.Before(c.powerReturn.at) {
		return
	}
	second := int(tracked.sent.Sub(c.powerReturn.at) / time.Second)
	for len(c.powerReturn.served) <= second {
		c.powerReturn.served = append(c.powerReturn.served, served{})
	}
	count := &c.powerReturn.served[second]
	count.all++
	if tracked.request.IsComplete(a, c.streamEvents) {
		count.served++
	}
}

// checkReturn checks the share of the requests that were served from the time limit of a
// recovery after the return of power on, unless there were other faults since the return.
func (c *Checker) checkReturn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.powerReturn = nil }()
	c.returns = append(c.returns, c.powerReturn.String())
	if !c.disturbances.undisturbedAlone(otherThanPower, c.powerReturn.at, c.clock.Now()) {
		return
	}
	var late served
	limit := int(c.timeLimits.recovery / time.Second)
	for _, second := range c.powerReturn.served[min(limit, len(c.powerReturn.served)):] {
		late.all += second.all
		late.served += second.served
	}
	if late.all >= minReturnRequests && float64(late.served) < minServedShare*float64(late.all) {
		c.report(returnPromise, "%d of %d requests were served that were sent %v after power returned or later; %s", late.served, late.all, c.timeLimits.recovery, c.powerReturn)
	}
}

// String returns the share of the requests that were served in each second.
func (p *powerReturn) String() string {
	var b strings.Builder
	b.WriteString("served in each second:")
	for _, second := range p.served {
		fmt.Fprintf(&b, " %.2f", float64(second.served)/float64(max(second.all, 1)))
	}
	return b.String()
}
