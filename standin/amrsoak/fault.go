package amrsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrpace"
	"amaranthreach.example/standin/amrsite"
)

const (
	meanGap       = 500 * time.Millisecond // Between faults.
	shortest      = 100 * time.Millisecond // Of a fault.
	spread        = 2500 * time.Millisecond
	longestSeries = 3 // Of one fault in a row.
	seriesPause   = 100 * time.Millisecond
	mostDelay     = 400 * time.Millisecond
	mostFaulty    = 6               // Requests that a server does wrong.
	clockStep     = 2 * time.Minute // Of the store's clock, at most.
	poisonCopies  = 12              // Of one request that breaks servers, one after the other.
	poisonPause   = 500 * time.Millisecond
	wholeFleet    = 4 // One in so many seeds disturbs every router.
)

// kind is a kind of fault.
type kind string

// The kinds of faults.
const (
	killRouter    kind = "kill-router"
	killRouters   kind = "kill-all-routers"
	stopRouter    kind = "stop-router"
	pauseRouter   kind = "pause-router"
	hangUp        kind = "hang-up"
	callersLink   kind = "callers-link"
	storeLink     kind = "store-link"
	serverLink    kind = "server-link"
	peersLink     kind = "peers-link"
	storeDown     kind = "store-down"
	storeLoses    kind = "store-loses-answers"
	storeForgets  kind = "store-forgets"
	storeClock    kind = "store-clock"
	storeGarbage  kind = "store-garbage"
	serverErrs    kind = "server-errs"
	serverLeaves  kind = "server-leaves"
	serverCrashes kind = "server-crashes"
	poisonRequest kind = "poison-request"
	changeKeys    kind = "change-keys"
	newWeights    kind = "new-weights"
)

// kinds is what faults are drawn from. New ones go to the end, so that the seeds
// in regressions.yaml keep their faults.
var kinds = []kind{
	killRouter, killRouters, stopRouter, pauseRouter, hangUp, callersLink, storeLink, serverLink, storeDown, storeLoses,
	storeForgets, storeClock, storeGarbage, serverErrs, serverLeaves, serverCrashes, changeKeys, newWeights,
	poisonRequest, peersLink,
}

// fault is one fault of a seed.
type fault struct {
	At        time.Duration
	Kind      kind
	For       time.Duration
	Times     int // In a row.
	Router    int // Its index, where a router is disturbed.
	Server    int
	Condition Condition // Of the link.
	Reset     bool      // The link's connections are reset as it begins.
	Wrong     amrsite.Fault
	Requests  int           // That the server does wrong.
	Ahead     time.Duration // Of the store's clock.
}

// drawFaults draws the faults of a soak of the length.
func drawFaults(random *rand.Rand, length time.Duration, n Size, kinds []kind) []fault {
	disturbed := 1 + random.IntN(n.Routers)
	if random.IntN(wholeFleet) == 0 {
		disturbed = n.Routers
	}
	var faults []fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at > length {
			return faults
		}
		faults = append(faults, drawFault(random, at, disturbed, n, kinds))
	}
}

func drawFault(random *rand.Rand, at time.Duration, disturbed int, n Size, kinds []kind) fault {
	f := fault{
		At:       at,
		Kind:     kinds[random.IntN(len(kinds))],
		For:      shortest + time.Duration(random.Int64N(int64(spread))),
		Times:    1 + random.IntN(longestSeries),
		Router:   random.IntN(disturbed),
		Server:   random.IntN(n.Engines + n.Services),
		Wrong:    amrsite.Fault(1 + random.IntN(int(amrsite.FaultNoResponse))),
		Requests: 1 + random.IntN(mostFaulty),
		Ahead:    time.Duration(random.Int64N(int64(2*clockStep))) - clockStep,
	}
	if f.Kind == killRouters && disturbed < n.Routers {
		f.Kind = killRouter
	}
	f.Condition, f.Reset = drawCondition(random)
	return f
}

// drawCondition draws what is done to a link. It reports whether connections are
// reset as well.
func drawCondition(random *rand.Rand) (c Condition, reset bool) {
	const ways = 6
	switch random.IntN(ways) {
	case 0:
		return Condition{Delay: time.Duration(random.Int64N(int64(mostDelay)))}, false
	case 1:
		return Condition{Refuse: true}, true
	case 2:
		return Condition{HoldTo: true}, false
	case 3:
		return Condition{HoldFrom: true}, false
	case 4:
		return Condition{HoldTo: true, HoldFrom: true}, false
	}
	return Condition{}, true
}

// String describes the fault.
func (f fault) String() string {
	return fmt.Sprintf("%v %s router-%d server %d for %v, %d times, %+v reset %v wrong %d x %d ahead %v",
		f.At.Round(time.Millisecond), f.Kind, f.Router+1, f.Server, f.For.Round(time.Millisecond), f.Times, f.Condition, f.Reset, f.Wrong, f.Requests, f.Ahead.Round(time.Second))
}

// inject makes the faults happen at their times, each on its own, so that they
// overlap, and waits until all have ended.
func (s *site) inject(ctx context.Context, faults []fault) error {
	begin := s.clock.Now()
	var group errgroup.Group
	for _, f := range faults {
		group.Go(func() error {
			if amrpace.SleepUntil(ctx, s.clock, begin.Add(f.At)) != nil {
				return nil // The soak was interrupted.
			}
			for range f.Times {
				if err := s.happen(f); err != nil {
					return err
				}
				s.clock.Sleep(seriesPause)
			}
			return nil
		})
	}
	return group.Wait()
}

// happen makes the fault happen once and ends it.
func (s *site) happen(f fault) error {
	r, b := s.routers[f.Router], s.servers[f.Server]
	switch f.Kind {
	case killRouter:
		return s.restart(r, syscall.SIGKILL, f.For)
	case killRouters:
		return s.killAll(f.For)
	case stopRouter:
		return s.restart(r, syscall.SIGTERM, f.For)
	case pauseRouter:
		s.disturb(r.name, f.For, func() { r.Signal(syscall.SIGSTOP) }, func() { r.Signal(syscall.SIGCONT) })
	case hangUp:
		r.Signal(syscall.SIGHUP)
	case callersLink:
		s.disturbLink(r.name, r.callers, f)
	case storeLink:
		s.disturbLink(r.name, r.store, f)
	case peersLink:
		s.disturb(r.name, f.For, func() { degrade(r.peers, f); r.notices.Lose(true) }, func() { r.peers.Set(Condition{}); r.notices.Lose(false) })
	case serverLink:
		degrade(b.link, f)
		s.clock.Sleep(f.For)
		b.link.Set(Condition{})
	case storeDown:
		s.disturbStore(amrsite.StoreFaults{Down: true}, f.For)
	case storeLoses:
		s.disturbStore(amrsite.StoreFaults{LoseResponses: true}, f.For)
	case storeClock:
		s.disturbStore(amrsite.StoreFaults{ClockAhead: f.Ahead}, f.For)
	case storeForgets:
		s.disturb(everybody, 0, s.store.DropHistory, func() {})
	case storeGarbage:
		s.store.PutMalformedRows()
	case serverErrs:
		b.SetFault(f.Wrong, f.Requests)
		s.clock.Sleep(f.For)
		b.SetFault(amrsite.FaultNone, 0)
	case serverLeaves:
		s.leave(b, f.For)
	case serverCrashes:
		s.crash(b, f.For)
	case poisonRequest:
		s.poison(f.At.String())
	case changeKeys:
		s.revoke(f.For)
	case newWeights:
		s.nameWeights()
	}
	return nil
}

// disturb begins trouble of the router and ends it after the time.
func (s *site) disturb(router string, d time.Duration, begin, end func()) {
	ended := s.check.troubles.begin(router, s.clock.Now())
	begin()
	s.clock.Sleep(d)
	end()
	ended(s.clock.Now())
}

func (s *site) disturbStore(f amrsite.StoreFaults, d time.Duration) {
	s.disturb(everybody, d, func() { s.store.SetFaults(f) }, func() { s.store.SetFaults(amrsite.StoreFaults{}) })
}

func (s *site) disturbLink(router string, l *Link, f fault) {
	s.disturb(router, f.For, func() { degrade(l, f) }, func() { l.Set(Condition{}) })
}

func degrade(l *Link, f fault) {
	l.Set(f.Condition)
	if f.Reset {
		l.Reset()
	}
}

// restart ends the router and starts it again. A planned stop is no trouble
// until the process has ended.
func (s *site) restart(r *router, signal syscall.Signal, down time.Duration) error {
	if signal == syscall.SIGKILL {
		defer func(end func(time.Time)) { end(s.clock.Now()) }(s.check.troubles.begin(r.name, s.clock.Now()))
	}
	err := r.End(signal)
	if err != nil {
		s.check.Report("a stop ends in time", "%v", err)
	}
	defer func(end func(time.Time)) { end(s.clock.Now()) }(s.check.troubles.begin(r.name, s.clock.Now()))
	s.clock.Sleep(down)
	return r.Start()
}

// killAll kills all routers at once and starts them again.
func (s *site) killAll(down time.Duration) error {
	var group errgroup.Group
	for _, r := range s.routers {
		group.Go(func() error { return s.restart(r, syscall.SIGKILL, down) })
	}
	return group.Wait()
}

// leave takes a server out as a planned stop does, and brings it back.
func (s *site) leave(b *server, d time.Duration) {
	s.list(b, true)
	s.clock.Sleep(d + standardBounds.drain)
	s.list(b, false)
}

// crash resets the server's connections and takes none while it is down.
func (s *site) crash(b *server, d time.Duration) {
	b.link.Set(Condition{Refuse: true})
	b.link.Reset()
	s.clock.Sleep(d)
	b.link.Set(Condition{})
}

// poison sends a request that breaks each server that runs it, again and again
// to one router after the other.
func (s *site) poison(name string) {
	for i := range poisonCopies {
		s.send(s.routers[i%len(s.routers)], amrsite.Request{
			ID: fmt.Sprintf("poison-%s-%d-%d", name, s.clock.Now().UnixNano(), i), Route: amrsite.Find, Key: steadyKey, Deadline: deadline, Poison: name,
		})
		s.clock.Sleep(poisonPause)
	}
}

// revoke takes a key away and gives it back.
func (s *site) revoke(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check.keyChanged(false)
	s.configure(steadyKey)
	s.clock.Sleep(d + standardBounds.records)
	s.check.keyChanged(true)
	s.configure(steadyKey, revocableKey)
}

// nameWeights names the next version of the weights.
func (s *site) nameWeights() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights++
	for _, b := range s.servers {
		b.PublishVersion(s.weights)
	}
	s.store.PublishVersion(model, s.weights)
}
