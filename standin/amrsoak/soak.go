// Package amrsoak runs the program of the users' platform as separate processes
// and makes faults happen to them from outside: signals to processes, loopback
// proxies between them, callers, backend servers and the store, and faults of
// the stand-ins. While it runs it compares what callers and backend servers see
// with the promises of the users' pages.
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
	namespace = errorx.NewNamespace("fault-soak")
	notReady  = namespace.NewType("not-ready")
	broken    = namespace.NewType("broken-promise")
)

const (
	recoverPause = 200 * time.Millisecond
	probes       = 12  // Requests that show whether the site serves.
	leastServed  = 0.9 // Of them.
)

// alarming matches lines of a log that no fault excuses.
var alarming = regexp.MustCompile(`panic:|DATA RACE|fatal error:|goroutine \d+ \[`)

// Soak is a soak that a seed determines.
type Soak struct {
	Program string // Path of the router's program.
	Dir     string // For settings and logs.
	Seed    uint64
	Length  time.Duration // Of the faults.
	Size    Size
	Kinds   int     // Of faults, of the first so many; 0 for all.
	Stretch float64 // Of the bounds of time, on a busy machine; 0 for none.
}

// Result is what came of a soak.
type Result struct {
	Faults    []fault
	Answered  int
	Refused   int
	Lost      int
	Judgeable int // Sent to routers in touch, for which the bounds of time hold.
	Findings  []Finding
}

// Run runs the soak. An error says that the soak itself failed.
func (k Soak) Run(ctx context.Context) (Result, error) {
	clock := clockwork.NewRealClock()
	random := rand.New(rand.NewPCG(k.Seed, k.Seed))
	faults := drawFaults(random, k.Length, k.Size, kinds[:cmp.Or(k.Kinds, len(kinds))])
	bounds := standardBounds
	if k.Stretch > 0 {
		bounds = bounds.stretched(k.Stretch)
	}
	check := newCheck(clock, bounds, &troubles{}, events)
	s, err := startSite(ctx, clock, check, k.Program, k.Dir, k.Size)
	if err != nil {
		return Result{}, err
	}
	err = s.soak(ctx, random, faults)
	if err == nil {
		s.recover(ctx)
		for _, b := range s.servers {
			check.checkOrders(b.Name, b.Orders())
		}
	}
	err = errors.Join(err, s.close(), s.readLogs())
	return Result{
		Faults: faults, Answered: check.answered, Refused: check.refused, Lost: check.lost, Judgeable: check.judgeable, Findings: check.Findings(),
	}, err
}

// soak makes the faults happen under load.
func (s *site) soak(ctx context.Context, random *rand.Rand, faults []fault) error {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	for _, r := range s.routers {
		group.Go(func() error { s.watch(loading, r); return nil })
	}
	group.Go(func() error { return s.load(loading, random, "request") })
	err := s.inject(ctx, faults)
	stop()
	return errors.Join(err, group.Wait(), s.heal())
}

// recover checks that the site serves again in time.
func (s *site) recover(ctx context.Context) {
	begin := s.clock.Now()
	for n := 0; ; n++ {
		fault := s.unhealthy(ctx, n)
		if fault == "" {
			return
		}
		if s.clock.Since(begin) > s.check.bounds.recover {
			s.check.Report("recovery in time", "%v after the last fault %s", s.clock.Since(begin).Round(time.Millisecond), fault)
			return
		}
		s.clock.Sleep(recoverPause)
	}
}

// unhealthy returns what does not work yet, or nothing.
func (s *site) unhealthy(ctx context.Context, n int) string {
	for _, r := range s.routers {
		if !r.ready(ctx) {
			return r.name + " is not ready"
		}
	}
	for _, b := range s.servers {
		if b.Model != "" && b.Version() != s.weights {
			return fmt.Sprintf("%s has weights %d, not %d", b.Name, b.Version(), s.weights)
		}
	}
	served := 0
	for i := range probes {
		request := amrsite.Request{
			ID: fmt.Sprintf("probe-%d-%d", n, i), Route: routes[i%len(routes)], Key: steadyKey, Model: model, Deadline: deadline, PrefixHashes: "1:800",
		}
		if s.send(s.routers[i%len(s.routers)], request) {
			served++
		}
	}
	if float64(served) < leastServed*probes {
		return fmt.Sprintf("%d of %d requests were served", served, probes)
	}
	return ""
}

// readLogs reports lines that no fault excuses.
func (s *site) readLogs() error {
	for _, r := range s.routers {
		data, err := os.ReadFile(filepath.Clean(r.LogPath()))
		if err != nil {
			return err
		}
		if line := alarming.Find(data); line != nil {
			s.check.Report("processes do not fail", "%s has %q in %s", r.name, line, r.LogPath())
		}
	}
	return nil
}

// promises returns the promises that were broken, each once.
func (r Result) promises() []string {
	var names []string
	for _, f := range r.Findings {
		if !slices.Contains(names, f.Promise) {
			names = append(names, f.Promise)
		}
	}
	return names
}
