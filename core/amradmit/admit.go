package amradmit

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

const (
	// overheadTokens is what each request costs its team besides its prompt.
	overheadTokens = 64

	// shortestRetry is the least time after which a refused request is
	// invited back.
	shortestRetry = 100 * time.Millisecond
)

func (q *Queue) arrive(now time.Time, a Arrive) []Action {
	cached := q.tokens(a.Request, max(q.index.ExpectedDepth(a.Keys), q.queuedDepth(a.Request)))
	e := &entry{Request: a.Request, uncached: a.PromptTokens - cached}
	if a.TimeLeft > 0 {
		e.deadline = now.Add(a.TimeLeft)
	}
	e.start = q.fair.start(e)
	e.order = q.fair.next()
	begin := q.waitBehind(now, q.ahead(e))
	first := begin + q.rate.duration(e.uncached)
	if reason, retry := q.refusal(a, e, begin, first); reason != "" {
		return []Action{Decline{ID: a.ID, Reason: reason, RetryAfter: retry, Wait: first, CachedTokens: cached}}
	}
	q.fair.admit(e)
	q.requests[a.ID] = e
	q.waiting = append(q.waiting, e)
	return q.hand(now, []Action{Accept{ID: a.ID, Wait: first, CachedTokens: cached}})
}

// refusal returns why the request is not admitted and when it may come again,
// or an empty reason.
func (q *Queue) refusal(a Arrive, e *entry, begin, first time.Duration) (amrreason.Code, time.Duration) {
	switch {
	case q.stopped:
		return amrreason.EngineUnavailable, time.Second
	case q.requests[a.ID] != nil:
		return amrreason.Internal, 0
	case len(q.waiting) >= q.queueLimit:
		return amrreason.Overloaded, max(begin, shortestRetry)
	case a.TimeLeft > 0 && q.rate.duration(e.uncached) > a.TimeLeft:
		return amrreason.DeadlineExceeded, 0
	case a.TimeLeft > 0 && first > a.TimeLeft:
		return amrreason.Overloaded, max(first-a.TimeLeft, shortestRetry)
	case a.MaxWait > 0 && first > a.MaxWait && begin > 0:
		return amrreason.Overloaded, max(first-a.MaxWait, shortestRetry)
	case a.Bound.exceeded(begin, q.rate.duration(e.uncached)):
		return amrreason.CostsLessElsewhere, 0
	}
	return "", 0
}

func (b Bound) exceeded(wait, compute time.Duration) bool {
	if b.Cost <= 0 {
		return false
	}
	cost := b.WaitWeight*float64(wait) + b.RecomputeWeight*float64(compute)
	return cost > float64(b.Cost)
}

// hand hands waiting requests to the engine as far as it may take them.
func (q *Queue) hand(now time.Time, actions []Action) []Action {
	actions = q.expire(now, actions)
	for !q.stopped && len(q.waiting) > 0 {
		first := q.first()
		e := q.waiting[first]
		if !q.mayRun(e) {
			break
		}
		q.waiting = append(q.waiting[:first], q.waiting[first+1:]...)
		q.start(now, e)
		actions = append(actions, Run{ID: e.ID})
	}
	return actions
}

func (q *Queue) start(now time.Time, e *entry) {
	if len(q.handed) == 0 {
		q.since = now
	}
	e.uncached = e.PromptTokens - q.tokens(e.Request, q.index.ExpectedDepth(e.Keys))
	q.running++
	q.fair.started(e)
	if e.PromptTokens == 0 {
		e.state, e.ran = stateRunning, now
		return
	}
	q.index.Expect(e.Keys)
	e.state = stateHanded
	q.handed = append(q.handed, e)
}

func (q *Queue) mayRun(e *entry) bool {
	if q.running == 0 {
		return true
	}
	if e.Isolated || q.isolated() {
		return false
	}
	return (e.PromptTokens == 0 || len(q.handed) < q.handedPrompts) && q.running < q.batchLimit
}

// isolated reports whether the request at the engine has it for itself.
func (q *Queue) isolated() bool {
	if q.running != 1 {
		return false
	}
	for _, e := range q.requests {
		if e.state != stateWaiting {
			return e.Isolated
		}
	}
	return false
}

// first returns the position of the waiting request that runs next.
func (q *Queue) first() int {
	best := 0
	for i, e := range q.waiting {
		if e.before(q.waiting[best]) {
			best = i
		}
	}
	return best
}

func (q *Queue) expire(now time.Time, actions []Action) []Action {
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		if e.deadline.IsZero() || now.Before(e.deadline) {
			kept = append(kept, e)
			continue
		}
		delete(q.requests, e.ID)
		actions = append(actions, Expire{ID: e.ID, Reason: amrreason.DeadlineExceeded})
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return actions
}

func (q *Queue) computed(now time.Time, id string) []Action {
	e := q.requests[id]
	if e == nil || e.state != stateHanded {
		return nil
	}
	q.leaveHanded(now, e, true)
	q.index.Computed(e.Keys)
	e.state = stateRunning
	e.ran = now
	return q.hand(now, nil)
}

// leaveHanded takes a request out of those the engine has still to compute.
// Its time at the engine tells the engine's speed when it was the first.
func (q *Queue) leaveHanded(now time.Time, e *entry, computed bool) {
	for i, h := range q.handed {
		if h != e {
			continue
		}
		q.handed = append(q.handed[:i], q.handed[i+1:]...)
		if i > 0 {
			return
		}
		if computed {
			q.rate.observe(e.uncached, now.Sub(q.since))
		}
		q.since = now
		return
	}
}

func (q *Queue) finished(now time.Time, f Finished) []Action {
	e := q.requests[f.ID]
	if e == nil {
		return nil
	}
	q.remove(now, e)
	if f.Known {
		q.index.Observed(e.Keys, f.CachedTokens/amrprompt.TokensPerBlock, e.state == stateRunning)
	}
	if e.state == stateRunning {
		q.service.observe(now.Sub(e.ran))
	}
	return q.hand(now, nil)
}

func (q *Queue) canceled(now time.Time, id string) []Action {
	e := q.requests[id]
	if e == nil {
		return nil
	}
	q.remove(now, e)
	return q.hand(now, nil)
}

func (q *Queue) remove(now time.Time, e *entry) {
	delete(q.requests, e.ID)
	if e.state == stateWaiting {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *entry) bool { return w == e })
		return
	}
	if e.state == stateHanded {
		q.index.Abandoned(e.Keys)
	}
	q.leaveHanded(now, e, false)
	q.running--
}

func (q *Queue) engineState(now time.Time, s EngineState) []Action {
	if s.BatchLimit > 0 {
		q.batchLimit = s.BatchLimit
	}
	if s.PrefillRate > 0 {
		q.rate.nominate(s.PrefillRate)
	}
	q.stopped = s.Away
	if q.stopped {
		return q.dismiss()
	}
	return q.hand(now, nil)
}

// dismiss ends all waiting requests, so that they can run elsewhere.
func (q *Queue) dismiss() []Action {
	actions := make([]Action, 0, len(q.waiting))
	for _, e := range q.waiting {
		delete(q.requests, e.ID)
		actions = append(actions, Expire{ID: e.ID, Reason: amrreason.EngineUnavailable})
	}
	clear(q.waiting)
	q.waiting = q.waiting[:0]
	return actions
}

// engineLost forgets what the engine had and dismisses what waits.
func (q *Queue) engineLost() []Action {
	for id, e := range q.requests {
		if e.state == stateWaiting {
			continue
		}
		if e.state == stateHanded {
			q.index.Abandoned(e.Keys)
		}
		delete(q.requests, id)
	}
	q.handed = q.handed[:0]
	q.running = 0
	q.stopped = true
	return q.dismiss()
}

// queuedDepth returns how many leading blocks the request shares with one of
// its team that waits, and so will be computed before it.
func (q *Queue) queuedDepth(r Request) int {
	depth := 0
	for _, w := range q.waiting {
		if w.Team == r.Team {
			depth = max(depth, sharedDepth(w.Keys, r.Keys))
		}
	}
	return depth
}

func sharedDepth(a, b []amrprompt.Key) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// tokens returns the tokens of the request's leading blocks.
func (q *Queue) tokens(r Request, blocks int) int {
	return min(blocks*amrprompt.TokensPerBlock, r.PromptTokens)
}
