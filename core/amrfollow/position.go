package amrfollow

import (
	"cmp"
	"time"
)

// Position is a point in the history of a table.
//
// The platform may restore the table from an older copy. This begins a new era:
// writes of the last seconds are lost, also acknowledged ones, and versions go back
// and are given out again. Versions can therefore be compared only within an era.
type Position struct {
	Era     uint64 // Rises each time that the table is restored; 0 if the platform does not provide it.
	Version uint64 // Newest version of any row; 0 if nothing has been read.
}

// Reading is a reading of a table's monotonic clock together with the newest version
// of any row at that time. Rows of the same era that have higher versions were
// written later.
type Reading struct {
	Position
	Now time.Duration
}

// Receipt is the response of a table to a write.
type Receipt struct {
	Position               // Position of the rows that were written.
	Now      time.Duration // Reading of the table's monotonic clock; see Batch.
}

// Compare returns -1 if p is before q, 1 if it is after q, and 0 otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}
