package amrdirect

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrplatform"
)

// memoryRows is a table of rows in memory.
type memoryRows struct {
	items map[string]amrplatform.Item
}

func (m memoryRows) Write(_ context.Context, txn amrplatform.Txn) (amrfollow.Receipt, error) {
	for _, put := range txn.Puts {
		m.items[put.Key] = amrplatform.Item{Key: put.Key, Value: put.Value}
	}
	for _, key := range txn.Deletes {
		delete(m.items, key)
	}
	return amrfollow.Receipt{}, nil
}

func (m memoryRows) Read(_ context.Context, key string) (amrplatform.Item, uint64, error) {
	item, ok := m.items[key]
	if !ok {
		return item, 0, amrplatform.NotFound.New("no row %q", key)
	}
	return item, 0, nil
}

func (m memoryRows) Position(context.Context) (amrfollow.Position, error) {
	return amrfollow.Position{Version: 1}, nil
}

func (m memoryRows) Page(_ context.Context, from string, limit int) ([]amrplatform.Item, error) {
	var page []amrplatform.Item
	for _, item := range m.items {
		if item.Key >= from {
			page = append(page, item)
		}
	}
	slices.SortFunc(page, func(a, b amrplatform.Item) int { return strings.Compare(a.Key, b.Key) })
	return page[:min(limit, len(page))], nil
}

// oneRowTable is a shared table with one row, whose clock shows the time since the start.
type oneRowTable struct {
	clock clockwork.Clock
	start time.Time
}

func (e oneRowTable) Snapshot(context.Context) (amrfollow.Batch, error) {
	return amrfollow.Batch{Position: amrfollow.Position{Version: 1}, Rows: []amrfollow.Row{{Key: "other", Version: 1}}, Now: e.clock.Since(e.start)}, nil
}

func (e oneRowTable) Changes(ctx context.Context, after amrfollow.Position, _ time.Duration) (amrfollow.Batch, error) {
	<-ctx.Done()
	return amrfollow.Batch{Position: after}, ctx.Err()
}

// TestStreamRows guards against rows of streams that do not come back as they were
// written, against old ones that routers which are gone have left for good, and against
// times that are written before the clock of the table is known, which would let young rows
// be deleted.
func TestStreamRows(t *testing.T) {
	const streams = 250
	is := is.New(t)
	clock := clockwork.NewRealClock()
	rows := memoryRows{make(map[string]amrplatform.Item)}
	table := oneRowTable{clock, clock.Now()}
	r := New(Dependencies{Streams: rows, Shared: table}, Settings{Host: "own"}, WithClock(clock), WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	o := newOrigins(r)
	origin := amrorigin.Origin{Pool: amrorigin.PoolIDOf("engines"), Software: 7}
	var puts []amrorigin.StreamRow
	for n := range streams {
		puts = append(puts, amrorigin.StreamRow{Stream: amrorigin.StreamOf(fmt.Sprint(n)), Origin: origin})
	}
	is.True(errorx.IsOfType(o.WriteStreams(t.Context(), puts, nil), amrplatform.Unavailable))
	_, err := o.ExpiredStreams(t.Context(), 0)
	is.True(errorx.IsOfType(err, amrplatform.Unavailable))

	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return r.copies.Followers[tableShared].Run(ctx) })
	for !r.copies.Followers[tableShared].Copy().Filled() {
		clock.Sleep(time.Millisecond)
	}
	is.NoErr(o.WriteStreams(t.Context(), puts, nil))
	got, err := o.ReadStream(t.Context(), puts[0].Stream)
	is.NoErr(err)
	is.Equal(got, origin)
	_, err = o.ReadStream(t.Context(), amrorigin.StreamOf("other"))
	is.True(errorx.IsOfType(err, amrplatform.NotFound))

	for age, want := range map[time.Duration]int{time.Hour: 0, 0: streams} {
		found := make(map[amrorigin.Stream]bool)
		for range streams/sweptRows + 2 { // The first calls may begin at any key.
			expired, err := o.ExpiredStreams(t.Context(), age)
			is.NoErr(err)
			is.True(len(expired) <= sweptRows)
			for _, s := range expired {
				found[s] = true
			}
		}
		is.Equal(len(found), want)
	}
	cancel()
	is.NoErr(group.Wait())
}

// TestSoftwareRows guards against rows of pools that are trusted although the table was
// restored since, or its clock has begun anew.
func TestSoftwareRows(t *testing.T) {
	const tableNow, era = time.Minute, 3
	r := New(Dependencies{}, Settings{Host: "own"}, WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	for _, test := range []struct {
		value string
		age   time.Duration
		ok    bool
	}{
		{`{"versions":[7],"since-ms":20000,"era":3}`, 40 * time.Second, true},
		{`{"versions":[7],"since-ms":-5000,"era":3}`, 65 * time.Second, true},
		{`{"versions":[7],"since-ms":60900,"era":3}`, 0, true},
		{`{"versions":[7],"since-ms":61000,"era":3}`, 0, false},
		{`{"versions":[7],"since-ms":20000,"era":2}`, 40 * time.Second, false},
		{`no JSON`, 0, false},
	} {
		t.Run(test.value, func(t *testing.T) {
			is := is.New(t)
			age, _, ok := r.decodeSoftware(amrfollow.Row{Key: "software/engines", Value: []byte(test.value)}, tableNow, era)
			is.Equal(ok, test.ok)
			is.Equal(age, test.age)
		})
	}
}
