package amrorigin

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
)

// fakeStore is a store in memory that all routers of a test share.
type fakeStore struct {
	mu      sync.Mutex
	pools   map[string]PoolRow
	streams map[Stream]Origin
	down    bool
	calls   int
	routers int
}

// call counts a call and returns its error. The caller must hold s.mu.
func (s *fakeStore) call() error {
	s.calls++
	if s.down {
		return amrplatform.Unavailable.New("down")
	}
	return nil
}

func (s *fakeStore) WritePool(_ context.Context, pool string, row PoolRow) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return err
	}
	s.pools[pool] = row
	return nil
}

func (s *fakeStore) WriteStreams(_ context.Context, puts []StreamRow, deletes []Stream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return err
	}
	for _, row := range puts {
		s.streams[row.Stream] = row.Origin
	}
	for _, stream := range deletes {
		delete(s.streams, stream)
	}
	return nil
}

func (s *fakeStore) ReadStream(_ context.Context, stream Stream) (Origin, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return Origin{}, err
	}
	origin, ok := s.streams[stream]
	if !ok {
		return Origin{}, amrplatform.NotFound.New("no row")
	}
	return origin, nil
}

func (s *fakeStore) ExpiredStreams(context.Context, time.Duration) ([]Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.call()
}

func (s *fakeStore) ConfirmLists(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.call()
}

func (s *fakeStore) ListsAge() time.Duration { return 0 }

// cutStore is the store as seen by one router, which may be cut off from it.
type cutStore struct {
	*fakeStore
	fleet *fleet
	host  amrgossip.HostID

	currentAt time.Time // Time at which the router last read the lists.
}

func (s *cutStore) ConfirmLists(ctx context.Context) error {
	if s.fleet.cut[s.host] {
		return amrplatform.Unavailable.New("cut off")
	}
	if s.ListsAge() == 0 {
		return nil
	}
	if err := s.fakeStore.ConfirmLists(ctx); err != nil {
		return err
	}
	s.fleet.followOne(s.host)
	return nil
}

func (s *cutStore) ListsAge() time.Duration {
	return s.fleet.clock.Since(s.currentAt)
}

func (s *cutStore) ReadStream(ctx context.Context, stream Stream) (Origin, error) {
	if s.fleet.cut[s.host] {
		return Origin{}, amrplatform.Unavailable.New("cut off")
	}
	return s.fakeStore.ReadStream(ctx, stream)
}

func (s *fakeStore) Rank() (rank, routers int) {
	return 0, s.routers
}

// options returns the options of a directory.
func (f *fleet) options(host amrgossip.HostID) []Option {
	if f.store == nil {
		return nil
	}
	f.stores[host] = &cutStore{fakeStore: f.store, fleet: f, host: host}
	return []Option{WithStore(f.stores[host])}
}

// newStoreFleet returns a fleet of routers with a store that have started on a platform
// whose servers have had the version v1 for long.
func newStoreFleet(routers int) *fleet {
	f := &fleet{
		clock: clockwork.NewFakeClock(), directories: make(map[amrgossip.HostID]*Directory), fleets: make(map[amrgossip.HostID]*amrpool.Fleet),
		gone: make(map[amrgossip.HostID]bool), cut: make(map[amrgossip.HostID]bool), servers: map[string]string{"e1": "v1"},
		stores: make(map[amrgossip.HostID]*cutStore),
	}
	f.store = &fakeStore{streams: make(map[Stream]Origin), routers: routers}
	f.store.pools = map[string]PoolRow{testPool: {Versions: versionsOf([]string{"v1"}), Since: f.clock.Now().Add(-time.Hour)}}
	for i := range routers {
		f.hosts = append(f.hosts, amrgossip.IDOf(fmt.Sprint("router-", i)))
	}
	for i := range routers {
		f.restart(i)
	}
	f.follow()
	return f
}

// follow lets the routers read the list and, while the store answers, the rows of pools.
func (f *fleet) follow() {
	for _, host := range f.hosts {
		f.followOne(host)
	}
}

// followOne lets the router read the list and, while the store answers, the rows of pools.
func (f *fleet) followOne(host amrgossip.HostID) {
	if f.cut[host] {
		return
	}
	d := f.directories[host]
	d.RecordList()
	if !f.store.down && !f.gone[host] {
		f.stores[host].currentAt = f.clock.Now()
		d.ApplyPoolRows(maps.Clone(f.store.pools), false)
	}
}

// write lets the routers write what is due, and follow it.
func (f *fleet) write(ctx context.Context) {
	for _, host := range f.hosts {
		if f.gone[host] || f.cut[host] {
			continue
		}
		d := f.directories[host]
		d.writeDuePools(ctx)
		if puts, deletes := d.batch.take(f.clock.Now()); len(puts) > 0 {
			d.writeBatch(ctx, puts, deletes)
		}
		f.follow()
	}
}

// TestStore runs the scripts in testdata/store on four routers with a store, whose servers
// have had version v1 for long. It guards against streams that are joined from two versions
// or refused without need after routers were gone, and against calls to the store that are
// not needed. Each line is a command:
//
//	list SERVER VERSION        a server is listed; without a version it leaves
//	begin ROUTER ID VERSION    the router passes on a stream
//	withdraw ROUTER ID         the router does not know the version of a stream that it passed on
//	write                      routers write what is due
//	lose ROUTER                the router is gone
//	cut|heal ROUTER...         the routers are cut off from the store and all routers, or no more
//	restart ROUTER...          routers start anew at once, without reading the rows
//	follow                     routers read the list and the rows
//	store down|up|empty        the store fails, answers again, or has lost all rows
//	find ROUTER ID VERSION     prints how the router finds the stream's origin, and checks its version
//	calls                      prints the number of calls to the store since the last time
//	wait DURATION
func TestStore(t *testing.T) {
	datadriven.Walk(t, "testdata/store", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f := newStoreFleet(4)
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				if result := f.execute(t, strings.Fields(line)); result != "" {
					fmt.Fprintf(&out, "%s: %s\n", strings.TrimSpace(line), result)
				}
			}
			return out.String()
		})
	})
}

// execute executes a command of TestStore and returns its output.
func (f *fleet) execute(t *testing.T, words []string) string {
	router := 0
	if len(words) > 1 {
		router, _ = strconv.Atoi(words[1])
	}
	switch words[0] {
	case "list":
		f.list(words[1], strings.Join(words[2:], ""))
		f.follow()
	case "begin":
		f.begin(router, words[2], words[3])
	case "withdraw":
		f.directories[f.hosts[router]].Withdraw(StreamOf(words[2]), testPool)
	case "write":
		f.write(t.Context())
	case "lose":
		f.lose(router)
	case "cut", "heal":
		for _, word := range words[1:] {
			n, _ := strconv.Atoi(word)
			f.cut[f.hosts[n]] = words[0] == "cut"
		}
		f.listAll()
		f.follow()
	case "restart":
		for _, word := range words[1:] {
			n, _ := strconv.Atoi(word)
			f.restart(n)
		}
	case "follow":
		f.follow()
	case "store":
		f.store.down = words[1] == "down"
		if words[1] == "empty" {
			f.store.pools, f.store.streams = make(map[string]PoolRow), make(map[Stream]Origin)
		}
	case "find":
		return f.find(t, router, words[2], words[3]).String()
	case "calls":
		calls := f.store.calls
		f.store.calls = 0
		return strconv.Itoa(calls)
	case "wait":
		f.clock.Advance(parseDuration(t, words[1]))
	default:
		t.Fatalf("unknown command %q", words[0])
	}
	return ""
}
