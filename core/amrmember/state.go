package amrmember

import (
	"time"

	"amaranthreach.example/core/amrplatform"
)

// state is what Members knows of one backend server.
type state struct {
	member Member // As it stands in the view.
	index  int    // In the list of names.

	drainedByRecord bool

	// What the sidecar said last. A sidecar that was never heard is taken to
	// be ready: it declines what it cannot run.
	draining            bool
	notReady            bool
	previousIncarnation string

	// What the host list says.
	listed             bool
	gone               bool
	leaving            bool
	leavingSince       time.Time
	leavingIncarnation string // The process that the word leaving is about.

	// What the router saw itself.
	failures     int
	ejected      bool
	ejectedUntil time.Time
	ejections    int

	probeAt time.Time // Zero when no probe is planned.
	probes  int
}

// exclusion returns the first reason that keeps new work away.
func (s *state) exclusion() Exclusion {
	switch {
	case s.drainedByRecord:
		return DrainedByRecord
	case s.draining:
		return Draining
	case s.leaving:
		return Leaving
	case s.gone:
		return Gone
	case s.ejected:
		return Ejected
	case s.notReady:
		return NotReady
	default:
		return Eligible
	}
}

// list takes in the host list's entry and reports whether anything changed.
func (s *state) list(host amrplatform.Host) bool {
	changed := s.gone
	s.listed = true
	s.gone = false
	if host.State != amrplatform.HostLeaving {
		changed = changed || s.leaving
		s.leaving = false
		s.leavingSince = time.Time{}
		return changed
	}
	if host.Since.Equal(s.leavingSince) {
		return changed // Known, and maybe overruled since.
	}
	s.leaving = true
	s.leavingSince = host.Since
	s.leavingIncarnation = s.member.SidecarIncarnation
	return true
}

// restarted forgets what was known of the process before. The host list's
// word leaving was about that process, if it was heard before the word.
func (s *state) restarted() {
	s.previousIncarnation = s.member.SidecarIncarnation
	s.failures = 0
	s.ejectedUntil = time.Time{}
	if s.leaving && s.leavingIncarnation != "" {
		s.leaving = false
	}
}
