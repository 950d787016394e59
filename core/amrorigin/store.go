package amrorigin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrplatform"
)

const (
	// LookupTimeout is the time for which a lookup waits for a table.
	LookupTimeout = 100 * time.Millisecond

	// gatherTime is the time for which the first of several streams waits for the others
	// before its row is written.
	gatherTime = 10 * time.Millisecond

	// retryDelay is the time after which a failed write is repeated.
	retryDelay = 500 * time.Millisecond
)

// Store keeps what must survive the loss of all routers: the rows of pools and those of
// streams. Its methods that return an error make one call each.
type Store interface {
	// WritePool writes the row of the pool. The error is of type amrplatform.Conflict if
	// another router has written the row since this one has last read it.
	WritePool(ctx context.Context, pool string, row PoolRow) error

	// WriteStreams writes rows of streams and deletes others.
	WriteStreams(ctx context.Context, puts []StreamRow, deletes []Stream) error

	// ReadStream returns the origin of the stream, or an error of type
	// amrplatform.NotFound if the table answers that it does not have the row. It waits
	// for LookupTimeout at most.
	ReadStream(ctx context.Context, s Stream) (Origin, error)

	// ExpiredStreams reads some rows of streams and returns those that are older than
	// the given age.
	ExpiredStreams(ctx context.Context, age time.Duration) ([]Stream, error)

	// ConfirmLists returns nil if the list of servers and the rows of pools, as this router
	// has applied them, are those of the store. It makes calls if that was not known just
	// before, and waits for LookupTimeout at most.
	ConfirmLists(ctx context.Context) error

	// ListsAge returns the time since both were known to be those of the store.
	ListsAge() time.Duration

	// Rank returns the position of this router among the others, and their number
	// together.
	Rank() (rank, routers int)
}

// Option configures a Directory.
type Option func(*Directory)

// WithStore sets the store. Without one, streams that no router knows after all routers
// were gone go on at the only version that the servers have.
func WithStore(s Store) Option {
	return func(d *Directory) { d.store = s }
}

// shared is the part of a Directory that concerns the store.
type shared struct {
	store          Store         // Nil if there is none.
	listed         bool          // The list of servers has been read.
	rowsApplied    bool          // The rows of the pools have been read.
	newPlatform    bool          // No router has served the platform before.
	rowsRead       chan struct{} // Closed when rowsApplied becomes true.
	poolsDue       chan struct{} // Signals that the row of a pool may have to be written.
	originsWaiting chan struct{} // Signals that rows of streams wait to be written.
	batch          batch
}

func newShared() shared {
	return shared{rowsRead: make(chan struct{}), poolsDue: make(chan struct{}, 1), originsWaiting: make(chan struct{}, 1)}
}

// signal sends a signal unless one is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// rank returns the position of this router among the others.
func (d *Directory) rank() int {
	if d.store == nil {
		return 0
	}
	rank, _ := d.store.Rank()
	return rank
}

// RecordList records that a change of the list of servers has been applied as a whole.
func (d *Directory) RecordList() {
	d.mu.Lock()
	d.listed = true
	d.mu.Unlock()
	d.observeAll()
}

// ApplyPoolRows applies the rows of pools, by name, that the shared table has now. Rows that
// were written in an earlier era of the table must be left out. The platform is new if no
// router has served it before.
func (d *Directory) ApplyPoolRows(rows map[string]PoolRow, newPlatform bool) {
	now, rank := d.clock.Now(), d.rank()
	names := d.fleet.Pools()
	for name := range rows {
		names = append(names, name)
	}
	for _, name := range names {
		id := PoolIDOf(name)
		d.mu.Lock()
		l := d.ledgerOf(id)
		appeared := l.applyRow(now, rows[name], rank)
		untold := d.takeUntold(id, appeared)
		d.mu.Unlock()
		if appeared {
			d.log.Info("the shared row of a pool tells of other software versions than the list", "pool", name, "versions", len(rows[name].Versions), "streams-told", len(untold))
			d.publish(untold)
		}
	}
	d.mu.Lock()
	d.newPlatform = newPlatform
	for _, l := range d.pools {
		if newPlatform {
			l.setNewPlatform(now, rank)
		}
	}
	if !d.rowsApplied {
		d.rowsApplied = true
		close(d.rowsRead)
	}
	d.mu.Unlock()
	signal(d.poolsDue)
}

// writePools writes the rows of pools that are due until ctx is done. It always returns
// nil.
func (d *Directory) writePools(ctx context.Context) error {
	for {
		var timer <-chan time.Time
		if due, ok := d.nextDue(); ok {
			timer = d.clock.After(due.Sub(d.clock.Now()))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.poolsDue:
		case <-timer:
			d.writeDuePools(ctx)
		}
	}
}

// nextDue returns the earliest time at which the row of a pool is due.
func (d *Directory) nextDue() (due time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.pools {
		if !l.dueAt.IsZero() && (!ok || l.dueAt.Before(due)) {
			due, ok = l.dueAt, true
		}
	}
	return due, ok
}

// writeDuePools writes the rows of pools that are due now.
func (d *Directory) writeDuePools(ctx context.Context) {
	now := d.clock.Now()
	due := make(map[PoolID]PoolRow)
	names := make(map[PoolID]string)
	d.mu.Lock()
	for id, l := range d.pools {
		if row, ok := l.due(now); ok {
			due[id], names[id] = row, l.name
		}
	}
	d.mu.Unlock()
	for id, row := range due {
		d.writePool(ctx, id, names[id], row)
	}
}

// writePool writes the row of the pool. A write that fails is repeated later, and so is one
// that conflicts with the write of another router unless that one's row arrives before.
func (d *Directory) writePool(ctx context.Context, id PoolID, name string, row PoolRow) {
	err := d.store.WritePool(ctx, name, row)
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.ledgerOf(id)
	switch {
	case err == nil:
		l.applyRow(now, row, 0)
		d.log.Info("software versions of a pool written", "pool", name, "versions", len(row.Versions), "age", now.Sub(row.Since))
	case errorx.IsOfType(err, amrplatform.Conflict):
		l.retry(now, settleTime)
	default:
		l.retry(now, retryDelay)
		d.log.Warn("cannot write the software versions of a pool; retrying", "pool", name, "err", err)
	}
}

// writeOrigins writes the rows of streams that wait until ctx is done. It always returns
// nil.
func (d *Directory) writeOrigins(ctx context.Context) error {
	for n := rand.IntN(sweepEvery); ; { // Routers read old rows at different times.
		select {
		case <-ctx.Done():
			return nil
		case <-d.originsWaiting:
		}
		for pause := gatherTime; d.sleep(ctx, pause); n++ {
			d.mu.Lock()
			puts, deletes := d.batch.take(d.clock.Now())
			d.mu.Unlock()
			if len(puts) == 0 {
				break
			}
			pause = d.writeBatch(ctx, puts, deletes)
			if n%sweepEvery == 0 && d.sleep(ctx, pause/2) {
				pause -= pause / 2
				d.sweep(ctx)
			}
		}
	}
}

// writeBatch writes and deletes rows of streams. It returns the time until the next call.
func (d *Directory) writeBatch(ctx context.Context, puts []StreamRow, deletes []Stream) time.Duration {
	_, routers := d.store.Rank()
	err := d.store.WriteStreams(ctx, puts, deletes)
	if err != nil {
		d.metrics.writes.WithLabelValues("failed").Add(float64(len(puts)))
		d.log.Warn("cannot write the origins of streams; retrying", "streams", len(puts), "err", err)
		if errorx.IsOfType(err, amrplatform.OutcomeUnknown) {
			return writeInterval(routers) // The store is there, and newer streams wait.
		}
		return max(retryDelay, writeInterval(routers))
	}
	d.metrics.writes.WithLabelValues("written").Add(float64(len(puts)))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batch.recordWritten(d.clock.Now(), puts, deletes)
	return writeInterval(routers)
}

// sweep reads some rows of streams, and queues the deletion of those that routers which
// are gone have left.
func (d *Directory) sweep(ctx context.Context) {
	expired, err := d.store.ExpiredStreams(ctx, rowLife)
	if err != nil {
		d.log.Warn("cannot read old origins of streams; they are deleted later", "err", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batch.addExpired(expired)
}

// sleep waits for the time. It returns false if ctx is done before.
func (d *Directory) sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.clock.After(t):
		return true
	}
}
