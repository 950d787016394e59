package amrdirect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthreach.example/core/amrfollow"
)

// declarationTime bounds the time at which weights were declared, by the clock of the shared
// table. What depends on their age goes by the earliest possible time, see at.
type declarationTime struct {
	earliest time.Duration
	latest   time.Duration

	row amrfollow.Position // Position of the declaration; zero if this router has not read it.
}

// at returns the earliest time at which the weights may have been declared. Evidence for a
// later one counts only up to the time at which they were known: after the table was restored
// from an older copy, operators write a declaration again.
func (d declarationTime) at() time.Duration {
	return min(d.earliest, d.latest)
}

// isRead reports whether this router has read the declaration.
func (d declarationTime) isRead() bool {
	return d.row != (amrfollow.Position{})
}

// declarationTimes knows when weights were declared: from the reads of their rows, from the
// notes of other routers, and from the readings that bound when a row may have been written.
// It is not safe for concurrent use. Create it with newDeclarationTimes.
type declarationTimes struct {
	times    map[TargetWeights]declarationTime
	readings versionReadings
}

func newDeclarationTimes() *declarationTimes {
	return &declarationTimes{times: make(map[TargetWeights]declarationTime)}
}

// observeRow records that this router has read the row of a declaration: its position, the
// earliest time at which the row may have been written if it is new, and the time of the
// read. A row that is read again may have been written again, which tells nothing.
func (t *declarationTimes) observeRow(w TargetWeights, row amrfollow.Position, since, now time.Duration) {
	if t.times[w].isRead() {
		return
	}
	t.narrow(w, declarationTime{earliest: max(since, t.readings.notBefore(row)), latest: now, row: row})
}

// observeNote records what another router tells of the time of a declaration.
func (t *declarationTimes) observeNote(w TargetWeights, earliest, latest time.Duration) {
	t.narrow(w, declarationTime{earliest: earliest, latest: latest, row: t.times[w].row})
}

// observeReading records a reading, which may tell that declarations were made later than was
// known.
func (t *declarationTimes) observeReading(r amrfollow.Reading) {
	if !t.readings.observe(r) {
		return
	}
	for w, known := range t.times {
		if known.isRead() {
			t.narrow(w, declarationTime{earliest: t.readings.notBefore(known.row), latest: known.latest, row: known.row})
		}
	}
}

// narrow combines evidence with what is known of the time of a declaration.
func (t *declarationTimes) narrow(w TargetWeights, evidence declarationTime) {
	if known, ok := t.times[w]; ok {
		evidence.earliest = max(evidence.earliest, known.earliest)
		evidence.latest = min(evidence.latest, known.latest)
	}
	t.times[w] = evidence
}

// latest returns the n declarations that were made last, the last one first, and drops the
// others.
func (t *declarationTimes) latest(n int) []TargetWeights {
	weights := slices.SortedFunc(maps.Keys(t.times), func(a, b TargetWeights) int {
		return cmp.Or(cmp.Compare(t.times[b].latest, t.times[a].latest), cmp.Compare(b.Version, a.Version))
	})
	for _, w := range weights[min(n, len(weights)):] {
		delete(t.times, w)
	}
	return weights[:min(n, len(weights))]
}
