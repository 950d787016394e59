package amrconfig

import "time"

// floorStep is the time within which revisions are taken as seen together, so
// that a floor keeps few sightings.
const floorStep = 250 * time.Millisecond

// Floor keeps a sidecar from taking work that was decided by records that are
// no longer in force. It notes when it first saw each higher revision on a
// dispatch; InForceBound later, lower revisions are stale. The zero value has
// seen nothing. It is not safe for concurrent use.
type Floor struct {
	floor uint64
	seen  []sighting // Of revisions above the floor, in order.
}

// sighting is the highest of the revisions first seen between two times.
type sighting struct {
	revision uint64
	from     time.Time
	to       time.Time
}

// Fresh notes the revision and reports whether work decided by it may run.
func (f *Floor) Fresh(now time.Time, revision uint64) bool {
	f.note(now, revision)
	for len(f.seen) > 0 && now.Sub(f.seen[0].to) >= InForceBound {
		f.floor = f.seen[0].revision
		f.seen = f.seen[1:]
	}
	return revision >= f.floor
}

// Highest returns the highest revision seen.
func (f *Floor) Highest() uint64 {
	if len(f.seen) == 0 {
		return f.floor
	}
	return f.seen[len(f.seen)-1].revision
}

func (f *Floor) note(now time.Time, revision uint64) {
	if revision <= f.Highest() {
		return
	}
	last := len(f.seen) - 1
	if last < 0 || now.Sub(f.seen[last].from) >= floorStep {
		f.seen = append(f.seen, sighting{revision, now, now})
		return
	}
	f.seen[last].revision = revision
	f.seen[last].to = now
}
