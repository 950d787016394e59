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
	defaultFaultInterval = 500 * time.Millisecond  // Mean time between the starts of two faults.
	minFaultDuration     = 100 * time.Millisecond  // Shortest duration of a fault.
	faultDurationSpread  = 2500 * time.Millisecond // Range of the durations above minFaultDuration.
	maxRepeats           = 3                       // Largest number of times that a fault happens in a row.
	repeatPause          = 100 * time.Millisecond  // Pause after each time.
	maxLinkDelay         = 400 * time.Millisecond  // Longest delay of the data on a connection.
	maxFaultyRequests    = 6                       // Largest number of requests that one server fault affects.
	maxClockOffset       = 2 * time.Minute         // Largest offset of the store's clock, in either direction.
	poisonRepeats        = 12                      // Number of times that a poison request is sent.
	poisonInterval       = 500 * time.Millisecond  // Pause after each of them.
	partRepeats          = 30                      // Number of requests with a part that crashes servers.
	partInterval         = 300 * time.Millisecond  // Pause after each of them.
	allRoutersOdds       = 4                       // On average, at least one in this many seeds lets faults disturb every router.
)

// fault is one fault of a soak test. Only some of its fields apply to each kind.
type fault struct {
	At             time.Duration // Time since the start of the faults.
	Kind           faultKind
	Length         time.Duration
	Repeats        int         // Number of times that the fault happens, one after the other.
	Router         int         // Index of the router in site.routers.
	Server         int         // Index of the backend server in site.servers.
	ProxyFaults    ProxyFaults // Faults of the proxy.
	Reset          bool        // Whether the proxy's connections are reset when the fault starts.
	ServerFault    amrsite.Fault
	FaultyRequests int           // Number of requests that ServerFault affects.
	ClockOffset    time.Duration // Offset of the store's clock.
}

// randomFaults returns random faults of the given kinds, sorted by time, for a
// soak test of the given length, with the mean interval between two. Faults of single routers only affect the first n
// routers, where n is random.
func randomFaults(random *rand.Rand, length, interval time.Duration, size Size, kinds []faultKind) []fault {
	affected := 1 + random.IntN(size.Routers)
	if random.IntN(allRoutersOdds) == 0 {
		affected = size.Routers
	}
	var faults []fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(interval))
		if at > length {
			return faults
		}
		faults = append(faults, randomFault(random, at, affected, size, kinds))
	}
}

// randomFault returns a random fault at the time. Its router is one of the first
// affected routers. Kinds that kill all routers are replaced by killRouter unless all
// routers may be affected.
func randomFault(random *rand.Rand, at time.Duration, affected int, size Size, kinds []faultKind) fault {
	f := fault{
		At:             at,
		Kind:           kinds[random.IntN(len(kinds))],
		Length:         minFaultDuration + time.Duration(random.Int64N(int64(faultDurationSpread))),
		Repeats:        1 + random.IntN(maxRepeats),
		Router:         random.IntN(affected),
		Server:         random.IntN(size.Engines + size.Services),
		ServerFault:    amrsite.Fault(1 + random.IntN(int(amrsite.FaultNoResponse))),
		FaultyRequests: 1 + random.IntN(maxFaultyRequests),
		ClockOffset:    time.Duration(random.Int64N(int64(2*maxClockOffset))) - maxClockOffset,
	}
	if (f.Kind == killAllRouters || f.Kind == killAllMixed) && affected < size.Routers {
		f.Kind = killRouter
	}
	f.ProxyFaults, f.Reset = randomProxyFaults(random)
	return f
}

// randomProxyFaults returns random faults for a proxy, and whether its
// connections are reset as well.
func randomProxyFaults(random *rand.Rand) (f ProxyFaults, reset bool) {
	const variants = 6
	switch random.IntN(variants) {
	case 0:
		return ProxyFaults{Delay: time.Duration(random.Int64N(int64(maxLinkDelay)))}, false
	case 1:
		return ProxyFaults{Refuse: true}, true
	case 2:
		return ProxyFaults{HoldTo: true}, false
	case 3:
		return ProxyFaults{HoldFrom: true}, false
	case 4:
		return ProxyFaults{HoldTo: true, HoldFrom: true}, false
	}
	return ProxyFaults{}, true
}

// String describes the fault with all its fields.
func (f fault) String() string {
	return fmt.Sprintf("%v %s router-%d server %d for %v, %d times, proxy %+v, reset %v, server fault %d in %d requests, clock offset %v",
		f.At.Round(time.Millisecond), f.Kind, f.Router+1, f.Server, f.Length.Round(time.Millisecond), f.Repeats, f.ProxyFaults, f.Reset, f.ServerFault, f.FaultyRequests, f.ClockOffset.Round(time.Second))
}

// injectFaults injects each fault at its time and waits until all of them have
// ended. Faults may overlap.
func (s *site) injectFaults(ctx context.Context, faults []fault) error {
	begin := s.clock.Now()
	var group errgroup.Group
	for _, f := range faults {
		group.Go(func() error {
			if amrpace.SleepUntil(ctx, s.clock, begin.Add(f.At)) != nil {
				return nil // The soak test was interrupted.
			}
			for range f.Repeats {
				if err := s.injectFault(f); err != nil {
					return err
				}
				s.clock.Sleep(repeatPause)
			}
			return nil
		})
	}
	return group.Wait()
}

// injectFault starts the fault, waits for its duration and ends it.
func (s *site) injectFault(f fault) error {
	if name := f.Kind.disturbs(); name != "" {
		defer func(end func(time.Time)) { end(s.clock.Now()) }(s.checker.disturbances.begin(name, s.clock.Now()))
	}
	if f.Kind != powerLost {
		defer func(end func(time.Time)) { end(s.clock.Now()) }(s.checker.disturbances.begin(otherThanPower, s.clock.Now()))
	}
	if f.Kind.disturbsLinks() {
		defer func(end func(time.Time)) { end(s.clock.Now()) }(s.checker.disturbances.begin(linkFaults, s.clock.Now()))
	}
	r := s.routers[f.Router]
	switch f.Kind {
	case killRouter:
		return s.restart(r, syscall.SIGKILL, f.Length)
	case killAllRouters:
		return s.killAll(f.Length)
	case stopRouter:
		return s.restart(r, syscall.SIGTERM, f.Length)
	case splitAnswers:
		s.splitAnswers(r, s.servers[f.Server], f.Length)
	case rollRouters:
		return s.rollingRestart(f.Length)
	case pauseRouter:
		s.pause(r, f.Length)
	case hangUp:
		r.Signal(syscall.SIGHUP)
	case callersLink:
		s.disturbLink(r.name, r.callers, f)
	case storeLink:
		s.disturbLink(r.name, r.store, f)
	case peersLink:
		s.disturb(r.name, f.Length, func() { applyFault(r.peers, f); r.notices.SetDropping(true) }, func() { r.peers.Set(ProxyFaults{}); r.notices.SetDropping(false) })
	case storeDown:
		s.disturbStore(amrsite.StoreFaults{Down: true}, f.Length)
	case storeLosesAnswers:
		s.disturbStore(amrsite.StoreFaults{LoseResponses: true}, f.Length)
	case storeClock:
		s.disturbStore(amrsite.StoreFaults{ClockAhead: f.ClockOffset}, f.Length)
	case storeForgetsHistory:
		s.disturb(allRouters, 0, s.store.DropHistory, func() {})
	case storeInvalidRows:
		s.store.PutMalformedRows()
	case revokeKey:
		s.revokeKeyFor(f.Length)
	case newWeights:
		s.publishWeights()
	case recordsSeries:
		s.changeRecordsInSeries(f)
	case storeRestored:
		s.restoreStore(f.Length)
	case killAllMixed:
		return s.killAllMixed(f)
	case weightsSeries:
		return s.nameWeightsInSeries(f)
	case powerLost:
		return s.losePower(f)
	case routerCut:
		s.cutOff(r, f.Length+cutTime)
	default:
		s.injectServerFault(s.servers[f.Server], f)
	}
	return nil
}

// injectServerFault does the same for the faults of backend servers.
func (s *site) injectServerFault(b *server, f fault) {
	switch f.Kind {
	case serverLink:
		applyFault(b.proxy, f)
		s.clock.Sleep(f.Length)
		b.proxy.Set(ProxyFaults{})
	case serverErrors:
		s.failRequests(b, f.ServerFault, f)
	case serverDrains:
		s.drainServer(b, f.Length)
	case serverCrashes:
		s.crashServer(b, f.Length)
	case crashingPart:
		s.sendCrashingPart(fmt.Sprint(f.At.Nanoseconds()))
	case poisonRequest:
		s.sendPoison(f.At.String())
	case serverTellsLeaving:
		s.tellLeaving(b, f.Length)
	case serverAsksPause:
		s.askPause(b, f)
	case serverLimit:
		s.nameLimit(b, f)
	case serverEndless:
		s.failRequests(b, endlessFaults[f.FaultyRequests%len(endlessFaults)], f)
	case engineRenewed:
		s.renewEngine(b, f.Length)
	case engineReplaced:
		s.replaceEngine(b, f.Length)
	case serverBroken:
		s.failRequests(b, brokenFaults[int(f.Length.Milliseconds())%len(brokenFaults)], f)
	case serverNoLength:
		s.failRequests(b, noLengthFaults[f.FaultyRequests%len(noLengthFaults)], f)
	default:
		s.injectLoad(f)
	}
}

// injectLoad adds the load that the fault consists of, for its duration.
func (s *site) injectLoad(f fault) {
	switch f.Kind {
	case quotaExceeded:
		s.exceedQuota(f)
	case unevenEngines:
		s.slowEngines(f)
	case slowCallers:
		s.readSlowly(s.routers[f.Router], f)
	case fullMemory:
		s.fillMemory(f)
	case latePrompts:
		s.sendLatePrompts(f)
	}
}

// disturb calls begin, waits for the duration and calls end. During that time the
// router is recorded as disturbed. The router may be allRouters.
func (s *site) disturb(router string, d time.Duration, begin, end func()) {
	endDisturbance := s.checker.disturbances.begin(router, s.clock.Now())
	begin()
	s.clock.Sleep(d)
	end()
	endDisturbance(s.clock.Now())
}

// disturbStore disturbs all routers by faults of the store.
func (s *site) disturbStore(f amrsite.StoreFaults, d time.Duration) {
	s.disturb(allRouters, d, func() { s.store.SetFaults(f) }, func() { s.store.SetFaults(amrsite.StoreFaults{}) })
}

// disturbLink disturbs the router by a fault of a proxy.
func (s *site) disturbLink(router string, p *TCPProxy, f fault) {
	s.disturb(router, f.Length, func() { applyFault(p, f) }, func() { p.Set(ProxyFaults{}) })
}

// applyFault applies the proxy faults and the reset of f to the proxy.
func applyFault(p *TCPProxy, f fault) {
	p.Set(f.ProxyFaults)
	if f.Reset {
		p.Reset()
	}
}

// restart stops the router by the signal and starts it again after the down time.
// The router is recorded as disturbed while it is down. The time of a graceful
// stop is not a disturbance, because the promises also hold then.
func (s *site) restart(r *router, signal syscall.Signal, down time.Duration) error {
	if signal == syscall.SIGKILL {
		defer func(end func(time.Time)) { end(s.clock.Now()) }(s.checker.disturbances.begin(killPrefix+r.name, s.clock.Now()))
		defer func(end func(time.Time)) { end(s.clock.Now()) }(s.checker.disturbances.begin(r.name, s.clock.Now()))
	}
	defer func(end func(time.Time)) { end(s.clock.Now()) }(s.checker.disturbances.begin(gonePrefix+r.name, s.clock.Now()))
	err := r.Stop(signal)
	if err != nil {
		s.checker.Report("a stop ends in time", "%v", err)
	}
	defer func(end func(time.Time)) { end(s.clock.Now()) }(s.checker.disturbances.begin(r.name, s.clock.Now()))
	s.clock.Sleep(down)
	s.checker.forgetSignals(r.name)
	return r.Start()
}

// killAll kills all routers at the same time and starts them again after the
// down time.
func (s *site) killAll(down time.Duration) error {
	var group errgroup.Group
	for _, r := range s.routers {
		group.Go(func() error { return s.restart(r, syscall.SIGKILL, down) })
	}
	return group.Wait()
}

// sendPoison sends a poison request, which crashes each server that runs it, to one
// router after the other, poisonRepeats times in all.
func (s *site) sendPoison(name string) {
	for i := range poisonRepeats {
		s.send(s.routers[i%len(s.routers)], amrsite.Request{
			ID: fmt.Sprintf("poison-%s-%d-%d", name, s.clock.Now().UnixNano(), i), Route: amrsite.IdempotentRoute, Key: permanentKey, Timeout: requestTimeout, Poison: name,
		})
		s.clock.Sleep(poisonInterval)
	}
}

// sendCrashingPart sends requests that differ in all but a part that crashes each
// engine which begins to respond, to one router after the other.
func (s *site) sendCrashingPart(name string) {
	for i := range partRepeats {
		id := fmt.Sprintf("part-%s-%d-%d", name, s.clock.Now().UnixNano(), i)
		s.send(s.routers[i%len(s.routers)], amrsite.Request{
			ID: id, Route: amrsite.ResumableStreamRoute, Key: permanentKey, Model: modelName, Timeout: requestTimeout,
			PromptParts: fmt.Sprintf("%08x:800,%s%s:410,%s:250", 0, amrsite.CrashingPart, name, id), Content: id,
		})
		s.clock.Sleep(partInterval)
	}
}

// revokeKeyFor revokes revocableKey and restores it after the duration and the
// time limit for new records.
func (s *site) revokeKeyFor(d time.Duration) {
	s.keysMu.Lock()
	defer s.keysMu.Unlock()
	s.checker.recordKeyChange(false)
	s.writeRecords(permanentKey)
	s.clock.Sleep(d + defaultTimeLimits.recordsInForce)
	s.checker.recordKeyChange(true)
	s.writeRecords(permanentKey, revocableKey)
}

const (
	maxStoreAbsence = 300 * time.Millisecond // Longest time for which the store is away before it is restored.
	maxRewriteDelay = time.Second            // Longest time until operators and servers write again what was lost.
	backupInterval  = 500 * time.Millisecond // Time between two backups of the store.
	backupsKept     = 6                      // Number of backups; the oldest one is restored.
)

// backUpStore makes a backup of the store periodically until ctx is done.
func (s *site) backUpStore(ctx context.Context) {
	for at := s.clock.Now(); amrpace.SleepUntil(ctx, s.clock, at) == nil; at = at.Add(backupInterval) {
		s.mu.Lock()
		s.backups = append(s.backups, s.store.Backup())
		s.backups = s.backups[max(0, len(s.backups)-backupsKept):]
		s.mu.Unlock()
	}
}

// restoreStore lets the store be away for a moment and come back from a backup
// that is some seconds old. Then operators and servers write again what was lost.
func (s *site) restoreStore(d time.Duration) {
	endDisturbance := s.checker.disturbances.begin(allRouters, s.clock.Now())
	defer func() { endDisturbance(s.clock.Now()) }()
	s.store.SetFaults(amrsite.StoreFaults{Down: true})
	s.clock.Sleep(min(d, maxStoreAbsence))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.backups) > 0 {
		s.store.Restore(s.backups[0])
		s.backups = nil // The others have versions that are given out again.
	}
	s.store.SetFaults(amrsite.StoreFaults{})
	s.clock.Sleep(min(d, maxRewriteDelay))
	s.putRecords()
	s.store.PublishVersion(modelName, s.weightsVersion)
	for _, b := range s.servers {
		s.store.PutServer(b.Name, b.listed)
	}
}

// publishWeights publishes the next version of the weights.
func (s *site) publishWeights() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weightsVersion++
	for _, b := range s.servers {
		b.PublishVersion(s.weightsVersion)
	}
	s.store.PublishVersion(modelName, s.weightsVersion)
	s.checker.recordWeights(s.weightsVersion)
}
