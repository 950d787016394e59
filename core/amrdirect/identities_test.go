package amrdirect

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrpool"
)

// switchedLists is a store that confirms the lists or not.
type switchedLists struct {
	amrorigin.Store
	err error
}

func (s *switchedLists) ConfirmLists(context.Context) error { return s.err }

// bornEngines is an EngineClient of engines that tell when they started; zero for one that does
// not answer.
type bornEngines struct {
	EngineClient
	started time.Time
}

func (e *bornEngines) Report(context.Context, string, string) (EngineReport, error) {
	if e.started.IsZero() {
		return EngineReport{}, errors.New("no answer")
	}
	return EngineReport{Started: e.started}, nil
}

// TestIdentities guards against a server that has started again under its name and is taken
// for the listed one, while the list is current and while it is not, and against sound servers
// that are not trusted while the store is away.
func TestIdentities(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	table := newMemoryTable(realClock, "e1")
	servers := amrfollow.New("servers", table, newTestRollout(0).log, func(amrfollow.Update) {})
	var group errgroup.Group
	group.Go(func() error { return servers.Run(ctx) })
	defer func() { is.NoErr(group.Wait()) }()
	defer cancel()
	for !servers.Copy().Filled() {
		realClock.Sleep(time.Millisecond)
	}

	start := clockwork.NewFakeClock().Now()
	listing := amrpool.Listing{Name: "e1", Pool: "engines", Software: "v1", Started: start}
	fleet := amrpool.New()
	fleet.UpdateServer(listing)
	choice, _ := fleet.Pick(realClock.Now(), amrpool.Request{Pool: "engines"})
	lists, engines := &switchedLists{}, &bornEngines{}
	i := newIdentities(lists, fleet, engines)
	i.servers = servers
	i.observe(realClock.Now(), "e1", start)
	away := errors.New("the store is away")
	later := realClock.Now().Add(time.Second) // The list has not been read since.
	check := func(serves, began bool) {
		t.Helper()
		is.Helper()
		is.Equal(i.Serves(ctx, choice), serves)
		is.Equal(i.Began(ctx, choice, later), began)
	}
	for _, lists.err = range []error{nil, away} {
		engines.started = start
		check(true, true) // The server says that it is the listed one.
		engines.started = start.Add(time.Second)
		check(false, false)
	}
	engines.started = time.Time{} // It does not answer.
	check(false, false)
	lists.err = nil
	check(true, true) // The list is current.

	is.True(i.Begins(ctx, choice)) // The list is followed.
	unread := amrfollow.New("servers", table, newTestRollout(0).log, func(amrfollow.Update) {})
	i.servers = unread
	is.True(!i.Begins(ctx, choice))
	engines.started = start
	is.True(i.Begins(ctx, choice))
	engines.started = start.Add(time.Second)
	is.True(!i.Begins(ctx, choice))
	engines.started, i.servers = time.Time{}, servers

	list := func(software string) {
		listing.Started, listing.Software = listing.Started.Add(time.Second), software
		fleet.UpdateServer(listing)
		i.observe(realClock.Now(), "e1", listing.Started)
	}
	list("v1")
	check(false, true) // Both incarnations have the same software.
	began := realClock.Now()
	for !servers.WasContinuous(began) {
		table.write("e2")
		realClock.Sleep(time.Millisecond)
	}
	list("v2")
	is.True(!i.Began(ctx, choice, began))                       // It may have been listed too late.
	is.True(!i.Began(ctx, choice, began.Add(-time.Hour)))       // The list was not read then.
	i.listed["e1"] = incarnation{since: began.Add(2 * listLag)} // As if it had been listed later.
	is.True(i.Began(ctx, choice, began))
}

// write writes the row.
func (m *memoryTable) write(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	m.rows[key] = amrfollow.Row{Key: key, Version: m.version}
	close(m.changed)
	m.changed = make(chan struct{})
}
