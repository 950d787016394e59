package amrrouter

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrexplain"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
)

// decisions holds the decisions about requests, which explain how each request
// was routed or why it was refused. It holds the decisions about requests in
// progress and passes those about finished requests to the recorder.
type decisions struct {
	recorder *amrexplain.Recorder
	clock    clockwork.Clock

	mu      sync.Mutex
	running map[string]*decision // By request ID.
}

// newDecisions returns decisions that are passed to the recorder when they are
// complete.
func newDecisions(recorder *amrexplain.Recorder, clock clockwork.Clock) *decisions {
	return &decisions{recorder: recorder, clock: clock, running: map[string]*decision{}}
}

// decision is the decision about a request in progress.
type decision struct {
	owner         *decisions
	releaseLimits func(tokens int) // Nil if the request was not counted against limits.

	mu    sync.Mutex
	value amrexplain.Decision
}

// begin starts the decision about a request with the ranked candidates for it.
func (d *decisions) begin(q *request, ranked []candidate, now time.Time) *decision {
	started := &decision{owner: d, releaseLimits: q.releaseLimits, value: amrexplain.Decision{
		RequestID:  q.id,
		Team:       q.team,
		Deployment: q.deployment,
		Revision:   q.records.Revision(),
		Policy:     string(q.policy.Policy),
		At:         now.UTC(),
		Outcome:    amrexplain.Running,
		Ran:        amrreason.RunUnknown,
	}}
	for _, c := range ranked {
		started.value.Candidates = append(started.value.Candidates, amrexplain.Candidate{
			BackendServer: c.name,
			Cost:          c.cost,
			Wait:          c.placed.Wait,
			CachedTokens:  uint32(c.placed.CachedTokens),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[q.id] = started
	return started
}

// get returns the decision about the request with the ID if it is in memory: one
// in progress, or a finished one that the recorder still holds.
func (d *decisions) get(id string) (amrexplain.Decision, bool) {
	d.mu.Lock()
	running, ok := d.running[id]
	d.mu.Unlock()
	if !ok {
		return d.recorder.GetRecent(id)
	}
	running.mu.Lock()
	defer running.mu.Unlock()
	return running.value, true
}

// recordRefusal records the decision about a request that was refused before
// its session began. It does nothing for a request that has a decision already.
func (d *decisions) recordRefusal(id, team string, refused *refusal, revision uint64, now time.Time) {
	d.mu.Lock()
	_, running := d.running[id]
	d.mu.Unlock()
	if _, ended := d.recorder.GetRecent(id); running || ended {
		return
	}
	d.recorder.Add(amrexplain.Decision{
		RequestID:  id,
		Team:       team,
		Deployment: truncateName(refused.deployment),
		Revision:   revision,
		At:         now.UTC(),
		Outcome:    amrexplain.Refused,
		Reason:     refused.reason,
		Ran:        refused.ran,
		Detail:     refused.detail,
		RetryAfter: refused.retryAfter,
	})
}

// attemptAccepted records that the backend server accepted an attempt.
func (d *decision) attemptAccepted(server string, _ *amrgate.Accepted) {
	d.setAttempt(amrexplain.Attempt{BackendServer: server, Result: amrexplain.AttemptAccepted})
}

// attemptFailed records an attempt that did not return a complete response. It is
// recorded as failed if the backend server had accepted it and as declined
// otherwise.
func (d *decision) attemptFailed(server string, reason amrreason.Code) {
	d.mu.Lock()
	accepted := d.acceptedAttempt(server) >= 0
	d.mu.Unlock()
	result := amrexplain.AttemptDeclined
	if accepted {
		result = amrexplain.AttemptFailed
	}
	d.setAttempt(amrexplain.Attempt{BackendServer: server, Result: result, Reason: reason, Ran: amrreason.Lookup(reason).Ran})
}

// recordCompletion records that the backend server completed the response, and
// ends the decision.
func (d *decision) recordCompletion(server string, end *amrgate.End, now time.Time) {
	d.setAttempt(amrexplain.Attempt{BackendServer: server, Result: amrexplain.AttemptFinished})
	d.end(now, func(value *amrexplain.Decision) {
		value.Outcome = amrexplain.Answered
		value.Ran = amrreason.DidRun
		value.PromptTokens = end.GetPromptTokens()
		value.CachedTokens = end.GetCachedTokens()
		value.CompletionTokens = end.GetCompletionTokens()
	})
}

// recordRefusal records that the request was refused, and ends the decision.
func (d *decision) recordRefusal(refused *refusal, now time.Time) {
	d.end(now, func(value *amrexplain.Decision) {
		value.Outcome = amrexplain.Refused
		value.Reason = refused.reason
		value.Ran = refused.ran
		value.Detail = refused.detail
		value.RetryAfter = refused.retryAfter
	})
}

// end applies the change, releases the capacity that the request took from its
// team's limits, and passes the decision to the recorder. Only the first call has
// an effect.
func (d *decision) end(now time.Time, change func(*amrexplain.Decision)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.value.Outcome != amrexplain.Running {
		return
	}
	change(&d.value)
	d.value.Elapsed = now.Sub(d.value.At)
	if d.releaseLimits != nil {
		d.releaseLimits(int(d.value.PromptTokens + d.value.CompletionTokens))
	}
	d.owner.recorder.Add(d.value)
	d.owner.mu.Lock()
	defer d.owner.mu.Unlock()
	delete(d.owner.running, d.value.RequestID)
}

// acceptedAttempt returns the index of the last attempt that the server accepted
// and that has not ended, or -1 if there is none. The caller must hold d.mu.
func (d *decision) acceptedAttempt(server string) int {
	for i, a := range slices.Backward(d.value.Attempts) {
		if a.BackendServer == server && a.Result == amrexplain.AttemptAccepted {
			return i
		}
	}
	return -1
}

// setAttempt adds the attempt to the decision. If the decision already has an
// entry for the acceptance of the attempt, the attempt replaces that entry and
// keeps its time.
func (d *decision) setAttempt(a amrexplain.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.After = d.owner.clock.Now().Sub(d.value.At)
	attempts := slices.Clone(d.value.Attempts) // Copies returned by get share the old slice.
	if i := d.acceptedAttempt(a.BackendServer); i >= 0 {
		a.After = attempts[i].After
		attempts[i] = a
	} else {
		attempts = append(attempts, a)
	}
	d.value.Attempts = attempts
}

// truncateName truncates a name that a caller sent to the maximum length of the
// name of a record, so that a caller cannot make decisions arbitrarily large.
func truncateName(name string) string {
	const maxLength = 128
	return name[:min(len(name), maxLength)]
}
