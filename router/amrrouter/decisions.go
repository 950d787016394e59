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

// decisions keeps the decisions on requests: those in progress here, the
// others with the recorder.
type decisions struct {
	recorder *amrexplain.Recorder
	clock    clockwork.Clock

	mu      sync.Mutex
	running map[string]*decision
}

func newDecisions(recorder *amrexplain.Recorder, clock clockwork.Clock) *decisions {
	return &decisions{recorder: recorder, clock: clock, running: map[string]*decision{}}
}

// decision is why a request goes where it goes, while it is in progress.
type decision struct {
	all     *decisions
	release func(tokens int)

	mu    sync.Mutex
	value amrexplain.Decision
}

func (d *decisions) begin(q *request, ranked []candidate, now time.Time) *decision {
	made := &decision{all: d, release: q.release, value: amrexplain.Decision{
		RequestID:  q.id,
		Team:       q.team,
		Deployment: q.deployment,
		Revision:   q.set.Revision(),
		Policy:     string(q.policy.Policy),
		At:         now.UTC(),
		Outcome:    amrexplain.Running,
		Ran:        amrreason.Unknown,
	}}
	for _, c := range ranked {
		made.value.Candidates = append(made.value.Candidates, amrexplain.Candidate{
			BackendServer: c.name,
			Cost:          c.cost,
			Wait:          c.placed.Wait,
			CachedTokens:  uint32(c.placed.CachedTokens),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[q.id] = made
	return made
}

// get returns a decision that is in memory.
func (d *decisions) get(id string) (amrexplain.Decision, bool) {
	d.mu.Lock()
	running, ok := d.running[id]
	d.mu.Unlock()
	if !ok {
		return d.recorder.Get(id)
	}
	running.mu.Lock()
	defer running.mu.Unlock()
	return running.value, true
}

// refused notes a request that was refused before a session began.
func (d *decisions) refused(id, team string, refused *refusal, revision uint64, now time.Time) {
	d.mu.Lock()
	_, running := d.running[id]
	d.mu.Unlock()
	if _, ended := d.recorder.Get(id); running || ended {
		return
	}
	d.recorder.Add(amrexplain.Decision{
		RequestID:  id,
		Team:       team,
		Deployment: bounded(refused.deployment),
		Revision:   revision,
		At:         now.UTC(),
		Outcome:    amrexplain.Refused,
		Reason:     refused.reason,
		Ran:        refused.ran,
		Detail:     refused.detail,
		RetryAfter: refused.retryAfter,
	})
}

func (d *decision) accepted(server string, _ *amrgate.Accepted) {
	d.attempted(amrexplain.Attempt{BackendServer: server, Result: amrexplain.AttemptAccepted})
}

// attempt notes that an attempt gave no whole answer.
func (d *decision) attempt(server string, reason amrreason.Code) {
	d.mu.Lock()
	accepted := d.accepting(server) >= 0
	d.mu.Unlock()
	result := amrexplain.AttemptDeclined
	if accepted {
		result = amrexplain.AttemptFailed
	}
	d.attempted(amrexplain.Attempt{BackendServer: server, Result: result, Reason: reason, Ran: amrreason.Of(reason).Ran})
}

func (d *decision) finished(server string, end *amrgate.End, now time.Time) {
	d.attempted(amrexplain.Attempt{BackendServer: server, Result: amrexplain.AttemptFinished})
	d.end(now, func(value *amrexplain.Decision) {
		value.Outcome = amrexplain.Answered
		value.Ran = amrreason.DidRun
		value.PromptTokens = end.GetPromptTokens()
		value.CachedTokens = end.GetCachedTokens()
		value.CompletionTokens = end.GetCompletionTokens()
	})
}

func (d *decision) refused(refused *refusal, now time.Time) {
	d.end(now, func(value *amrexplain.Decision) {
		value.Outcome = amrexplain.Refused
		value.Reason = refused.reason
		value.Ran = refused.ran
		value.Detail = refused.detail
		value.RetryAfter = refused.retryAfter
	})
}

// end hands the decision to the recorder. Only the first call has an effect.
func (d *decision) end(now time.Time, change func(*amrexplain.Decision)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.value.Outcome != amrexplain.Running {
		return
	}
	change(&d.value)
	d.value.Took = now.Sub(d.value.At)
	if d.release != nil {
		d.release(int(d.value.PromptTokens + d.value.CompletionTokens))
	}
	d.all.recorder.Add(d.value)
	d.all.mu.Lock()
	defer d.all.mu.Unlock()
	delete(d.all.running, d.value.RequestID)
}

// accepting returns the place of the attempt that runs at the server, or -1.
func (d *decision) accepting(server string) int {
	for i, a := range slices.Backward(d.value.Attempts) {
		if a.BackendServer == server && a.Result == amrexplain.AttemptAccepted {
			return i
		}
	}
	return -1
}

// attempted notes an attempt, in place of its acceptance when that was noted.
func (d *decision) attempted(a amrexplain.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.After = d.all.clock.Now().Sub(d.value.At)
	attempts := slices.Clone(d.value.Attempts) // Readers of the value hold the old one.
	if i := d.accepting(a.BackendServer); i >= 0 {
		a.After = attempts[i].After
		attempts[i] = a
	} else {
		attempts = append(attempts, a)
	}
	d.value.Attempts = attempts
}

// bounded cuts a name that a caller sent to the length of a record's name.
func bounded(name string) string {
	const longest = 128
	return name[:min(len(name), longest)]
}
