// Package amrsoak runs soak tests of the router's program. It starts routers as
// separate processes, with stand-ins for the store and the backend servers, sends
// requests to them and injects faults from outside: signals to the processes,
// faults of the loopback proxies between routers, callers, backend servers and the
// store, and faults of the stand-ins. During and after the faults it checks the
// promises, which are the guarantees that the platform's documentation gives to
// its users, against the observations of callers and backend servers.
package amrsoak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrsite"
)

var (
	namespace     = errorx.NewNamespace("fault-soak")
	notReady      = namespace.NewType("not-ready")
	brokenPromise = namespace.NewType("broken-promise")
)

const (
	recoveryPollInterval = 200 * time.Millisecond // Time between two checks for recovery.
	probeCount           = 12                     // Number of requests in a check for recovery.
	minServedShare       = 0.9                    // Share of them that must succeed.
)

// failurePattern matches texts that must not occur in a log even under faults.
var failurePattern = regexp.MustCompile(`panic:|DATA RACE|fatal error:|goroutine \d+ \[`)

// Soak is a soak test. The seed determines its faults and requests, but not how the
// operating system schedules the processes.
type Soak struct {
	Program         string // Path of the router's program, as returned by Build.
	Dir             string // Existing directory for settings and logs.
	Seed            uint64
	Length          time.Duration // Time during which faults start.
	Size            Size
	FaultInterval   time.Duration // Mean time between the starts of two faults; 0 for defaultFaultInterval.
	FaultKinds      int           // Number of kinds of faults, from the start of the list of all kinds; 0 for all.
	FaultNames      []string      // Names of the kinds of faults; empty for all kinds that FaultKinds allows.
	Deployment      Deployment
	ResumableOnly   bool    // All requests are for streams that can be taken up.
	TimeLimitFactor float64 // Factor of the time limits, for a busy machine; 0 is equivalent to 1.
}

// Result is the result of a soak test.
type Result struct {
	Faults      []fault
	Answered    int             // Requests with a successful answer.
	Refused     int             // Requests with any other status.
	Lost        int             // Requests with no answer or an incomplete one.
	Undisturbed int             // Requests without a disturbance, to which the time limits apply.
	TakenUp     served          // Undisturbed requests that take streams up.
	AllTakenUp  served          // Requests that take streams up and got an answer.
	Kept        served          // Requests on kept connections, and those with an answer or a refusal.
	Losses      [causeCount]int // Requests of the load that were not served, by cause.
	MaxGone     int             // Bound of those with the cause causeGone.
	Returns     []string        // Share of the requests that were served in each second after each return of power.
	QuotaRuns   int             // Most runs of the team with a quota in a window.
	Violations  []Violation
}

// Run runs the soak test. Violations of promises are part of the result. An error
// means that the test could not be carried out.
func (s Soak) Run(ctx context.Context) (Result, error) {
	clock := clockwork.NewRealClock()
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	kinds := faultKinds[:cmp.Or(s.FaultKinds, len(faultKinds))]
	if len(s.FaultNames) > 0 {
		var err error
		if kinds, err = kindsNamed(s.FaultNames); err != nil {
			return Result{}, err
		}
	}
	faults := randomFaults(random, s.Length, cmp.Or(s.FaultInterval, defaultFaultInterval), s.Size, kinds)
	limits := defaultTimeLimits
	if s.TimeLimitFactor > 0 {
		limits = limits.scaled(s.TimeLimitFactor)
	}
	s.Deployment.KeptConns = slices.Contains(s.FaultNames, string(recordsSeries))
	s.Deployment.Uploads = s.Deployment.Uploads || slices.Contains(kinds, serverBroken)
	checker := newChecker(clock, limits, &disturbances{}, streamEvents)
	site, err := startSite(ctx, clock, checker, s.Program, s.Dir, s.Size, s.Deployment)
	if err != nil {
		return Result{}, err
	}
	if s.ResumableOnly {
		site.routes = []string{amrsite.ResumableStreamRoute}
	}
	err = site.runFaults(ctx, random, faults)
	if err == nil {
		site.waitForRecovery(ctx)
		checker.checkTakenUp()
		site.checkMemory()
		checker.checkGone(s.Size.Routers)
		for _, b := range site.servers {
			checker.checkOrders(b.Name, b.Orders())
		}
	}
	err = errors.Join(err, site.close(), site.checkLogs())
	return Result{
		Faults: faults, Answered: checker.answered, Refused: checker.refused, Lost: checker.lost, Undisturbed: checker.undisturbedCount, TakenUp: checker.takenUp, AllTakenUp: checker.allTakenUp, Kept: checker.kept, Losses: checker.losses, MaxGone: checker.disturbances.maxGone(s.Size.Routers, limits.startUp), QuotaRuns: checker.maxQuotaRuns, Returns: checker.returns, Violations: checker.Violations(),
	}, err
}

// runFaults injects the faults while requests are sent, and then ends all faults.
func (s *site) runFaults(ctx context.Context, random *rand.Rand, faults []fault) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	for _, r := range s.routers {
		group.Go(func() error { s.watchReadiness(loadCtx, r); return nil })
	}
	if s.deployment.KeptConns {
		for _, r := range s.routers {
			seed := random.Uint64()
			group.Go(func() error { return s.keepConns(loadCtx, r, seed) })
		}
	}
	group.Go(func() error { return s.sendLoad(loadCtx, random, loadPrefix) })
	group.Go(func() error { s.backUpStore(loadCtx); return nil })
	err := s.injectFaults(ctx, faults)
	stop()
	return errors.Join(err, group.Wait(), s.endFaults())
}

// waitForRecovery waits until the site serves again. It reports a violation if that
// takes longer than the time limit.
func (s *site) waitForRecovery(ctx context.Context) {
	begin := s.clock.Now()
	for round := 0; ; round++ {
		problem := s.recoveryProblem(ctx, round)
		if problem == "" {
			return
		}
		if s.clock.Since(begin) > s.checker.timeLimits.recovery {
			s.checker.Report("recovery in time", "%v after the last fault: %s", s.clock.Since(begin).Round(time.Millisecond), problem)
			return
		}
		s.clock.Sleep(recoveryPollInterval)
	}
}

// recoveryProblem returns a description of the first part of the site that does
// not work, or "" if all parts work. The round is part of the request IDs.
func (s *site) recoveryProblem(ctx context.Context, round int) string {
	for _, r := range s.routers {
		if !r.isReady(ctx) {
			return r.name + " is not ready"
		}
	}
	for _, b := range s.servers {
		if b.Model != "" && b.Version() != s.weightsVersion {
			return fmt.Sprintf("%s has version %d of the weights instead of %d", b.Name, b.Version(), s.weightsVersion)
		}
	}
	served := 0
	for i := range probeCount {
		request := amrsite.Request{
			ID: fmt.Sprintf("probe-%d-%d", round, i), Route: routes[i%len(routes)], Key: permanentKey, Model: modelName, Timeout: requestTimeout, PromptParts: "1:800",
		}
		if s.send(s.routers[i%len(s.routers)], request) {
			served++
		}
	}
	if float64(served) < minServedShare*probeCount {
		return fmt.Sprintf("only %d of %d requests were served", served, probeCount)
	}
	return ""
}

// checkLogs reports the first match of failurePattern in each router's log as a
// violation.
func (s *site) checkLogs() error {
	for _, r := range s.routers {
		data, err := os.ReadFile(filepath.Clean(r.LogPath()))
		if err != nil {
			return err
		}
		if found := failurePattern.Find(data); found != nil {
			s.checker.Report("processes do not fail", "%s has logged %q in %s", r.name, found, r.LogPath())
		}
	}
	return nil
}

// brokenPromises returns the names of the promises that were broken, without
// duplicates.
func (r Result) brokenPromises() []string {
	var names []string
	for _, f := range r.Violations {
		if !slices.Contains(names, f.Promise) {
			names = append(names, f.Promise)
		}
	}
	return names
}
