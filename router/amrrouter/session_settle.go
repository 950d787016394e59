package amrrouter

import (
	"context"
	"slices"
	"time"

	"amaranthreach.example/core/amrmember"
	"amaranthreach.example/core/amrreason"
)

const (
	// maxRebinds is how often the version of the weights is chosen anew, the
	// first quickRebinds times without a pause.
	maxRebinds   = 32
	quickRebinds = 2

	// A request waits for backend servers that are alive but not ready. The
	// first pause is firstSettle, each further one twice as long up to
	// longestSettle.
	firstSettle   = 20 * time.Millisecond
	longestSettle = 160 * time.Millisecond
)

// DefaultSettleLimit bounds the pauses of a request for backend servers that
// are not ready: longer than one takes to load weights.
const DefaultSettleLimit = 2 * time.Second

// rebind chooses the version of the weights anew, as long as nothing has run:
// the backend servers turned out to hold others than was known. After the
// quick ones the next attempt waits, so that a moment in which all of them
// change their weights passes.
func (s *session) rebind() bool {
	if s.rebinds == maxRebinds || s.relay.Relayed() > 0 {
		return false
	}
	s.rebinds++
	if s.rebinds > quickRebinds && !s.pause() {
		return false
	}
	s.request.bind(s.router.membership.view(s.request.set), s.choice.excluded)
	return true
}

// pause has the next attempt wait, and reports false where the request has
// waited long enough.
func (s *session) pause() bool {
	if s.settled >= s.router.settleLimit {
		return false
	}
	s.settling = min(max(2*s.settling, firstSettle), longestSettle)
	s.settled += s.settling
	s.unsettled = true
	return true
}

// notRun reports whether no attempt so far may have run.
func (s *session) notRun() bool {
	return s.last == nil || s.last.ran == amrreason.NotRun
}

// mayReturn reports whether nothing has run and a backend server of the
// deployment is alive but not ready, as while it loads weights, or was so when
// the request came there.
func (s *session) mayReturn() bool {
	if !s.notRun() {
		return false
	}
	if len(s.choice.absent) > 0 {
		return true
	}
	view := s.router.membership.view(s.request.set)
	return slices.ContainsFunc(view.Excluded(s.request.deployment), func(m *amrmember.Member) bool {
		return m.Exclusion == amrmember.NotReady
	})
}

// settle waits for the pause that is due. It reports false where the
// caller left or the time is over.
func (s *session) settle(ctx context.Context) bool {
	if !s.unsettled {
		return true
	}
	s.unsettled = false
	timer := s.router.clock.NewTimer(s.settling)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		s.choice.forgive()
		s.request.bind(s.router.membership.view(s.request.set), s.choice.excluded)
		return true
	case <-s.expiry.Chan():
		s.refused = refuse(amrreason.DeadlineExceeded, "").withRan(amrreason.NotRun)
	case <-ctx.Done():
		s.refused = refuse(amrreason.Canceled, "")
	}
	return false
}
