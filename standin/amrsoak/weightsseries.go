package amrsoak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrsite"
)

const (
	latePromptInterval = 100 * time.Millisecond // Time between two streams that begin late.
	latePromptTimeout  = 12 * time.Second       // Timeout of these.
	minLateBegin       = time.Second            // Shortest time for which they wait at an engine,
	lateBeginSpread    = 6 * time.Second        // and the range above that.
	minLatePrompts     = 8 * time.Second        // Shortest time for which they are sent.

	seriesNamings    = 4                      // Number of times that weights are named in a series.
	minNamingGap     = 500 * time.Millisecond // Shortest time between two of them,
	namingGapSpread  = 2500 * time.Millisecond
	maxHolderDelay   = 1500 * time.Millisecond // Longest time from one of them until the holder of the lease is lost.
	holderLossKinds  = 3
	minHolderAbsence = time.Second // Shortest time for which it is.
)

// randomOf returns the random source of the fault.
func randomOf(f fault) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(f.At), uint64(f.Length)))
}

// sendLatePrompts sends streams to all routers in turn that begin late.
func (s *site) sendLatePrompts(f fault) {
	random := randomOf(f)
	var group errgroup.Group
	for i := range int((minLatePrompts + f.Length) / latePromptInterval) {
		id := fmt.Sprintf("late-%d-%d", s.clock.Now().UnixNano(), i)
		request := amrsite.Request{
			ID: id, Route: amrsite.PatientStreamRoute, Key: permanentKey, Model: modelName, Timeout: latePromptTimeout, Content: id,
			PromptParts: fmt.Sprintf("%08x:800,%s:250", random.IntN(sharedParts), id),
			BeginsAfter: minLateBegin + time.Duration(random.Int64N(int64(lateBeginSpread))),
		}
		group.Go(func() error { s.send(s.routers[i%len(s.routers)], request); return nil })
		s.clock.Sleep(latePromptInterval)
	}
	_ = group.Wait() // The functions return no error.
}

// nameWeightsInSeries publishes new weights several times. After each time the router that
// gave the last order is killed, cut off or paused.
func (s *site) nameWeightsInSeries(f fault) error {
	random := randomOf(f)
	var group errgroup.Group
	for range seriesNamings {
		s.publishWeights()
		delay, kind := time.Duration(random.Int64N(int64(maxHolderDelay))), random.IntN(holderLossKinds)
		gap := minNamingGap + time.Duration(random.Int64N(int64(namingGapSpread)))
		group.Go(func() error {
			s.clock.Sleep(delay)
			return s.loseHolder(kind, minHolderAbsence+f.Length)
		})
		s.clock.Sleep(max(gap, delay))
	}
	err := group.Wait()
	s.clock.Sleep(s.checker.timeLimits.weights) // Requests are still checked against the new weights.
	return err
}

// loseHolder kills, cuts off or pauses the router that gave the last order.
func (s *site) loseHolder(kind int, d time.Duration) error {
	r := s.lastHolder()
	switch kind {
	case 0:
		return s.restart(r, syscall.SIGKILL, d)
	case 1:
		defer func(end func(time.Time)) { end(s.clock.Now()) }(s.checker.disturbances.begin(linkFaults, s.clock.Now()))
		s.cutOff(r, d)
	default:
		s.pause(r, d)
	}
	return nil
}

// lastHolder returns the router that gave the last order, or the first router.
func (s *site) lastHolder() *router {
	holder, last := s.routers[0], time.Time{}
	for _, b := range s.servers {
		orders := b.Orders()
		if len(orders) == 0 || !orders[len(orders)-1].At.After(last) {
			continue
		}
		last = orders[len(orders)-1].At
		for _, r := range s.routers {
			if r.name == orders[len(orders)-1].Holder {
				holder = r
			}
		}
	}
	return holder
}

// pause stops the router's process for the time, and lets it continue.
func (s *site) pause(r *router, d time.Duration) {
	endGone := s.checker.disturbances.begin(gonePrefix+r.name, s.clock.Now())
	s.disturb(r.name, d, func() { r.Signal(syscall.SIGSTOP) }, func() { r.Signal(syscall.SIGCONT) })
	endGone(s.clock.Now())
	s.checker.forgetSignals(r.name)
}
