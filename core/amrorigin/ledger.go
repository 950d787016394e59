package amrorigin

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrpool"
)

const (
	// rankDelay is the time for each rank by which routers delay the write of a pool's
	// row, so that one of them writes and the others find the row written.
	rankDelay = 20 * time.Millisecond

	// settleTime is the time for which a row that another router has written may differ
	// from the list before it is written again. Lists of routers differ for about 200 ms
	// after a change, and routers that wrote at once would overwrite each other's rows.
	settleTime = time.Second

	// missingTime is the time after the start for which a row may be missing before it is
	// written. The router learns in it whether the platform is new.
	missingTime = 200 * time.Millisecond

	// sinceTolerance is the difference from which two times of a change are those of two
	// changes. Routers see a change at different times, and convert between clocks.
	sinceTolerance = time.Second

	// NewPlatformAge is the age of the row of a pool when it is written on a platform that
	// no router has served before. The row then tells that no stream which callers may take
	// up began at another version.
	NewPlatformAge = streamLife
)

// PoolRow is the row of a pool in the table that the routers share. It tells routers that
// start which software versions the servers of the pool had.
type PoolRow struct {
	Versions []amrpool.SoftwareID // In ascending order.

	// Since is the time, by the clock of this router, from which no stream of the pool
	// began at another version.
	Since time.Time
}

// ledger combines the history of a pool that this router has observed with the row that
// the routers have written of it. It decides what may be inferred about a stream that no
// router knows, and when this router writes the row. It does no I/O and is not safe for
// concurrent use. The zero value is that of a pool that has not been observed and whose
// row has not been read.
type ledger struct {
	history
	name     string               // Name of the pool; empty before it was observed.
	versions []amrpool.SoftwareID // The versions that were observed last.
	changed  bool                 // The versions have changed since the start of this router.

	newPlatform bool // No router has served the platform before, so that no stream began before the first observation.

	rowRead bool    // The table has been read.
	row     PoolRow // Without versions if the row is missing.

	dueAt    time.Time // Time at which the row is to be written; zero if it is not.
	retrying bool      // A write has failed since dueAt was scheduled.
}

// observe records the versions of the servers that are listed now, and schedules the write
// of the row if it differs. It reports whether another version has appeared beside the one
// that had been the only one.
func (l *ledger) observe(now time.Time, versions []amrpool.SoftwareID, rank int) (appeared bool) {
	if len(versions) == 0 || slices.Equal(versions, l.versions) {
		return false
	}
	l.changed = l.changed || l.versions != nil
	first := l.versions == nil
	l.versions = slices.Clone(versions)
	appeared = l.history.observe(now, versions)
	switch {
	case !first:
		l.schedule(now, rank, 0)
	case l.rowRead && len(l.row.Versions) > 0 && !slices.Equal(l.row.Versions, l.versions):
		l.doubtedAt = now
		l.schedule(now, rank, settleTime)
	default:
		l.schedule(now, rank, l.missingDelay())
	}
	l.adopt()
	return appeared
}

// missingDelay returns the time for which the row may be missing.
func (l *ledger) missingDelay() time.Duration {
	if l.newPlatform {
		return 0
	}
	return missingTime
}

// setNewPlatform records that no router has served the platform before. The version that
// was observed first is then as good as one that has lasted, and the row is written at once.
func (l *ledger) setNewPlatform(now time.Time, rank int) {
	if l.newPlatform {
		return
	}
	l.newPlatform = true
	if l.versions != nil && len(l.row.Versions) == 0 {
		l.schedule(now, rank, 0)
	}
}

// applyRow records the row of the pool, which has no versions if it is missing, and
// schedules its write if it differs from the list. It reports whether the row tells of
// versions that this router did not know of.
func (l *ledger) applyRow(now time.Time, row PoolRow, rank int) (appeared bool) {
	if l.rowRead && sameRow(l.row, row) {
		return false
	}
	l.rowRead, l.row = true, row
	if l.versions == nil {
		return false
	}
	if len(row.Versions) == 0 {
		l.schedule(now, rank, l.missingDelay())
		return false
	}
	l.schedule(now, rank, settleTime)
	l.adopt()
	if slices.Equal(row.Versions, l.versions) {
		l.doubtEarlier(row)
		return false
	}
	l.doubtedAt = now
	return l.only != 0
}

// doubtEarlier takes over from the row that the only version has lasted for less time than
// this router has seen. The list of this router may lack a version that came and went
// between two calls to the table.
func (l *ledger) doubtEarlier(row PoolRow) {
	if l.only != 0 && row.Since.Sub(l.trustedSince()) >= sinceTolerance {
		l.doubtedAt = row.Since
	}
}

// sameRow reports whether the rows have the same versions and begin at about the same
// time.
func sameRow(a, b PoolRow) bool {
	return slices.Equal(a.Versions, b.Versions) && a.Since.Sub(b.Since).Abs() < sinceTolerance
}

// schedule schedules the write of the row after the delay if the row differs from the
// list.
func (l *ledger) schedule(now time.Time, rank int, delay time.Duration) {
	l.dueAt, l.retrying = time.Time{}, false
	if l.rowRead && l.outdated() {
		l.dueAt = now.Add(delay + time.Duration(rank)*rankDelay)
	}
}

// expedite lets the row be written now if a stream begins at a version that has appeared
// since the start of this router and that the row does not have. The list of another router
// may lack that version, and learns of it from the row. It reports whether the row is due
// earlier than before.
func (l *ledger) expedite(now time.Time, software amrpool.SoftwareID) bool {
	if !l.changed || l.retrying || !l.dueAt.After(now) || slices.Contains(l.row.Versions, software) {
		return false
	}
	l.dueAt = now
	return true
}

// outdated reports whether the row differs from what this router has observed. It does so
// too if another version has come and gone before the row told of it.
func (l *ledger) outdated() bool {
	if !slices.Equal(l.row.Versions, l.versions) {
		return true
	}
	return l.changed && l.only != 0 && l.since.Sub(l.row.Since) >= sinceTolerance
}

// adopt takes over from the row for how long the only version has lasted. A router that
// has itself seen another version since its start knows better than the row, which may not
// be written yet.
func (l *ledger) adopt() {
	if l.rowRead && !l.changed && l.only != 0 && slices.Equal(l.row.Versions, l.versions) && l.row.Since.Before(l.since) {
		l.since = l.row.Since
	}
}

// due returns the row to be written now, and false if there is none.
func (l *ledger) due(now time.Time) (PoolRow, bool) {
	if l.dueAt.IsZero() || now.Before(l.dueAt) {
		return PoolRow{}, false
	}
	if !l.outdated() { // The row of another router has arrived before the conflict that it caused.
		l.dueAt = time.Time{}
		return PoolRow{}, false
	}
	row := PoolRow{Versions: slices.Clone(l.versions), Since: now}
	if l.only != 0 {
		row.Since = l.trustedSince()
		if l.newPlatform && !l.changed && len(l.row.Versions) == 0 {
			row.Since = row.Since.Add(-NewPlatformAge)
		}
	}
	return row, true
}

// retry schedules a write again that has failed.
func (l *ledger) retry(now time.Time, delay time.Duration) {
	l.dueAt, l.retrying = now.Add(delay), true
}

// infer returns what may be concluded about a stream of the pool that is not known.
func (l *ledger) infer(now time.Time, pool PoolID, shared bool) finding {
	before := l.beforeChange(now)
	switch {
	case l.isLasting(now):
		return finding{origin: Origin{pool, l.only}, certainty: Inferred, lasting: true}
	case before != 0 && shared:
		return finding{origin: Origin{pool, before}, certainty: Assumed}
	case before != 0:
		return finding{origin: Origin{pool, before}, certainty: Inferred}
	case l.only != 0 && l.earlierUntil.IsZero() && !shared:
		return finding{origin: Origin{pool, l.only}, certainty: Assumed}
	}
	return finding{}
}
