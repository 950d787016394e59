package amrrouter

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrplace"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

// boundedTries is how many dispatches of a request carry a bound of cost. The
// one after them is taken wherever it goes.
const boundedTries = 2

// choice chooses the backend servers of one request, one attempt behind the
// other, and tells the placement what became of each.
type choice struct {
	placement *placement
	request   *request
	plan      plan
	bounded   int      // Dispatches with a bound so far.
	misses    int      // Dispatches that were declined for the version of the weights.
	costly    int      // Dispatches that were declined for their cost.
	used      bool     // The plan was used for a dispatch.
	excluded  []string // Backend servers that refused or failed the request.
	absent    []string // Those of them that were away and ran nothing.
	running   []string // Backend servers of attempts in progress.
	known     []amrplace.DeclinedBy
	open      map[string]candidate
}

func newChoice(p *placement, q *request) *choice {
	return &choice{placement: p, request: q, plan: p.plan(q, nil, nil), open: make(map[string]candidate)}
}

// next returns the backend server for the next attempt, and false when none
// is left.
func (c *choice) next() (candidate, bool) {
	if c.used {
		c.again()
	}
	c.used = true
	if len(c.plan.candidates) == 0 {
		return candidate{}, false
	}
	server := c.plan.candidates[0]
	c.placement.dispatched(c.request, server)
	c.open[server.name] = server
	c.running = append(c.running, server.name)
	return server, true
}

// again returns the backend servers ranked anew.
func (c *choice) again() []candidate {
	c.plan = c.placement.plan(c.request, c.unusable(), c.known)
	return c.plan.candidates
}

// fill adds to the message of the attempt what the placement asks of the
// sidecar.
func (c *choice) fill(message *amrgate.DispatchRequest) {
	message.ReportIntervalMs = c.placement.reportInterval().Milliseconds()
	message.MaxStored = uint32(c.plan.stored)
	message.MaxWaitMs = c.request.policy.MaxQueueWait.Milliseconds()
	if c.plan.bound <= 0 || c.bounded >= boundedTries || len(c.running) > 1 {
		return
	}
	c.bounded++
	message.MaxCostMs = max(c.plan.bound.Milliseconds(), 1)
	message.WaitWeight, message.RecomputeWeight = c.plan.waitWeight, c.plan.recomputeWeight
}

// more reports whether there is a backend server that the request is not at
// and has not failed at.
func (c *choice) more() bool {
	return len(c.placement.plan(c.request, c.unusable(), nil).candidates) > 0
}

// observe takes a reply of the backend server.
func (c *choice) observe(server string, reply *amrgate.DispatchReply) {
	load := reply.GetLoad()
	c.placement.reported(c.request.deployment, server, load)
	switch event := reply.GetEvent().(type) {
	case *amrgate.DispatchReply_Accepted:
		if open, ok := c.take(server); ok {
			c.placement.accepted(c.request, open, event.Accepted, load)
		}
	case *amrgate.DispatchReply_Declined:
		if open, ok := c.take(server); ok {
			c.placement.declined(c.request, open, event.Declined, load)
		}
		c.declined(server, event.Declined, load)
	case *amrgate.DispatchReply_Failed:
		if amrreason.Ran(event.Failed.GetRan()) == amrreason.NotRun {
			c.absent = append(c.absent, server)
		}
		c.exclude(server)
	}
}

// ended notes the end of the attempt at the backend server.
func (c *choice) ended(server string) {
	if open, ok := c.take(server); ok {
		c.placement.unanswered(c.request, open)
	}
	c.running = slices.DeleteFunc(c.running, func(name string) bool { return name == server })
	c.placement.ended(server)
}

// exclude keeps further attempts from the backend server.
func (c *choice) exclude(server string) {
	if !slices.Contains(c.excluded, server) {
		c.excluded = append(c.excluded, server)
	}
}

// forgive lets further attempts go to backend servers that were away.
func (c *choice) forgive() {
	c.excluded = slices.DeleteFunc(c.excluded, func(name string) bool { return slices.Contains(c.absent, name) })
	c.absent = nil
}

// declined excludes the backend server unless only its cost was too high: it
// may still be the best when the others are worse. One that holds other weights
// is left out of the plan for as long as it does.
func (c *choice) declined(server string, declined *amrgate.Declined, load *amrgate.Load) {
	switch amrreason.Code(declined.GetReason()) {
	case amrreason.CostsLessElsewhere:
	case amrreason.WrongWeights:
		if c.misses++; c.misses > maxRebinds {
			c.exclude(server)
		}
		return
	default:
		if amrreason.Code(declined.GetReason()) == amrreason.EngineUnavailable {
			c.absent = append(c.absent, server)
		}
		c.exclude(server)
		return
	}
	c.costly++
	cached := int(declined.GetCachedTokens())
	rate := float64(max(load.GetPrefillTokensPerSecond(), 1))
	compute := time.Duration(float64(amrprompt.Tokens(c.request.prompt)-cached) / rate * float64(time.Second))
	c.known = append(c.known, amrplace.DeclinedBy{
		Name:         server,
		Wait:         max(time.Duration(declined.GetWaitMs())*time.Millisecond-compute, 0),
		CachedTokens: cached,
	})
}

// unusable returns the backend servers that the request may not go to now.
func (c *choice) unusable() []string {
	return slices.Concat(c.excluded, c.running)
}

func (c *choice) take(server string) (candidate, bool) {
	open, ok := c.open[server]
	delete(c.open, server)
	return open, ok
}
