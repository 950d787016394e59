package amrdirect

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

// weightsSite is a site with three engines, which hold the weights 1, and routers that may be
// killed and started.
type weightsSite struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	store   *memoryStore
	tables  map[string]*memoryTable
	routers map[string]*Router
	kills   map[string]func()
	out     strings.Builder
}

func newWeightsSite(t *testing.T) *weightsSite {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(clock)
	return &weightsSite{
		t: t, clock: clock, store: store, routers: make(map[string]*Router), kills: make(map[string]func()),
		tables: map[string]*memoryTable{tableOperator: store.table("records"), tableServers: store.table("e1", "e2", "e3"), tableShared: store.table()},
	}
}

// Operator decodes the row with the records, or that with declared weights.
func (s *weightsSite) Operator(row amrfollow.Row) (OperatorDeclaration, error) {
	if row.Key == "weights" {
		version, err := strconv.Atoi(string(row.Value))
		return TargetWeights{Model: "m1", Version: version}, err
	}
	return Records{Version: 1, Pools: []amrroute.Pool{{Name: "engines", Engine: &amrroute.Engine{Models: []string{"m1"}}}}}, nil
}

// Server decodes the row of an engine.
func (s *weightsSite) Server(row amrfollow.Row) (amrpool.Listing, error) {
	version := 1
	if len(row.Value) > 0 {
		version = int(row.Value[0] - '0')
	}
	return amrpool.Listing{Name: row.Key, Pool: "engines", Address: row.Key, Slots: 8, Weights: map[string]int{"m1": version}}, nil
}

// start starts a router on the host.
func (s *weightsSite) start(host string) {
	r := New(Dependencies{
		Operator: s.tables[tableOperator], Servers: s.tables[tableServers], Shared: s.tables[tableShared], Rows: s.tables[tableShared], Decoder: s,
	}, Settings{Host: host, Bounds: Bounds{StaleWeights: amrpool.StaleBounds{After: time.Second, Limit: 6 * time.Second, Start: 7 * time.Second}}}, WithClock(s.clock), WithLogger(slog.New(slog.DiscardHandler)))
	ctx, cancel := context.WithCancel(s.t.Context())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	s.routers[host] = r
	s.kills[host] = func() {
		cancel()
		if err := group.Wait(); err != nil {
			s.t.Error(err)
		}
	}
}

// kill kills all routers.
func (s *weightsSite) kill() {
	for host, kill := range s.kills {
		kill()
		delete(s.kills, host)
		delete(s.routers, host)
	}
}

// engines returns the names of the engines to which the router sends requests for the model.
func (s *weightsSite) engines(host string) []string {
	var names []string
	for {
		choice, _ := s.routers[host].fleet.Pick(s.clock.Now(), amrpool.Request{Pool: "engines", Model: "m1", Exclude: names})
		if choice == nil {
			return names
		}
		choice.Done(s.clock.Now(), amrpool.Withheld)
		names = append(names, choice.Name)
	}
}

// step executes one line of a script.
func (s *weightsSite) step(words []string) {
	switch words[0] {
	case "start":
		for _, host := range words[1:] {
			s.start(host)
		}
	case "kill":
		s.kill()
	case "weights":
		s.tables[tableOperator].put("weights", words[1])
	case "loaded":
		s.tables[tableServers].put(words[1], words[2])
	case "note":
		s.note(words[1])
	case "away":
		s.store.setAway(true)
	case "back":
		s.store.setAway(false)
	case "slow":
		s.store.setDelay(s.duration(words[1]))
	case "wait":
		s.pass(s.duration(words[1]))
	case "settle":
		s.settle()
	case "engines":
		fmt.Fprintf(&s.out, "%s ready=%v uses %d of 3\n", words[1], s.routers[words[1]].Ready(), len(s.engines(words[1])))
	default:
		s.t.Fatalf("unknown step %q", words[0])
	}
}

// clockStep is the step in which the clock advances. The goroutines of the routers get some
// real time after each step.
const clockStep = 50 * time.Millisecond

// pass lets time pass for the routers.
func (s *weightsSite) pass(d time.Duration) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.clock.Advance(min(clockStep, end.Sub(s.clock.Now())))
		realClock.Sleep(time.Millisecond)
	}
}

// settleStep is the step in which the clock advances, and the real time that the routers get
// before it, while they settle.
const settleStep = 10 * time.Millisecond

// settle waits until all routers are registered and have read all rows. It lets time pass only
// if they do not get on without, and no faster than real time.
func (s *weightsSite) settle() {
	for end := realClock.Now().Add(time.Minute); !s.settled(); {
		if realClock.Now().After(end) {
			s.t.Fatal("the routers have not read all rows")
		}
		realClock.Sleep(settleStep)
		if !s.settled() {
			s.clock.Advance(settleStep)
		}
	}
}

// settled reports whether all routers are registered and have applied all rows.
func (s *weightsSite) settled() bool {
	for host, r := range s.routers {
		if _, ok := r.copies.Followers[tableShared].Copy().Row(registrationPrefix + host); !ok || !r.Ready() {
			return false
		}
		for name, f := range r.copies.Followers {
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Millisecond)
			err := f.Confirm(ctx, s.tables[name], amrfollow.Position{})
			cancel()
			if err != nil {
				return false
			}
		}
	}
	return true
}

// note makes the router take the rollout lease, which writes its note.
func (s *weightsSite) note(host string) {
	if !s.routers[host].rollout.announce(s.t.Context()) {
		s.t.Errorf("%s cannot write the row of the lease", host)
	}
}

// duration parses a duration of a script.
func (s *weightsSite) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

// TestWeightsDeclaredWhileAway guards against requests that begin on weights which were replaced
// while all routers were away: those that start must not take the time at which they read the
// declaration for that at which it was made. It runs the scripts in
// testdata/weights-declared-while-away. From 6 s after the declaration of new weights on, engines
// with old ones get no requests. The output lists the engines in use.
//
//	start HOST...         routers start
//	kill                  all routers are killed
//	weights VERSION       the operator declares weights
//	loaded ENGINE VERSION the engine has loaded weights
//	note HOST             the router writes the row of the rollout lease
//	slow DURATION         each call to the store takes so long from now on
//	away, back            the store cannot be reached, or can be again
//	settle                all routers are registered and have read all rows
//	wait DURATION         time passes
//	engines HOST          the number of engines that the router uses is printed
func TestWeightsDeclaredWhileAway(t *testing.T) {
	datadriven.RunTest(t, "testdata/weights-declared-while-away", func(t *testing.T, d *datadriven.TestData) string {
		s := newWeightsSite(t)
		for line := range strings.SplitSeq(d.Input, "\n") {
			s.step(strings.Fields(line))
		}
		s.kill()
		return s.out.String()
	})
}

// TestRegistrationInEmptyStore guards against a router that waits for rows of an empty store
// before it registers, and reads them over and over meanwhile.
func TestRegistrationInEmptyStore(t *testing.T) {
	s := newWeightsSite(t)
	s.store.era, s.store.version = 0, 0
	clear(s.tables[tableOperator].rows)
	clear(s.tables[tableServers].rows)
	s.start("a")
	defer s.kill()
	registered := func() bool {
		rows, _ := s.tables[tableShared].state()
		return rows == 1
	}
	for end := realClock.Now().Add(10 * time.Second); !registered(); realClock.Sleep(time.Millisecond) {
		if realClock.Now().After(end) {
			t.Fatal("the router is not registered, while no time passes for it")
		}
	}
}
