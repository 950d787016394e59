package amrorigin

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

const testPool = "engines"

// fleet connects the directories of several routers, which know the same servers.
type fleet struct {
	clock       *clockwork.FakeClock
	directories map[amrgossip.HostID]*Directory
	fleets      map[amrgossip.HostID]*amrpool.Fleet
	hosts       []amrgossip.HostID
	gone        map[amrgossip.HostID]bool
	cut         map[amrgossip.HostID]bool // Routers that reach neither the store nor others.
	stores      map[amrgossip.HostID]*cutStore
	messages    int // Number of messages that were sent.
	servers     map[string]string
	store       *fakeStore // Nil if the routers have none.
}

// newFleet returns a fleet of routers that have just started.
func newFleet(routers int, servers map[string]string) *fleet {
	f := &fleet{
		clock: clockwork.NewFakeClock(), directories: make(map[amrgossip.HostID]*Directory), fleets: make(map[amrgossip.HostID]*amrpool.Fleet),
		gone: make(map[amrgossip.HostID]bool), servers: servers,
	}
	for i := range routers {
		f.hosts = append(f.hosts, amrgossip.IDOf(fmt.Sprint("router-", i)))
	}
	for i := range f.hosts {
		f.restart(i)
	}
	return f
}

// restart starts the router anew.
func (f *fleet) restart(router int) {
	host := f.hosts[router]
	pool := amrpool.New()
	f.fleets[host] = pool
	f.directories[host] = New(pool, f.clock, slog.New(slog.NewTextHandler(io.Discard, nil)), f.options(host)...)
	f.directories[host].SetMessenger(endpoint{f, host})
	delete(f.gone, host)
	for name, version := range f.servers {
		pool.UpdateServer(amrpool.Listing{Name: name, Pool: testPool, Address: name, Software: version})
	}
	f.directories[host].observe(testPool)
}

// list lists a server with the software version at all routers, or removes it if the
// version is empty.
func (f *fleet) list(name, version string) {
	f.servers[name] = version
	if version == "" {
		delete(f.servers, name)
	}
	f.listAll()
}

// listAll lets the routers that reach the store have all its servers.
func (f *fleet) listAll() {
	for _, host := range f.hosts {
		if f.gone[host] || f.cut[host] {
			continue
		}
		for _, state := range f.fleets[host].States(f.clock.Now(), testPool) {
			if f.servers[state.Name] == "" {
				f.fleets[host].RemoveServer(f.clock.Now(), state.Name, 0)
			}
		}
		f.fleets[host].States(f.clock.Now(), testPool) // Forgets servers that are gone.
		for name, version := range f.servers {
			f.fleets[host].UpdateServer(amrpool.Listing{Name: name, Pool: testPool, Address: name, Software: version})
		}
		f.directories[host].observe(testPool)
	}
}

// begin lets the router pass on a stream that a server with the software version began.
func (f *fleet) begin(router int, id, version string) {
	f.directories[f.hosts[router]].Begin(StreamOf(id), testPool, amrpool.SoftwareIDOf(version))
}

// find lets the router look for the origin of a stream, and returns how it was found.
func (f *fleet) find(t *testing.T, router int, id, version string) Certainty {
	t.Helper()
	var origin Origin
	var certainty Certainty
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		origin, certainty = f.directories[f.hosts[router]].Find(t.Context(), StreamOf(id), testPool)
		return nil
	})
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-clockwork.NewRealClock().After(time.Millisecond):
			f.clock.Advance(replyTimeout)
		}
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if certainty != Unknown && (origin.Software != amrpool.SoftwareIDOf(version) || origin.Pool != PoolIDOf(testPool)) {
		t.Errorf("stream %s: wrong origin, %v", id, certainty)
	}
	return certainty
}

// endpoint is the Messenger of a router.
type endpoint struct {
	fleet *fleet
	host  amrgossip.HostID
}

func (e endpoint) RoutersFor(key uint64, n int) []amrgossip.HostID {
	var others []amrgossip.HostID
	start := int(key % uint64(len(e.fleet.hosts)))
	for i := range e.fleet.hosts {
		if host := e.fleet.hosts[(start+i)%len(e.fleet.hosts)]; host != e.host && len(others) < n {
			others = append(others, host)
		}
	}
	return others
}

func (e endpoint) SendOrigins(to amrgossip.HostID, origins []amrgossip.StreamOrigin) bool {
	e.fleet.messages++
	if e.fleet.reaches(e.host, to) {
		e.fleet.directories[to].HandleOrigins(origins)
	}
	return true
}

func (e endpoint) SendOriginQuery(to amrgossip.HostID, q amrgossip.OriginQuery) bool {
	e.fleet.messages++
	if e.fleet.reaches(e.host, to) {
		e.fleet.directories[e.host].HandleOriginReply(e.fleet.directories[to].HandleOriginQuery(q))
	}
	return true
}

// reaches reports whether messages from one router arrive at the other.
func (f *fleet) reaches(from, to amrgossip.HostID) bool {
	return !f.gone[to] && !f.cut[from] && !f.cut[to]
}

// lose lets the router be gone.
func (f *fleet) lose(routers ...int) {
	for _, router := range routers {
		f.gone[f.hosts[router]] = true
	}
}

// TestOriginAtOtherRouters checks that a router learns the origin of streams that began
// elsewhere while servers have two versions, also if the router that passed them on and
// two others are gone.
func TestOriginAtOtherRouters(t *testing.T) {
	const streams = 50
	is := is.New(t)
	f := newFleet(8, map[string]string{"e1": "v1", "e2": "v1.1"})
	versions := []string{"v1", "v1.1"}
	for n := range streams {
		f.begin(3, fmt.Sprint(n), versions[n%2])
	}
	f.lose(3, 4, 5)
	for n := range streams {
		is.Equal(f.find(t, 6+n%2, fmt.Sprint(n), versions[n%2]), Known)
	}
	is.Equal(f.find(t, 6, "never begun", ""), Unknown)
}

// TestOriginWithOneVersion checks that no messages are sent once all streams that callers
// may take up must have begun at the only version, and that streams go on at it.
func TestOriginWithOneVersion(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, map[string]string{"e1": "v1", "e2": "v1"})
	f.begin(0, "early", "v1")
	is.True(f.messages > 0)
	f.clock.Advance(streamLife)
	f.messages = 0
	f.begin(0, "late", "v1")
	f.lose(0)
	is.Equal(f.find(t, 1, "late", "v1"), Inferred)
	is.Equal(f.messages, 0)
}

// TestOriginBeforeChange checks that streams which began before another version appeared
// go on at the earlier one, whether or not the routers could still tell each other, and
// that streams which nobody knows do not go on later.
func TestOriginBeforeChange(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, map[string]string{"e1": "v1", "e2": "v1"})
	f.clock.Advance(streamLife)
	f.begin(0, "told", "v1")
	f.begin(1, "lost", "v1")
	f.lose(1)
	f.list("e3", "v1.1")
	f.begin(0, "new", "v1.1")
	f.lose(0)
	is.Equal(f.find(t, 2, "told", "v1"), Known)
	is.Equal(f.find(t, 2, "new", "v1.1"), Known)
	is.Equal(f.find(t, 2, "lost", "v1"), Inferred)
	f.restart(3)
	is.Equal(f.find(t, 3, "lost", "v1"), Inferred) // Another router has seen the change.
	f.list("e1", "")
	f.list("e2", "")
	is.Equal(f.find(t, 2, "lost", "v1"), Inferred) // It cannot go on, as no server has the version.
	f.clock.Advance(streamLife)
	is.Equal(f.find(t, 2, "after", "v1.1"), Inferred)
}

// TestOriginOfRestartedRouters checks what routers conclude that have all started just now:
// that streams began at the version of all servers, and nothing if there are two.
func TestOriginOfRestartedRouters(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, map[string]string{"e1": "v1", "e2": "v1"})
	is.Equal(f.find(t, 0, "of before", "v1"), Assumed)
	f.list("e3", "v1.1")
	is.Equal(f.find(t, 0, "of before", ""), Unknown)
	f.clock.Advance(streamLife)
	is.Equal(f.find(t, 0, "of before", ""), Unknown)
}

// TestWithdrawalHolds guards against a stream that goes on although it was withdrawn, since its
// beginning is recorded later, here or by a message that another one has overtaken.
func TestWithdrawalHolds(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, map[string]string{"e1": "v1", "e2": "v2"})
	d := f.directories[f.hosts[0]]
	s, v1 := StreamOf("r"), amrpool.SoftwareIDOf("v1")
	d.Withdraw(s, testPool)
	d.Begin(s, testPool, v1)
	d.HandleOrigins([]amrgossip.StreamOrigin{{Stream: uint64(s), Pool: uint32(PoolIDOf(testPool)), Software: uint32(v1)}})
	_, certainty := d.Find(t.Context(), s, testPool)
	is.Equal(certainty, Unknown)

	other := StreamOf("other")
	d.Begin(other, testPool, v1)
	origin, certainty := d.Find(t.Context(), other, testPool)
	is.Equal(certainty, Known)
	is.Equal(origin.Software, v1)
}
