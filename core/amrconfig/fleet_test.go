package amrconfig_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrmemory"
)

// fleet is a set of followers in one process that call each other directly.
type fleet struct {
	platform *amrmemory.Platform
	store    *amrconfig.Store
	group    errgroup.Group
	stop     context.CancelFunc
	ctx      context.Context

	pollInterval time.Duration // Time between checks in awaitRevision.
	headReads    atomic.Int64
	mu           sync.Mutex
	members      map[string]*member
	pulls        int // Completed pulls of all members.
	bytes        int // Estimated bytes transferred by the pulls.
}

type member struct {
	peer      amrconfig.Peer
	follower  *amrconfig.Follower
	stop      context.CancelFunc
	cutOff    bool // All calls from and to the member fail, including those to the store.
	regressed bool // The revision of the follower has decreased.
}

const (
	peerDelay = time.Millisecond // Latency of a call between members.

	// Estimated bytes of a pull in addition to its data: the request, the
	// reply, and the frames and packets around them.
	pullOverhead = 200
)

// newFleet starts the given number of followers, distributed evenly over the
// availability zones.
func newFleet(t *testing.T, size, zones int, opts ...amrmemory.Option) *fleet {
	f := &fleet{platform: amrmemory.New(opts...), members: map[string]*member{}, pollInterval: 20 * time.Millisecond}
	f.platform.SetFaults(amrmemory.Faults{Latency: 5 * time.Millisecond})
	f.store = amrconfig.NewStore(f.platform, f.platform, amrconfig.WithSeed(3))
	f.ctx, f.stop = context.WithCancel(t.Context())
	for i := range size {
		f.start(amrconfig.Peer{Name: fmt.Sprintf("router-%d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return f
}

// start starts a follower that has no records. It replaces the member with the
// same name, if any.
func (f *fleet) start(peer amrconfig.Peer) {
	m := &member{peer: peer}
	services := cutOffPlatform{f.platform, m, f}
	m.follower = amrconfig.NewFollower(
		amrconfig.NewStore(services, services, amrconfig.WithSeed(uint64(len(f.members)))),
		amrconfig.WithSelf(peer),
		amrconfig.WithPeers(memberClient{f, m}, f.livePeers),
		amrconfig.WithFollowerSeed(uint64(len(f.members))))
	ctx, stop := context.WithCancel(f.ctx)
	m.stop = stop
	f.mu.Lock()
	f.members[peer.Name] = m
	f.mu.Unlock()
	f.group.Go(func() error { return m.follower.Run(ctx) })
	f.group.Go(func() error { return m.watchRevisions(ctx) })
}

// watchRevisions checks once a second whether the revision of the follower has
// decreased, and records it.
func (m *member) watchRevisions(ctx context.Context) error {
	var last uint64
	for ctx.Err() == nil {
		revision := m.follower.Current().Revision()
		m.regressed = m.regressed || revision < last
		last = revision
		sleep(ctx, time.Second)
	}
	return nil
}

func (f *fleet) livePeers() []amrconfig.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []amrconfig.Peer
	for _, m := range f.members {
		peers = append(peers, m.peer)
	}
	return peers
}

func (f *fleet) isCutOff(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	return !ok || m.cutOff
}

func (f *fleet) cutOff(name string, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[name].cutOff = cutOff
}

// awaitRevision waits until every member that is not cut off has the revision
// or the limit has passed. It returns the sorted times that the members took,
// with the limit for those that did not get there.
func (f *fleet) awaitRevision(ctx context.Context, revision uint64, limit time.Duration) []time.Duration {
	start := now()
	elapsed := map[string]time.Duration{}
	for now().Sub(start) < limit {
		missing := false
		f.mu.Lock()
		for name, m := range f.members {
			if _, done := elapsed[name]; done || m.cutOff {
				continue
			}
			if m.follower.Current().Revision() >= revision {
				elapsed[name] = now().Sub(start)
			} else {
				missing = true
			}
		}
		f.mu.Unlock()
		if !missing {
			break
		}
		sleep(ctx, f.pollInterval)
	}
	var all []time.Duration
	for name := range f.members {
		if t, ok := elapsed[name]; ok {
			all = append(all, t)
		} else if !f.isCutOff(name) {
			all = append(all, limit)
		}
	}
	slices.Sort(all)
	return all
}

// applyChange applies the i-th change and returns its revision.
func (f *fleet) applyChange(t *testing.T, i int) uint64 {
	revision, err := f.store.Apply(t.Context(), putChange(teamRecord(fmt.Sprintf("team-%d", i%40), i+1)))
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// stopAndCheck stops all followers and checks that watchRevisions saw no
// revision decrease.
func (f *fleet) stopAndCheck(is *is.I) {
	f.stop()
	is.NoErr(f.group.Wait())
	for _, m := range f.members {
		is.True(!m.regressed)
	}
}

// memberClient calls other members on behalf of one member.
type memberClient struct {
	fleet *fleet
	from  *member
}

var errNoAnswer = errors.New("no answer")

func (c memberClient) Pull(ctx context.Context, to amrconfig.Peer, since uint64, wait time.Duration) (amrconfig.Delta, error) {
	sleep(ctx, peerDelay)
	if c.fleet.isCutOff(to.Name) || c.fleet.isCutOff(c.from.peer.Name) {
		<-ctx.Done() // The call fails only by its timeout, as if packets were lost.
		return amrconfig.Delta{}, errNoAnswer
	}
	c.fleet.mu.Lock()
	target := c.fleet.members[to.Name]
	c.fleet.mu.Unlock()
	delta, err := target.follower.Pull(ctx, since, wait)
	c.fleet.mu.Lock()
	c.fleet.pulls++
	c.fleet.bytes += pullOverhead + len(delta.Data)
	c.fleet.mu.Unlock()
	if c.fleet.isCutOff(to.Name) {
		return amrconfig.Delta{}, errNoAnswer
	}
	return delta, err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

func now() time.Time { return clock.Now() }

// TestInForce checks the time until an accepted change is in force in 12
// routers in 3 availability zones.
func TestInForce(t *testing.T) {
	const (
		maxMedian = 2 * time.Second
		maxWorst  = 5 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12, 3)
		sleep(t.Context(), 10*time.Second)
		var all []time.Duration
		for i := range 100 {
			all = append(all, f.awaitRevision(t.Context(), f.applyChange(t, i), 20*time.Second)...)
			sleep(t.Context(), time.Duration(i*37%1000)*time.Millisecond)
		}
		slices.Sort(all)
		t.Logf("in force: median %s, worst %s", all[len(all)/2], all[len(all)-1])
		is.True(all[len(all)/2] <= maxMedian)
		is.True(all[len(all)-1] <= maxWorst)
		f.stopAndCheck(is)
	})
}

// TestInForceAfterFailure checks that a change is in force everywhere within
// 10 seconds after a failure: the restart of one or all routers, a partition,
// the loss of all but one of the routers of an availability zone and thus of
// at least one of its two head readers, or an outage of the store.
func TestInForceAfterFailure(t *testing.T) {
	const bound = 10 * time.Second
	failures := map[string]func(*testing.T, *fleet) uint64{
		"restart": func(t *testing.T, f *fleet) uint64 {
			m := f.members["router-4"]
			m.stop()
			revision := f.applyChange(t, 100)
			f.start(m.peer)
			return revision
		},
		"partition": func(t *testing.T, f *fleet) uint64 {
			names := []string{"router-0", "router-3", "router-6", "router-9"}
			for _, name := range names {
				f.cutOff(name, true)
			}
			var revision uint64
			for i := range 100 {
				revision = f.applyChange(t, i)
				sleep(t.Context(), 500*time.Millisecond)
			}
			for _, name := range names {
				f.cutOff(name, false)
			}
			return revision
		},
		"reader-death": func(t *testing.T, f *fleet) uint64 {
			for _, name := range []string{"router-0", "router-3", "router-6"} {
				f.cutOff(name, true) // One router of the availability zone remains.
			}
			return f.applyChange(t, 100)
		},
		"store-outage": func(t *testing.T, f *fleet) uint64 {
			f.platform.SetFaults(amrmemory.Faults{Down: true})
			sleep(t.Context(), 2*time.Minute)
			f.platform.SetFaults(amrmemory.Faults{})
			return f.applyChange(t, 100)
		},
		"all-restart": func(t *testing.T, f *fleet) uint64 {
			revision := f.applyChange(t, 100)
			for _, m := range f.members {
				m.stop()
			}
			for _, m := range f.members {
				f.start(m.peer)
			}
			return revision
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 12, 3)
				for i := range 20 {
					f.awaitRevision(t.Context(), f.applyChange(t, i), time.Minute)
				}
				revision := fail(t, f)
				all := f.awaitRevision(t.Context(), revision, time.Minute)
				t.Logf("in force: median %s, worst %s", all[len(all)/2], all[len(all)-1])
				is.True(all[len(all)-1] <= bound)
				f.stopAndCheck(is)
			})
		})
	}
}

// TestStartWithoutStore checks that a router that starts during an outage of
// the store obtains the records from its peers and becomes ready.
func TestStartWithoutStore(t *testing.T) {
	const bound = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 2)
		revision := f.applyChange(t, 1)
		f.awaitRevision(t.Context(), revision, time.Minute)
		f.platform.SetFaults(amrmemory.Faults{Down: true})
		sleep(t.Context(), 2*time.Minute)
		m := f.members["router-1"]
		m.stop()
		f.start(m.peer)
		all := f.awaitRevision(t.Context(), revision, time.Minute)
		is.True(all[len(all)-1] <= bound)
		is.True(f.members["router-1"].follower.Ready())
		f.stopAndCheck(is)
	})
}
