package amrmember

import (
	"time"

	"amaranthreach.example/core/amrplatform"
)

// state is the known state of a backend server.
type state struct {
	member Member // The member in the view.
	index  int    // The position in the list of names.

	drainedByRecord bool

	// The last state that the sidecar reported. A sidecar that has not reported
	// yet is assumed to be ready, because it declines work that it cannot run.
	draining            bool
	notReady            bool
	previousIncarnation string // The sidecar process before the last restart.

	// The state in the host list.
	listed             bool
	gone               bool // The host was listed before and is missing now.
	leaving            bool
	leavingSince       time.Time
	leavingIncarnation string // The sidecar process that was known when the host was listed as leaving.

	// The results of this router's own requests.
	failures     int // Consecutive failures.
	ejected      bool
	ejectedUntil time.Time
	ejections    int // Number of ejections, counted anew after EjectionResetTime without one.

	nextProbe time.Time // The time of the next probe; zero if none is scheduled.
	probes    int       // Probes scheduled since the backend server was excluded.
}

// exclusion returns the strongest reason for which the backend server gets no
// new work, or Eligible.
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

// applyHost updates the state from an entry of the host list, and reports
// whether it has changed.
func (s *state) applyHost(host amrplatform.Host) bool {
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
		return changed // The entry was processed before, and the sidecar may have restarted since.
	}
	s.leaving = true
	s.leavingSince = host.Since
	s.leavingIncarnation = s.member.SidecarIncarnation
	return true
}

// resetProcess clears the state that concerns the previous sidecar process. This
// includes the leaving state of the host list, unless no sidecar process was
// known when the host was listed as leaving.
func (s *state) resetProcess() {
	s.previousIncarnation = s.member.SidecarIncarnation
	s.failures = 0
	s.ejectedUntil = time.Time{}
	if s.leaving && s.leavingIncarnation != "" {
		s.leaving = false
	}
}
