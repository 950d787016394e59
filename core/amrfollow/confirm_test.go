package amrfollow_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrfollow"
)

// heldTable is a table in memory that holds calls for changes until it is released, or
// returns no changes at all.
type heldTable struct {
	mu      sync.Mutex
	rows    []amrfollow.Row
	era     uint64
	changed chan struct{}
	deaf    bool // Calls for changes that wait are held, whatever changes, and others return none.
	down    bool
}

func newHeldTable() *heldTable {
	return &heldTable{rows: []amrfollow.Row{{Key: "a", Version: 1}}, changed: make(chan struct{})}
}

func (h *heldTable) position() amrfollow.Position {
	return amrfollow.Position{Era: h.era, Version: uint64(len(h.rows))}
}

// change edits the table and releases the calls.
func (h *heldTable) change(edit func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	edit()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *heldTable) addRow() {
	h.rows = append(h.rows, amrfollow.Row{Key: string(rune('a' + len(h.rows))), Version: uint64(len(h.rows) + 1)})
}

func (h *heldTable) Snapshot(context.Context) (amrfollow.Batch, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return amrfollow.Batch{Position: h.position(), Rows: h.rows}, nil
}

func (h *heldTable) Changes(ctx context.Context, after amrfollow.Position, wait time.Duration) (amrfollow.Batch, error) {
	for {
		h.mu.Lock()
		batch, changed, deaf, down := amrfollow.Batch{Position: h.position()}, h.changed, h.deaf, h.down
		batch.Rows = h.rows[min(int(after.Version), len(h.rows)):]
		h.mu.Unlock()
		if down {
			return amrfollow.Batch{}, errDown
		}
		if deaf {
			batch = amrfollow.Batch{Position: after}
		}
		if len(batch.Rows) > 0 || wait == 0 || batch.Era != after.Era {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return amrfollow.Batch{}, ctx.Err()
		case <-changed:
		}
	}
}

// TestConfirm guards against a copy that is taken for current although it lacks changes: the
// follower has not received or passed them on yet, calls for changes return none, or the
// table was restored.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	table, clock := newHeldTable(), clockwork.NewRealClock()
	passOn := make(chan struct{}, 10)
	begun := clock.Now()
	f := amrfollow.New("test", table, slog.New(slog.DiscardHandler), func(amrfollow.Update) { <-passOn })
	confirm := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		return f.Confirm(ctx, table, table.position())
	}
	is.True(errorx.IsOfType(confirm(), amrfollow.NotCurrent)) // Nothing has been read.
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return f.Run(ctx) })
	defer func() { is.NoErr(group.Wait()) }()
	defer cancel()
	await := func() {
		for deadline := clock.Now().Add(5 * time.Second); confirm() != nil; {
			is.True(clock.Now().Before(deadline))
		}
	}
	passOn <- struct{}{}
	await()
	is.True(!f.WasContinuous(begun)) // From before the first read.
	before := f.CurrentAt()
	is.NoErr(confirm())
	is.True(f.CurrentAt().After(before))

	table.change(table.addRow)
	is.True(errorx.IsOfType(confirm(), amrfollow.NotCurrent)) // The consumer has not been passed the change.
	passOn <- struct{}{}
	await()

	table.change(func() { table.deaf = true; table.addRow() })
	before = f.CurrentAt()
	is.True(errorx.IsOfType(confirm(), amrfollow.NotCurrent))
	is.True(f.CurrentAt().Equal(before))
	passOn <- struct{}{}
	table.change(func() { table.deaf = false })
	await()

	table.change(func() { table.down = true })
	is.True(confirm() != nil)
	table.change(func() { table.down = false; table.era++ })
	is.True(errorx.IsOfType(confirm(), amrfollow.NotCurrent)) // The table was restored.
	passOn <- struct{}{}
	await()
}
