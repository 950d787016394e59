// Package amrfollow keeps a copy of a table's rows up to date.
//
// A Follower reads all rows once and then waits for changes. Where the table
// cannot be reached, it asks replicas that can, and it returns to the table as
// soon as that answers again. It never replaces a row by an older one.
package amrfollow

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
)

const (
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = 500 * time.Millisecond

	// replicaAfter is how long the table may fail before replicas are asked.
	replicaAfter = 700 * time.Millisecond
)

// DefaultWait is how long the table may hold a call until rows change.
const DefaultWait = 2400 * time.Millisecond

// HistoryLost says that the table no longer has the changes after the version:
// read all rows again.
var HistoryLost = errorx.NewNamespace("follow").NewType("history-lost")

// Row is a row of a table, or the note that it was deleted.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Batch is an answer of a table.
type Batch struct {
	Rows    []Row
	Version uint64        // The newest version that the answer covers.
	Now     time.Duration // Of the table's own steady clock.
}

// Source reads a table.
type Source interface {
	// Snapshot returns all rows.
	Snapshot(ctx context.Context) (Batch, error)

	// Changes returns the rows that changed after the version, as soon as
	// there is one, or none after the wait. It returns an error of kind
	// HistoryLost where it cannot know them.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Replica reads another process's copy of the table.
type Replica interface {
	// Copy returns the rows of a copy that was in touch with the table just
	// now, or an error where none can be reached. With lastKnown it returns the
	// newest of the copies that were in touch earlier where none is now.
	Copy(ctx context.Context, lastKnown bool) (Batch, error)
}

// Update is what a Follower tells its consumer.
type Update struct {
	Rows     []Row         // Changed rows, oldest first.
	Regained bool          // The table answers again after it could not be reached.
	Now      time.Duration // Of the table's own steady clock.
}

// Follower keeps a copy of a table. Create it with New.
type Follower struct {
	name    string
	source  Source
	replica Replica
	clock   clockwork.Clock
	log     *slog.Logger
	apply   func(Update)
	pace    func() time.Duration
	wait    time.Duration
	copy    *Copy

	version   uint64
	lost      atomic.Bool
	lostSince time.Time
	pause     time.Duration
}

// Option configures a Follower.
type Option func(*Follower)

// WithReplica gives the follower other copies to ask while the table is away.
func WithReplica(r Replica) Option {
	return func(f *Follower) { f.replica = r }
}

// WithPace sets the function that tells the least time between a change and the
// next call, so that changes which come together take one call.
func WithPace(pace func() time.Duration) Option {
	return func(f *Follower) { f.pace = pace }
}

// WithWait replaces DefaultWait. A connection that fell silent is noticed after
// about this time. While the table is lost, calls wait for nothing, so that its
// return is noticed soon.
func WithWait(d time.Duration) Option {
	return func(f *Follower) { f.wait = d }
}

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option {
	return func(f *Follower) { f.clock = c }
}

// New returns a follower of the table with the name, which appears in logs.
// Run calls apply with each update, never twice at once.
func New(name string, source Source, log *slog.Logger, apply func(Update), opts ...Option) *Follower {
	f := &Follower{
		name:   name,
		source: source,
		clock:  clockwork.NewRealClock(),
		log:    log,
		apply:  apply,
		copy:   newCopy(),
		pace:   func() time.Duration { return 0 },
		wait:   DefaultWait,
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Copy returns the follower's copy of the rows.
func (f *Follower) Copy() *Copy {
	return f.copy
}

// InTouch reports whether the table answered the last call.
func (f *Follower) InTouch() bool {
	return !f.lost.Load() && f.copy.Version() > 0
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.step(ctx)
	}
	return nil
}

// step makes one call and takes in its answer.
func (f *Follower) step(ctx context.Context) {
	batch, whole, err := f.read(ctx)
	switch {
	case err == nil:
		f.answered(ctx, batch, whole)
	case ctx.Err() != nil:
	case errorx.IsOfType(err, HistoryLost):
		f.log.Info("table history lost, reading all rows", "table", f.name, "version", f.version)
		f.version = 0
	default:
		f.failed(ctx, err)
	}
}

func (f *Follower) read(ctx context.Context) (batch Batch, whole bool, err error) {
	if f.version == 0 {
		batch, err = f.source.Snapshot(ctx)
		return batch, true, err
	}
	wait := f.wait
	if f.lost.Load() {
		wait = 0
	}
	batch, err = f.source.Changes(ctx, f.version, wait)
	return batch, false, err
}

// answered takes in an answer of the table.
func (f *Follower) answered(ctx context.Context, batch Batch, whole bool) {
	now := f.clock.Now()
	regained := f.lost.Swap(false)
	if regained {
		f.log.Info("table regained", "table", f.name, "away", now.Sub(f.lostSince), "version", batch.Version)
	}
	f.pause = 0
	rows, accepted := f.copy.merge(batch, whole)
	if !accepted {
		f.log.Warn("table answered with an older state, asking again", "table", f.name, "version", batch.Version, "known", f.copy.Version())
		f.clock.Sleep(firstPause)
		return
	}
	f.version = max(f.version, batch.Version)
	f.copy.touch(now, batch.Now)
	if len(rows) > 0 || regained {
		defer f.rest(ctx, rows)
		f.apply(Update{Rows: rows, Regained: regained, Now: batch.Now})
	}
}

// rest waits for the pace after a change.
func (f *Follower) rest(ctx context.Context, rows []Row) {
	pace := f.pace()
	if pace == 0 || len(rows) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(pace):
	}
}

// failed notes a failed call, asks a replica and pauses.
func (f *Follower) failed(ctx context.Context, err error) {
	now := f.clock.Now()
	if !f.lost.Swap(true) {
		f.lostSince = now
		f.log.Warn("table lost", "table", f.name, "version", f.version, "err", err)
	}
	cold := f.copy.Version() == 0 // An older state is better than none.
	if f.replica != nil && (cold || now.Sub(f.lostSince) >= replicaAfter) {
		f.askReplica(ctx, cold)
	}
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	select {
	case <-ctx.Done():
	case <-f.clock.After(f.pause):
	}
}

func (f *Follower) askReplica(ctx context.Context, lastKnown bool) {
	batch, err := f.replica.Copy(ctx, lastKnown)
	if err != nil {
		f.log.Debug("no replica of the table answered", "table", f.name, "err", err)
		return
	}
	rows, accepted := f.copy.merge(batch, true)
	if !accepted || len(rows) == 0 {
		return
	}
	f.log.Info("took rows from a replica", "table", f.name, "rows", len(rows), "version", batch.Version, "last-known", lastKnown)
	f.apply(Update{Rows: rows, Now: batch.Now})
}
