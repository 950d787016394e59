package amrdirect

import (
	"context"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrpool"
)

// loadingEngines is an EngineClient of engines that load weights at once. It records who
// gave the first order.
type loadingEngines struct {
	mu      sync.Mutex
	version map[string]int
	holder  string
	first   time.Time
}

func (e *loadingEngines) Report(_ context.Context, _, server string) (EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineReport{Version: map[string]int{"m1": max(1, e.version[server])}}, nil
}

func (e *loadingEngines) ChangeWeights(_ context.Context, _ string, order WeightsOrder, permit func() error) error {
	if err := permit(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder == "" {
		e.holder, e.first = order.Holder, realClock.Now()
	}
	e.version[order.Server] = order.Version
	return nil
}

// ordered returns the versions that engines were ordered to load, and who gave the first
// order when.
func (e *loadingEngines) ordered() (version map[string]int, holder string, first time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.version), e.holder, e.first
}

// orderSite is a table and engines with routers that order them to load new weights.
type orderSite struct {
	table   *memoryTable
	engines *loadingEngines
}

func newOrderSite() *orderSite {
	return &orderSite{table: newMemoryTable(realClock), engines: &loadingEngines{version: make(map[string]int)}}
}

// router returns the rollout of a router with the rank, which follows the table. It must be
// called in a bubble of synctest.
func (s *orderSite) router(ctx context.Context, group *errgroup.Group, host string, rank int) *rollout {
	r := newTestRollout(2)
	r.host, r.rank = host, rank
	r.boot, r.clock = realClock, realClock
	r.deps = Dependencies{Rows: s.table, Engines: s.engines}
	r.fleet = amrpool.New(amrpool.WithStaleWeights(amrpool.StaleBounds{After: time.Second, Limit: staleLimit, Start: staleLimit}))
	for _, name := range []string{"e1", "e2"} {
		r.fleet.UpdateServer(amrpool.Listing{Name: name, Pool: "engines", Weights: map[string]int{"m1": 1}})
	}
	r.lease = amrorder.NewFollowedLease(realClock.Now(), leaseKey, host, host+"-1", leaseTTL)
	r.handover = newHandover(realClock.Now(), host, handoverGap)
	r.orders, r.loadSlots = newOrderCounter(), semaphore.NewWeighted(loadCapacity)
	r.tableNow = func() time.Duration { return realClock.Since(s.table.start) }
	r.wake, r.announced = make(chan struct{}, 1), true
	r.observeEra(firstEra)
	f := amrfollow.New("shared", s.table, r.log, r.applyShared)
	group.Go(func() error { return f.Run(ctx) })
	return r
}

// staleLimit is the time after which the routers send no requests to engines with old weights.
const staleLimit = 6 * time.Second

// givenUp reports whether the row of the lease says that its holder has resigned.
func (s *orderSite) givenUp() bool {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	return strings.Contains(string(s.table.rows[leaseKey+"/1"].Value), `"resigned":true`)
}

// name declares new weights at the routers, which are waiting for declarations.
func (s *orderSite) name(routers ...*rollout) {
	for _, r := range routers {
		s.read(r, r.tableNow())
	}
}

// read makes the router read the declaration of new weights, which may be from the given time
// of the table's clock.
func (s *orderSite) read(r *rollout, since time.Duration) {
	r.fleet.SetTarget(realClock.Now(), "m1", 2)
	r.recordTarget(TargetWeights{Model: "m1", Version: 2}, amrfollow.Row{Key: "weights", Version: 1}, amrfollow.Update{Era: firstEra, Since: since, Now: r.tableNow()})
}

// TestWeightsWhileAllStop guards against new weights that nobody has loaded because all
// routers are stopping when they are declared, and which the routers that start afterwards
// date by their own start.
func TestWeightsWhileAllStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOrderSite()
		ctx, cancel := context.WithCancel(t.Context())
		var followers, routers errgroup.Group
		stopping, stop := context.WithCancel(ctx)
		serving, endServing := context.WithCancel(ctx)
		first := s.router(ctx, &followers, "first", 0)
		second := s.router(ctx, &followers, "second", 1)
		for _, r := range []*rollout{first, second} {
			routers.Go(func() error { return r.Run(ctx, stopping, serving, 7*time.Second) })
		}
		realClock.Sleep(time.Second)
		stop()
		realClock.Sleep(2 * time.Second)
		s.name(first, second)
		named := realClock.Now()
		realClock.Sleep(2 * time.Second)
		version, holder, firstOrder := s.engines.ordered()
		is.Equal(version, map[string]int{"e1": 2, "e2": 2})
		is.Equal(holder, "first")
		is.True(firstOrder.Sub(named) < time.Second)
		for _, name := range []string{"e1", "e2"} {
			second.fleet.ObserveVersion(name, "m1", 2) // As the list of servers tells it.
		}
		realClock.Sleep(500 * time.Millisecond)
		is.True(s.givenUp()) // Routers that start need not wait until the lease expires.
		endServing()
		ended := realClock.Now()
		is.NoErr(routers.Wait()) // Nothing is left to do, so that they end before the limit.
		is.True(realClock.Since(ended) < 100*time.Millisecond)

		third := s.router(ctx, &followers, "third", 0)
		realClock.Sleep(100 * time.Millisecond)
		s.read(third, 0) // After the note.
		realClock.Sleep(named.Add(staleLimit - 100*time.Millisecond).Sub(realClock.Now()))
		is.Equal(servers(third), 2)
		realClock.Sleep(200 * time.Millisecond)
		is.Equal(servers(third), 0) // Its list still has the old weights.
		third.fleet.ObserveVersion("e1", "m1", 2)
		is.Equal(servers(third), 1) // Requests are not all refused.
		cancel()
		is.NoErr(followers.Wait())
	})
}

// servers returns the number of engines to which the router sends requests.
func servers(r *rollout) int {
	n := 0
	var excluded []string
	for {
		choice, _ := r.fleet.Pick(realClock.Now(), amrpool.Request{Pool: "engines", Model: "m1", Exclude: excluded})
		if choice == nil {
			return n
		}
		choice.Done(realClock.Now(), amrpool.Withheld)
		excluded = append(excluded, choice.Name)
		n++
	}
}

// TestStoppingRouterLeavesOrders guards against a router that is stopping and takes the lease
// although another one can, which would then have to take it over.
func TestStoppingRouterLeavesOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOrderSite()
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		stopping, stop := context.WithCancel(ctx)
		first := s.router(ctx, &group, "first", 0)
		second := s.router(ctx, &group, "second", 1)
		group.Go(func() error { return first.Run(ctx, stopping, ctx, 7*time.Second) })
		group.Go(func() error { return second.Run(ctx, ctx, ctx, 7*time.Second) })
		stop()
		realClock.Sleep(2 * time.Second)
		s.name(first, second)
		realClock.Sleep(2 * time.Second)
		version, holder, _ := s.engines.ordered()
		is.Equal(version, map[string]int{"e1": 2, "e2": 2})
		is.Equal(holder, "second")
		cancel()
		is.NoErr(group.Wait())
	})
}
