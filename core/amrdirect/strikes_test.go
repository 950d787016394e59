package amrdirect

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
	"amaranthreach.example/core/amrsuspect"
)

var realClock = clockwork.NewRealClock()

// memoryStore is a store in memory that outlives routers. Its tables have one counter of
// versions.
type memoryStore struct {
	clock clockwork.Clock
	start time.Time

	mu      sync.Mutex
	era     uint64 // 0 if the platform does not provide it.
	version uint64
	delay   time.Duration // Time that each call takes.
	away    chan struct{} // Closed while all calls fail.
}

func newMemoryStore(clock clockwork.Clock) *memoryStore {
	return &memoryStore{clock: clock, start: clock.Now(), era: firstEra, version: 1, away: make(chan struct{})}
}

// table returns a new table with the keys.
func (s *memoryStore) table(keys ...string) *memoryTable {
	m := &memoryTable{memoryStore: s, rows: make(map[string]amrfollow.Row), changed: make(chan struct{})}
	for _, key := range keys {
		m.rows[key] = amrfollow.Row{Key: key, Version: 1}
	}
	return m
}

// pass takes the time of a call, and fails if the store is away.
func (s *memoryStore) pass() error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		s.clock.Sleep(delay)
	}
	select {
	case <-s.interrupted():
		return amrplatform.Unavailable.New("the store is away")
	default:
		return nil
	}
}

// interrupted returns a channel that is closed while the store is away.
func (s *memoryStore) interrupted() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// setAway sets whether the store is away.
func (s *memoryStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if away {
		close(s.away)
	} else {
		s.away = make(chan struct{})
	}
}

// setDelay sets the time that each call takes.
func (s *memoryStore) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// memoryTable is a table of a memoryStore.
type memoryTable struct {
	*memoryStore
	rows    map[string]amrfollow.Row // Deleted rows stay with their deletion.
	changed chan struct{}            // Closed with the next change.
}

// newMemoryTable returns the only table of a new store.
func newMemoryTable(clock clockwork.Clock, keys ...string) *memoryTable {
	return newMemoryStore(clock).table(keys...)
}

// put writes a row.
func (m *memoryTable) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	m.rows[key] = amrfollow.Row{Key: key, Value: []byte(value), Version: m.version}
	close(m.changed)
	m.changed = make(chan struct{})
}

// batch returns the rows that changed after the version. The caller must hold mu.
func (m *memoryTable) batch(after uint64) amrfollow.Batch {
	b := amrfollow.Batch{Position: amrfollow.Position{Era: m.era, Version: m.version}, Now: m.clock.Since(m.start)}
	for _, row := range m.rows {
		if row.Version > after {
			b.Rows = append(b.Rows, row)
		}
	}
	return b
}

func (m *memoryTable) Snapshot(context.Context) (amrfollow.Batch, error) {
	if err := m.pass(); err != nil {
		return amrfollow.Batch{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.batch(0), nil
}

func (m *memoryTable) Changes(ctx context.Context, after amrfollow.Position, wait time.Duration) (amrfollow.Batch, error) {
	for {
		if err := m.pass(); err != nil {
			return amrfollow.Batch{}, err
		}
		m.mu.Lock()
		batch, changed := m.batch(after.Version), m.changed
		m.mu.Unlock()
		if len(batch.Rows) > 0 || wait == 0 {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return batch, ctx.Err()
		case <-changed:
		case <-m.interrupted():
		}
	}
}

func (m *memoryTable) Write(_ context.Context, txn amrplatform.Txn) (amrfollow.Receipt, error) {
	if err := m.pass(); err != nil {
		return amrfollow.Receipt{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, check := range txn.Checks {
		row := m.rows[check.Key]
		if row.Deleted {
			row.Version = 0
		}
		if row.Version != check.Version {
			return amrfollow.Receipt{}, amrplatform.Conflict.New("row %q has version %d", row.Key, row.Version)
		}
	}
	m.version++
	for _, put := range txn.Puts {
		m.rows[put.Key] = amrfollow.Row{Key: put.Key, Value: put.Value, Version: m.version}
	}
	for _, key := range txn.Deletes {
		m.rows[key] = amrfollow.Row{Key: key, Version: m.version, Deleted: true}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return amrfollow.Receipt{Position: amrfollow.Position{Era: m.era, Version: m.version}}, nil
}

func (m *memoryTable) Read(context.Context, string) (amrplatform.Item, uint64, error) {
	return amrplatform.Item{}, m.era, amrplatform.NotFound.New("not used by the test")
}

// state returns the number of rows and that of the writes.
func (m *memoryTable) state() (rows int, writes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range m.rows {
		if !row.Deleted {
			rows++
		}
	}
	return rows, m.version - 1
}

// crashSite is a site with one router and servers that crash when they run a request with
// the body "crash".
type crashSite struct {
	is      *is.I
	t       *testing.T
	clock   *clockwork.FakeClock
	shared  *memoryTable
	router  *Router
	stop    func() error
	crashes []time.Time
}

func (s *crashSite) Operator(amrfollow.Row) (OperatorDeclaration, error) {
	return Records{
		Version: 1,
		Routes: []amrroute.Route{{
			Name: "once", Host: "shop.example", Prefix: "/", Kind: amrroute.Once, Timeout: time.Second, MaxServers: 1,
			Targets: []amrroute.Target{{Pool: "app", Weight: 1}},
		}},
		Teams: []amrroute.Team{{Name: "recife", Keys: []string{"k1"}}},
	}, nil
}

func (s *crashSite) Server(row amrfollow.Row) (amrpool.Listing, error) {
	return amrpool.Listing{Name: row.Key, Pool: "app", Address: row.Key, Slots: 8}, nil
}

func (s *crashSite) Send(_ context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	if _, err := a.BeforeSend(); err != nil {
		return nil, amrhttp.NotSent.Wrap(err, "withheld")
	}
	if string(a.Request.Body) == "crash" {
		s.crashes = append(s.crashes, s.clock.Now())
		return nil, amrhttp.Broken.New("reset")
	}
	return &amrforward.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// start starts a router, and waits until it is ready.
func (s *crashSite) start() {
	s.router = New(Dependencies{
		Operator: newMemoryTable(s.clock, "records"), Servers: newMemoryTable(s.clock, "s1", "s2", "s3", "s4", "s5", "s6"),
		Shared: s.shared, Rows: s.shared, Decoder: s, Backend: s,
	}, Settings{Host: "front-1", Bounds: Bounds{StaleWeights: amrpool.StaleBounds{After: time.Minute, Limit: time.Minute, Start: time.Minute}}}, WithClock(s.clock), WithLogger(slog.New(slog.DiscardHandler)))
	ctx, cancel := context.WithCancel(s.t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.router.Run(ctx) })
	s.stop = func() error { cancel(); return group.Wait() }
	s.await("the router is ready", s.router.Ready)
}

// restart kills the router and starts another one.
func (s *crashSite) restart() {
	s.is.NoErr(s.stop())
	s.start()
}

// await waits until the condition holds, while time passes for the router.
func (s *crashSite) await(what string, condition func() bool) {
	s.t.Helper()
	for end := realClock.Now().Add(10 * time.Second); !condition(); {
		if realClock.Now().After(end) {
			s.t.Fatalf("not reached: %s", what)
		}
		s.pass(100 * time.Millisecond)
	}
}

// pass lets time pass for the router. Its goroutines get some real time after each step.
func (s *crashSite) pass(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		s.clock.Advance(100 * time.Millisecond)
		realClock.Sleep(2 * time.Millisecond)
	}
}

// send sends a request with the body and returns the answer.
func (s *crashSite) send(body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.router.Serve(s.t.Context(), w, &amrforward.Request{
		ID: body, Method: http.MethodPost, Target: "/x", Path: "/x", Host: "shop.example", Key: "k1",
		Header: http.Header{}, Body: []byte(body), Arrived: s.clock.Now(),
	})
	return w
}

// TestStrikesAfterRestart guards against a request that crashes servers again because all
// routers that have counted its crashes were killed. With three strikes it is refused, but for
// one run at a time, the first of which comes amrsuspect.TrialDelay after the last crash; with
// two it is sent once more. The rows end with the strikes. Other requests are served, and cause
// no writes.
func TestStrikesAfterRestart(t *testing.T) {
	const (
		sound   = 1000
		maxLate = 3 // Crashes after the third that users accept.
	)
	for strikes := 2; strikes <= amrsuspect.MaxStrikes; strikes++ {
		t.Run(strconv.Itoa(strikes), func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			s := &crashSite{is: is, t: t, clock: clock, shared: newMemoryTable(clock)}
			s.start()
			s.await("the router is registered", func() bool { rows, _ := s.shared.state(); return rows >= 1 })
			s.pass(3 * time.Second)
			rows, writes := s.shared.state()
			for i := range sound {
				is.Equal(s.send("sound "+strconv.Itoa(i)).Code, http.StatusOK)
			}
			s.pass(2 * time.Second)
			_, now := s.shared.state()
			is.Equal(now, writes)
			for range strikes {
				s.send("crash")
				s.pass(1500 * time.Millisecond)
			}
			is.Equal(len(s.crashes), strikes)
			for range 3 {
				s.restart()
				for range 5 {
					s.send("crash")
					s.pass(1500 * time.Millisecond)
				}
				is.True(len(s.crashes) >= amrsuspect.MaxStrikes)
			}
			for i, at := range s.crashes[amrsuspect.MaxStrikes:] {
				is.True(at.Sub(s.crashes[amrsuspect.MaxStrikes+i-1]) >= amrsuspect.TrialDelay)
			}
			is.True(len(s.crashes) <= amrsuspect.MaxStrikes+maxLate)
			s.send("crash") // It may be let through.
			crashes := len(s.crashes)
			refused := s.send("crash")
			is.Equal(len(s.crashes), crashes)
			is.Equal(refused.Code, http.StatusServiceUnavailable)
			is.True(strings.Contains(refused.Body.String(), `"quarantined"`))
			for i := range sound {
				is.Equal(s.send("sound "+strconv.Itoa(i)).Code, http.StatusOK)
			}
			s.pass(amrsuspect.StrikeTTL)
			after, _ := s.shared.state()
			is.Equal(after, rows)
			s.send("crash")
			is.Equal(len(s.crashes), crashes+1)
		})
	}
}
