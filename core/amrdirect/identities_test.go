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
	i := &identities{lists: lists, servers: servers, fleet: fleet, engines: engines}
	later := realClock.Now().Add(time.Second) // The list has not been read since.

	is.True(i.Serves(ctx, choice)) // The list is current.
	is.True(i.Began(ctx, choice, later))
	lists.err = errors.New("the store is away")
	is.True(!i.Serves(ctx, choice))
	is.True(!i.Began(ctx, choice, later))
	engines.started = start
	is.True(i.Serves(ctx, choice)) // The server itself says so.
	is.True(i.Began(ctx, choice, later))
	engines.started = start.Add(time.Second)
	is.True(!i.Serves(ctx, choice))
	is.True(!i.Began(ctx, choice, later))
	is.True(!i.Began(ctx, choice, realClock.Now().Add(-time.Second))) // Before the first read of the list.

	lists.err = nil
	listing.Started = listing.Started.Add(time.Second)
	fleet.UpdateServer(listing)
	is.True(!i.Serves(ctx, choice))
	is.True(i.Began(ctx, choice, later)) // Both incarnations have the same software.
	listing.Started, listing.Software = listing.Started.Add(time.Second), "v2"
	fleet.UpdateServer(listing)
	is.True(!i.Began(ctx, choice, later))
	table.write("e2")
	began := realClock.Now()
	for !servers.WasContinuous(began) {
		table.write("e2")
		realClock.Sleep(time.Millisecond)
	}
	is.True(i.Began(ctx, choice, began)) // It was listed then, as the list has been read since.
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
