package amrconfig

import "time"

// observationWindow is the time within which observed revisions are combined
// into one observation. It limits the number of observations that a floor
// keeps.
const observationWindow = 250 * time.Millisecond

// RevisionFloor tracks the minimum revision of the records that a dispatch may
// be based on, so that a sidecar can reject dispatches that are based on stale
// records. It records when it first observed each higher revision. After
// MaxPropagationDelay, every router must use at least that revision, and the
// floor rises to it. The zero value has observed no revision and has the
// minimum 0. A RevisionFloor is not safe for concurrent use.
type RevisionFloor struct {
	minimum      uint64
	observations []observation // Observations above the minimum, in ascending order.
}

// observation is the highest of the revisions that were first observed from
// the time first to the time last.
type observation struct {
	revision uint64
	first    time.Time
	last     time.Time
}

// Allow records the revision of a dispatch and reports whether the dispatch
// may run, that is, whether the revision is at least the minimum.
func (f *RevisionFloor) Allow(now time.Time, revision uint64) bool {
	f.observe(now, revision)
	for len(f.observations) > 0 && now.Sub(f.observations[0].last) >= MaxPropagationDelay {
		f.minimum = f.observations[0].revision
		f.observations = f.observations[1:]
	}
	return revision >= f.minimum
}

// Highest returns the highest revision observed.
func (f *RevisionFloor) Highest() uint64 {
	if len(f.observations) == 0 {
		return f.minimum
	}
	return f.observations[len(f.observations)-1].revision
}

// observe records the revision if it is higher than all others observed.
func (f *RevisionFloor) observe(now time.Time, revision uint64) {
	if revision <= f.Highest() {
		return
	}
	newest := len(f.observations) - 1
	if newest < 0 || now.Sub(f.observations[newest].first) >= observationWindow {
		f.observations = append(f.observations, observation{revision, now, now})
		return
	}
	f.observations[newest].revision = revision
	f.observations[newest].last = now
}
