package amrfollow

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// NotCurrent is the kind of error of Confirm when the copy lacks changes of the table.
var NotCurrent = errorx.NewNamespace("follow-copy").NewType("not-current")

// Confirm returns nil if the consumer has been passed all changes up to the position least,
// which was read from the table itself, and all later ones that the source returns. It makes
// one call, and waits until ctx is done for changes that the follower has yet to receive. The
// position guards against a source that returns no changes although there are some.
func (f *Follower) Confirm(ctx context.Context, source Source, least Position) error {
	asked := f.clock.Now()
	known := f.passedOn()
	if known.Version == 0 {
		return NotCurrent.New("table %s has not been read", f.name)
	}
	batch, err := source.Changes(ctx, known, 0)
	if err != nil {
		return err
	}
	if batch.Era != known.Era || batch.Compare(least) < 0 {
		return NotCurrent.New("table %s returned changes up to version %d of era %d; its version is %d of era %d", f.name, batch.Version, batch.Era, least.Version, least.Era)
	}
	for _, row := range batch.Rows {
		known.Version = max(known.Version, row.Version)
	}
	if err := f.awaitPassedOn(ctx, known); err != nil {
		return err
	}
	f.progress.Lock()
	defer f.progress.Unlock()
	f.confirmedAt = asked
	return nil
}

// CurrentAt returns the latest time at which the copy is known to have had all changes of the
// table, by a response of the table or by Confirm.
func (f *Follower) CurrentAt() time.Time {
	f.progress.Lock()
	defer f.progress.Unlock()
	if contact := f.copy.LastContact(); contact.After(f.confirmedAt) {
		return contact
	}
	return f.confirmedAt
}

// AwaitContact waits until the source has responded for the first time and the consumer has
// been passed the rows, or ctx is done, which it reports as an error. The table may be empty.
func (f *Follower) AwaitContact(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.contacted:
		return nil
	}
}

// passedOn returns the newest position up to which the consumer has been passed all changes.
func (f *Follower) passedOn() Position {
	f.progress.Lock()
	defer f.progress.Unlock()
	return f.passed
}

// awaitPassedOn waits until the consumer has been passed all changes up to the position.
func (f *Follower) awaitPassedOn(ctx context.Context, p Position) error {
	for {
		f.progress.Lock()
		done, changed := f.passed.Compare(p) >= 0, f.passedChanged
		f.progress.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return NotCurrent.New("changes of table %s up to version %d have not been received", f.name, p.Version)
		case <-changed:
		}
	}
}

// recordPassedOn records that the consumer has been passed all changes up to the position.
func (f *Follower) recordPassedOn(p Position) {
	f.progress.Lock()
	defer f.progress.Unlock()
	if p == f.passed {
		return
	}
	f.passed = p
	close(f.passedChanged)
	f.passedChanged = make(chan struct{})
}
