package amrrouter

import (
	"context"
	"slices"
	"time"

	"amaranthreach.example/core/amrmember"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrstream"
)

const (
	// maxWeightsReselections limits how often a request selects the version of
	// the weights again. The selection at the end of each pause does not count.
	maxWeightsReselections = 32

	// immediateWeightsReselections is the number of these reselections that are
	// made without a pause.
	immediateWeightsReselections = 2

	// minReadyPause is the first pause of a request that waits for backend
	// servers that are alive but not ready. Each further pause is twice as long,
	// up to maxReadyPause.
	minReadyPause = 20 * time.Millisecond
	maxReadyPause = 160 * time.Millisecond
)

// DefaultReadyWaitLimit is the default limit of the total time for which a request
// waits for backend servers that are not ready. It is longer than a backend server
// takes to load weights.
const DefaultReadyWaitLimit = 2 * time.Second

// reselectWeights selects the version of the weights again, because the backend
// servers were found to hold other versions than the router knew of. It returns
// false if a part of the response was relayed already or a limit is reached. After
// the first immediateWeightsReselections, the next attempt waits for a pause, so
// that the request outlasts the time in which all backend servers change their
// weights.
func (s *session) reselectWeights() bool {
	if s.weightsReselections == maxWeightsReselections || s.relay.Relayed() > 0 {
		return false
	}
	s.weightsReselections++
	if s.weightsReselections > immediateWeightsReselections && !s.schedulePause() {
		return false
	}
	s.request.selectWeights(s.router.membership.view(s.request.records), s.selector.excluded)
	return true
}

// schedulePause makes the next attempt wait for a pause. It returns false if the
// request has reached the limit of its total wait.
func (s *session) schedulePause() bool {
	if s.totalPause >= s.router.readyWaitLimit {
		return false
	}
	s.lastPause = min(max(2*s.lastPause, minReadyPause), maxReadyPause)
	s.totalPause += s.lastPause
	s.pausePending = true
	return true
}

// lastAttemptDidNotRun reports whether the last failed attempt, if there is one,
// did not run. It does not consider earlier attempts.
func (s *session) lastAttemptDidNotRun() bool {
	return s.lastFailure == nil || s.lastFailure.ran == amrreason.NotRun
}

// mayBecomeReady reports whether waiting can help the request: the last failed
// attempt did not run, and a backend server of the deployment is alive but not
// ready, for example because it loads weights, or was unavailable when an attempt
// reached it.
func (s *session) mayBecomeReady() bool {
	if !s.lastAttemptDidNotRun() {
		return false
	}
	if len(s.selector.unavailable) > 0 {
		return true
	}
	view := s.router.membership.view(s.request.records)
	return slices.ContainsFunc(view.Excluded(s.request.deployment), func(m *amrmember.Member) bool {
		return m.Exclusion == amrmember.NotReady
	})
}

// waitPause waits for the scheduled pause, if there is one, then makes unavailable
// backend servers selectable and selects the version of the weights again. It
// returns false, and sets the refusal, if the request was canceled or its deadline
// passed.
func (s *session) waitPause(ctx context.Context) bool {
	if !s.pausePending {
		return true
	}
	s.pausePending = false
	timer := s.router.clock.NewTimer(s.lastPause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		s.selector.readmitUnavailable()
		s.request.selectWeights(s.router.membership.view(s.request.records), s.selector.excluded)
		return true
	case <-s.deadlineTimer.Chan():
		s.stepRelay(amrstream.NotResumed{Reason: amrreason.DeadlineExceeded, Ran: amrreason.NotRun}) // The relay knows whether an earlier attempt may have run.
	case <-ctx.Done():
		s.finalRefusal = newRefusal(amrreason.Canceled, "")
	}
	return false
}
