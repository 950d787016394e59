package amrfollow

import (
	"slices"
	"time"
)

// gapMemory is the time for which gaps are remembered.
const gapMemory = time.Minute

// gap is a time in which the copy may have missed states of rows: calls to the table had
// failed, or all rows were read again.
type gap struct {
	from, to time.Time
}

// recordGap records that states between the two times may have been missed.
func (f *Follower) recordGap(from, to time.Time) {
	f.progress.Lock()
	defer f.progress.Unlock()
	f.gaps = slices.DeleteFunc(f.gaps, func(g gap) bool { return to.Sub(g.to) > gapMemory })
	f.gaps = append(f.gaps, gap{from, to})
}

// WasContinuous reports whether the table has responded since the time, and the copy has
// missed no states of rows that the table had then. The time must be less than a minute ago.
func (f *Follower) WasContinuous(at time.Time) bool {
	f.progress.Lock()
	defer f.progress.Unlock()
	covered := slices.ContainsFunc(f.gaps, func(g gap) bool { return at.After(g.from) && !at.After(g.to) })
	return !covered && !f.copy.LastContact().Before(at)
}
