// Package amrfollow maintains a copy of a table's rows.
//
// A Follower reads all rows once and then waits for changes. While it cannot
// reach the table, it reads the copies of other processes that can, and it reads
// the table again as soon as that responds. It never replaces a row by an older
// version, unless the table itself was restored from an older copy; see Position.
package amrfollow

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
)

const (
	// minPause is the pause after the first failed call. It doubles with each
	// further failure, up to maxPause.
	minPause = 100 * time.Millisecond
	maxPause = 500 * time.Millisecond

	// replicaDelay is the time for which calls to the table must have failed
	// before the follower asks replicas.
	replicaDelay = 700 * time.Millisecond
)

// DefaultWait is the default time for which the table may hold a call until rows
// change.
const DefaultWait = 2400 * time.Millisecond

// HistoryLost is the kind of error of Source.Changes when the table no longer has
// all changes after the version. The caller must read all rows again.
var HistoryLost = errorx.NewNamespace("follow").NewType("history-lost")

// Row is a row of a table, or the deletion of a row.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Batch is a response of a table or of a replica.
type Batch struct {
	Position // Newest position that the rows cover.
	Rows     []Row
	Now      time.Duration // Reading of the table's monotonic clock.
	Age      time.Duration // Time since the table itself responded; 0 if the batch comes from the table.
	Partial  bool          // With changes: there may be more, after the position.
	Keys     KeysDigest    // With changes: digest of the keys of all rows if the rows may lack deletions, otherwise 0.
}

// Source reads a table.
type Source interface {
	// Snapshot returns all rows.
	Snapshot(ctx context.Context) (Batch, error)

	// Changes returns the rows that changed after the position. It blocks until
	// there is at least one, but not longer than wait, and then returns none.
	// The error is of kind HistoryLost if the table no longer has all changes
	// after the position. A source that lacks only deletions returns the others
	// with the digest of the keys, by which the caller notices.
	// Positions of an earlier era mean nothing to the table, so that the caller
	// must compare the era of the batch with that of the position.
	Changes(ctx context.Context, after Position, wait time.Duration) (Batch, error)
}

// Replica reads another process's copy of the table.
type Replica interface {
	// Fetch returns all rows of a copy whose process can currently reach the
	// table, or an error if there is no such copy. With lastKnown, it falls
	// back to the newest copy of a process that could reach the table earlier.
	Fetch(ctx context.Context, lastKnown bool) (Batch, error)
}

// Update is a change of the copy that a Follower passes to its consumer.
type Update struct {
	Rows        []Row         // Changed rows: first the deletions of rows that a complete batch lacks, then the rows of the batch in its order.
	Reconnected bool          // The table has responded again after failed calls.
	Restored    bool          // The table was restored from an older copy since the last update.
	Era         uint64        // Era of the rows.
	Now         time.Duration // Reading of the table's monotonic clock.

	// Since is the earliest reading of that clock at which rows that the copy has not had
	// before may have been written; 0 if the table has not responded before. It is close to
	// Now if the rows come in response to a call that waited for them.
	Since time.Duration
}

// Follower maintains a copy of a table. Create it with New.
type Follower struct {
	name        string
	source      Source
	replica     Replica
	clock       clockwork.Clock
	log         *slog.Logger
	apply       func(Update)
	minInterval func() time.Duration
	wait        func() time.Duration // Time for which the table may hold a call.
	copy        *Copy

	position  Position      // Position after which to ask for changes; zero to read all rows.
	lost      atomic.Bool   // The last call to the table failed.
	lostSince time.Time     // Time of the first of the failed calls.
	askedAt   time.Time     // Time of the last call.
	partial   bool          // The last response of the table was partial.
	pause     time.Duration // Length of the last pause; 0 after a successful call.

	contactOnce sync.Once
	contacted   chan struct{} // Closed after the first response of the source.

	mu        sync.Mutex
	interrupt context.CancelFunc // Cancels the call in progress; nil if there is none.
	hintedEra uint64             // Newest era that ObserveEra was told of.

	progress      sync.Mutex
	passed        Position      // Newest position up to which apply was called with all changes.
	passedChanged chan struct{} // Closed when passed changes next.
	confirmedAt   time.Time     // See Confirm.
	gaps          []gap         // Oldest first.
}

// Option configures a Follower.
type Option func(*Follower)

// WithReplica sets the replica to read from while the table cannot be reached.
func WithReplica(r Replica) Option {
	return func(f *Follower) { f.replica = r }
}

// WithMinInterval sets a function that returns the minimum time between a
// change and the next call, so that changes in quick succession need only one
// call.
func WithMinInterval(minInterval func() time.Duration) Option {
	return func(f *Follower) { f.minInterval = minInterval }
}

// WithWait sets a function that replaces DefaultWait. It takes about this time to
// detect a dead connection. While the table cannot be reached, the wait of calls is
// 0, so that its return is detected soon.
func WithWait(wait func() time.Duration) Option {
	return func(f *Follower) { f.wait = wait }
}

// WithClock replaces the system clock.
func WithClock(c clockwork.Clock) Option {
	return func(f *Follower) { f.clock = c }
}

// New returns a follower of the table that the source reads. The name of the
// table is for log messages. Run calls apply for each update, never concurrently.
func New(name string, source Source, log *slog.Logger, apply func(Update), opts ...Option) *Follower {
	f := &Follower{
		name:        name,
		source:      source,
		clock:       clockwork.NewRealClock(),
		log:         log,
		apply:       apply,
		copy:        newCopy(),
		minInterval: func() time.Duration { return 0 },
		wait:        func() time.Duration { return DefaultWait },

		passedChanged: make(chan struct{}),
		contacted:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Copy returns the follower's copy of the rows, which Run keeps up to date.
func (f *Follower) Copy() *Copy {
	return f.copy
}

// Connected reports whether the table responded to the last call. It returns
// false until the copy has been filled.
func (f *Follower) Connected() bool {
	return !f.lost.Load() && f.copy.Filled()
}

// ObserveEra tells the follower that the table is said to be in the given era. If
// the follower does not know that era, it interrupts the call in progress, which
// the table may hold for long, and reads all rows. It does so once for each era.
func (f *Follower) ObserveEra(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.hintedEra || era <= f.copy.Position().Era {
		return
	}
	f.hintedEra = era
	if f.interrupt != nil {
		f.interrupt()
	}
}

// Run follows the table until ctx is done. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.step(ctx)
	}
	return nil
}

// step makes one call to the table and handles its result.
func (f *Follower) step(ctx context.Context) {
	callCtx, cancel := context.WithCancel(ctx)
	f.setInterrupt(cancel)
	f.askedAt = f.clock.Now()
	batch, complete, err := f.read(callCtx)
	f.setInterrupt(nil)
	interrupted := callCtx.Err() != nil
	cancel()
	switch {
	case err == nil && !complete && batch.Era != f.position.Era:
		f.log.Info("table was restored from an older copy; reading all rows", "table", f.name, "era", batch.Era, "known-era", f.position.Era, "version", f.position.Version)
		f.position = Position{}
	case err == nil:
		f.handleBatch(ctx, batch, complete)
	case ctx.Err() != nil:
	case interrupted:
		f.log.Info("table is said to be restored from an older copy; reading all rows", "table", f.name, "known-era", f.position.Era, "version", f.position.Version)
		f.position = Position{}
	case errorx.IsOfType(err, HistoryLost):
		f.log.Info("table no longer has the history of changes; reading all rows", "table", f.name, "era", f.position.Era, "version", f.position.Version)
		f.position = Position{}
	default:
		f.handleFailure(ctx, err)
	}
}

// setInterrupt sets the function that ObserveEra calls to cancel the call in
// progress.
func (f *Follower) setInterrupt(interrupt context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = interrupt
}

// read reads all rows if the follower has no position to start from, and otherwise
// the changes since that position. It reports whether the batch is complete.
func (f *Follower) read(ctx context.Context) (batch Batch, complete bool, err error) {
	if f.position.Version == 0 {
		batch, err = f.source.Snapshot(ctx)
		return batch, true, err
	}
	wait := f.wait()
	if f.lost.Load() {
		wait = 0
	}
	batch, err = f.source.Changes(ctx, f.position, wait)
	return batch, false, err
}

// handleBatch merges a batch of the table and passes the changes on.
func (f *Follower) handleBatch(ctx context.Context, batch Batch, complete bool) {
	now := f.clock.Now()
	reconnected := f.lost.Swap(false)
	if reconnected {
		f.log.Info("table regained", "table", f.name, "away", now.Sub(f.lostSince), "era", batch.Era, "version", batch.Version)
	}
	f.pause = 0
	known := f.copy.Position()
	rows, accepted := f.copy.merge(batch, complete)
	if !accepted {
		f.log.Warn("table responded with an older version; reading again", "table", f.name, "era", batch.Era, "version", batch.Version, "known-era", known.Era, "known", known.Version)
		f.clock.Sleep(minPause)
		return
	}
	f.position = batch.Position
	contact := f.copy.LastContact()
	since := f.since(now, batch, !complete && !reconnected && !f.partial)
	f.copy.recordContact(now, batch)
	f.partial = batch.Partial
	if f.copy.lacksDeletions(batch.Keys) {
		f.log.Info("changes of the table lack deletions; reading all rows", "table", f.name, "era", batch.Era, "version", batch.Version)
		f.position = Position{}
	}
	restored := known.Version > 0 && batch.Era > known.Era
	if complete || reconnected {
		f.recordGap(contact, now)
	}
	if len(rows) > 0 || reconnected || restored {
		defer f.waitMinInterval(ctx, rows)
		f.apply(Update{Rows: rows, Reconnected: reconnected, Restored: restored, Era: batch.Era, Now: batch.Now, Since: since})
	}
	f.recordPassedOn(batch.Position)
	f.contactOnce.Do(func() { close(f.contacted) })
}

// since returns Update.Since for a batch that has arrived at the time now. A call that waited
// for changes missed only those from between the calls, as the table responds to the others at
// once. The clock of another era may have begun anew.
func (f *Follower) since(now time.Time, batch Batch, waited bool) time.Duration {
	last, at := f.copy.lastReading()
	if at.IsZero() {
		return 0
	}
	since := last.Now
	if last.Era != batch.Era {
		since = batch.Now - now.Sub(at)
	}
	if waited {
		since = max(since, batch.Now-f.askedAt.Sub(at))
	}
	return min(max(since, 0), batch.Now)
}

// waitMinInterval waits for the minimum time between a change and the next
// call. It returns immediately if no rows changed.
func (f *Follower) waitMinInterval(ctx context.Context, rows []Row) {
	minInterval := f.minInterval()
	if minInterval == 0 || len(rows) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(minInterval):
	}
}

// handleFailure records a failed call to the table, reads from a replica if it is
// time to, and pauses. A follower that has no rows yet reads from a replica
// immediately, and accepts the last known rows of one that cannot reach the table
// either.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	now := f.clock.Now()
	if !f.lost.Swap(true) {
		f.lostSince = now
		f.log.Warn("table lost", "table", f.name, "era", f.position.Era, "version", f.position.Version, "err", err)
	}
	empty := !f.copy.Filled() // Old rows are better than none.
	if f.replica != nil && (empty || now.Sub(f.lostSince) >= replicaDelay) {
		f.readReplica(ctx, empty)
	}
	f.pause = min(max(2*f.pause, minPause), maxPause)
	select {
	case <-ctx.Done():
	case <-f.clock.After(f.pause):
	}
}

// readReplica merges the rows of a replica and passes the changes on. It does not
// change the position after which the table is asked for changes.
func (f *Follower) readReplica(ctx context.Context, lastKnown bool) {
	batch, err := f.replica.Fetch(ctx, lastKnown)
	if err != nil {
		f.log.Debug("cannot read from a replica of the table", "table", f.name, "err", err)
		return
	}
	known := f.copy.Position()
	rows, accepted := f.copy.merge(batch, true)
	restored := known.Version > 0 && batch.Era > known.Era
	if !accepted || len(rows) == 0 && !restored {
		return
	}
	f.log.Info("took rows from a replica", "table", f.name, "rows", len(rows), "era", batch.Era, "version", batch.Version, "last-known", lastKnown)
	since := f.since(f.clock.Now(), batch, false)
	f.apply(Update{Rows: rows, Restored: restored, Era: batch.Era, Now: batch.Now, Since: since})
}
