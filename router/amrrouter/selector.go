package amrrouter

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrplace"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

// maxCostBoundedDispatches is the number of dispatches of a request that carry a
// cost bound. Later dispatches carry none, so that the request is accepted at
// the first backend server that can run it.
const maxCostBoundedDispatches = 2

// selector selects the backend server for each attempt of one request and reports
// the outcome of each attempt to the placement. It is not safe for concurrent
// use.
type selector struct {
	placement *placement
	request   *request
	plan      plan

	costBoundedDispatches int // Dispatches so far that carried a cost bound.
	weightsMismatches     int // Dispatches declined because of the version of the weights.
	costDeclines          int // Dispatches declined because of their cost.

	planUsed      bool                 // nextServer was called, so its next call ranks anew.
	excluded      []string             // Backend servers that declined or failed the request.
	unavailable   []string             // Those among excluded that were unavailable or reported that the attempt did not run.
	inProgress    []string             // Backend servers of attempts in progress.
	declinedCosts []amrplace.Decline   // Costs that were reported by backend servers that declined.
	unconfirmed   map[string]candidate // Dispatches that were neither accepted nor declined yet, by name.
}

// newSelector returns a selector for the request with an initial plan.
func newSelector(p *placement, q *request) *selector {
	return &selector{placement: p, request: q, plan: p.plan(q, nil, nil), unconfirmed: make(map[string]candidate)}
}

// nextServer returns the backend server for the next attempt and records the
// dispatch to it. It returns false if no backend server is left.
func (s *selector) nextServer() (candidate, bool) {
	if s.planUsed {
		s.rerank()
	}
	s.planUsed = true
	if len(s.plan.candidates) == 0 {
		return candidate{}, false
	}
	server := s.plan.candidates[0]
	s.placement.recordDispatched(s.request, server)
	s.unconfirmed[server.name] = server
	s.inProgress = append(s.inProgress, server.name)
	return server, true
}

// rerank replaces the plan by one that takes the outcomes of the attempts so far
// into account, and returns its candidates, the best first.
func (s *selector) rerank() []candidate {
	s.plan = s.placement.plan(s.request, s.unusableServers(), s.declinedCosts)
	return s.plan.candidates
}

// setDispatchOptions sets the fields of the request message that control how
// often the sidecar reports its load, how many stored blocks it may list, and the
// bounds above which it declines. The cost bound is omitted after
// maxCostBoundedDispatches, and for an attempt that runs concurrently with another
// one.
func (s *selector) setDispatchOptions(message *amrgate.DispatchRequest) {
	message.ReportIntervalMs = s.placement.loadInterval().Milliseconds()
	message.MaxStored = uint32(s.plan.maxStoredBlocks)
	message.MaxWaitMs = s.request.policy.MaxQueueWait.Milliseconds()
	if s.plan.costBound <= 0 || s.costBoundedDispatches >= maxCostBoundedDispatches || len(s.inProgress) > 1 {
		return
	}
	s.costBoundedDispatches++
	message.MaxCostMs = max(s.plan.costBound.Milliseconds(), 1)
	message.WaitWeight, message.RecomputeWeight = s.plan.waitWeight, s.plan.recomputeWeight
}

// hasMore reports whether a backend server is left that is not excluded and at
// which no attempt of the request is in progress.
func (s *selector) hasMore() bool {
	return len(s.placement.plan(s.request, s.unusableServers(), nil).candidates) > 0
}

// applyReply updates the selection and the placement from a reply of the
// backend server.
func (s *selector) applyReply(server string, reply *amrgate.DispatchReply) {
	load := reply.GetLoad()
	s.placement.recordLoad(s.request.deployment, server, load)
	switch event := reply.GetEvent().(type) {
	case *amrgate.DispatchReply_Accepted:
		if dispatched, ok := s.takeUnconfirmed(server); ok {
			s.placement.recordAccepted(s.request, dispatched, event.Accepted, load)
		}
	case *amrgate.DispatchReply_Declined:
		if dispatched, ok := s.takeUnconfirmed(server); ok {
			s.placement.recordDeclined(s.request, dispatched, event.Declined, load)
		}
		s.handleDecline(server, event.Declined, load)
	case *amrgate.DispatchReply_Failed:
		if amrreason.Ran(event.Failed.GetRan()) == amrreason.NotRun {
			s.unavailable = append(s.unavailable, server)
		}
		s.exclude(server)
	}
}

// attemptEnded records the end of the attempt at the backend server. An attempt
// that ends before it was accepted or declined counts as unanswered.
func (s *selector) attemptEnded(server string) {
	if dispatched, ok := s.takeUnconfirmed(server); ok {
		s.placement.recordNoReply(s.request, dispatched)
	}
	s.inProgress = slices.DeleteFunc(s.inProgress, func(name string) bool { return name == server })
	s.placement.attemptEnded(server)
}

// exclude removes the backend server from the selection.
func (s *selector) exclude(server string) {
	if !slices.Contains(s.excluded, server) {
		s.excluded = append(s.excluded, server)
	}
}

// readmitUnavailable makes the backend servers that were unavailable selectable
// again.
func (s *selector) readmitUnavailable() {
	s.excluded = slices.DeleteFunc(s.excluded, func(name string) bool { return slices.Contains(s.unavailable, name) })
	s.unavailable = nil
}

// handleDecline updates the selection after a backend server declined an
// attempt. It excludes the server, with two exceptions. A server whose cost was
// above the bound stays selectable, with the cost that it reported, because it
// may still be the cheapest one. A server that holds another version of the
// weights is excluded only after more than maxWeightsReselections mismatches,
// because plans already omit it while it is known to hold that version.
func (s *selector) handleDecline(server string, declined *amrgate.Declined, load *amrgate.Load) {
	switch amrreason.Code(declined.GetReason()) {
	case amrreason.CostAboveBound:
	case amrreason.WrongWeights:
		if s.weightsMismatches++; s.weightsMismatches > maxWeightsReselections {
			s.exclude(server)
		}
		return
	default:
		if amrreason.Code(declined.GetReason()) == amrreason.EngineUnavailable {
			s.unavailable = append(s.unavailable, server)
		}
		s.exclude(server)
		return
	}
	s.costDeclines++
	cached := int(declined.GetCachedTokens())
	rate := float64(max(load.GetPrefillTokensPerSecond(), 1))
	compute := time.Duration(float64(amrprompt.CountTokens(s.request.prompt)-cached) / rate * float64(time.Second))
	s.declinedCosts = append(s.declinedCosts, amrplace.Decline{
		Name:         server,
		Wait:         max(time.Duration(declined.GetWaitMs())*time.Millisecond-compute, 0),
		CachedTokens: cached,
	})
}

// unusableServers returns the backend servers that cannot be selected now.
func (s *selector) unusableServers() []string {
	return slices.Concat(s.excluded, s.inProgress)
}

// takeUnconfirmed removes and returns the dispatch to the server that was
// neither accepted nor declined yet. It returns false if there is none.
func (s *selector) takeUnconfirmed(server string) (candidate, bool) {
	unconfirmed, ok := s.unconfirmed[server]
	delete(s.unconfirmed, server)
	return unconfirmed, ok
}
