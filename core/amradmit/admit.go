package amradmit

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

const (
	// overheadTokens is the cost of each request to its team in addition to its
	// uncached prompt tokens.
	overheadTokens = 64

	// minRetryAfter is the least time after which a request that was declined
	// as overloaded may be sent again.
	minRetryAfter = 100 * time.Millisecond
)

// arrive admits or declines a request.
func (q *Queue) arrive(now time.Time, a Arrive) []Action {
	cached := q.leadingTokens(a.Request, max(q.index.ExpectedDepth(a.Keys), q.queuedDepth(a.Request)))
	e := &entry{Request: a.Request, uncached: a.PromptTokens - cached}
	if a.TimeLeft > 0 {
		e.deadline = now.Add(a.TimeLeft)
	}
	e.startTag = q.fair.startTag(e)
	e.sequence = q.fair.nextSequence()
	untilStart := q.estimateWait(now, q.ahead(e))
	untilFirstToken := untilStart + q.rate.duration(e.uncached)
	if reason, retryAfter := q.declineReason(a, e, untilStart, untilFirstToken); reason != "" {
		return []Action{Decline{ID: a.ID, Reason: reason, RetryAfter: retryAfter, Wait: untilFirstToken, CachedTokens: cached}}
	}
	q.fair.admit(e)
	q.requests[a.ID] = e
	q.waiting = append(q.waiting, e)
	return q.submitWaiting(now, []Action{Accept{ID: a.ID, Wait: untilFirstToken, CachedTokens: cached}})
}

// declineReason returns the reason to decline the request and the time after
// which it may be sent again. The reason is empty if the request is admitted.
// The arguments untilStart and untilFirstToken are the estimated times until
// the engine starts to compute the prompt and until the first token.
func (q *Queue) declineReason(a Arrive, e *entry, untilStart, untilFirstToken time.Duration) (amrreason.Code, time.Duration) {
	switch {
	case q.unavailable:
		return amrreason.EngineUnavailable, time.Second
	case q.requests[a.ID] != nil:
		return amrreason.Internal, 0
	case len(q.waiting) >= q.queueLimit:
		return amrreason.Overloaded, max(untilStart, minRetryAfter)
	case a.TimeLeft > 0 && q.rate.duration(e.uncached) > a.TimeLeft:
		return amrreason.DeadlineExceeded, 0
	case a.TimeLeft > 0 && untilFirstToken > a.TimeLeft:
		return amrreason.Overloaded, max(untilFirstToken-a.TimeLeft, minRetryAfter)
	case a.MaxWait > 0 && untilFirstToken > a.MaxWait && untilStart > 0:
		return amrreason.Overloaded, max(untilFirstToken-a.MaxWait, minRetryAfter)
	case a.CostLimit.exceeded(untilStart, q.rate.duration(e.uncached)):
		return amrreason.CostAboveBound, 0
	}
	return "", 0
}

// exceeded reports whether waiting and then computing for the given times costs
// more than the limit.
func (l CostLimit) exceeded(wait, compute time.Duration) bool {
	if l.Cost <= 0 {
		return false
	}
	cost := l.WaitWeight*float64(wait) + l.RecomputeWeight*float64(compute)
	return cost > float64(l.Cost)
}

// submitWaiting removes the expired requests from the queue and submits as many
// of the others to the engine as it may run. It appends the resulting actions.
func (q *Queue) submitWaiting(now time.Time, actions []Action) []Action {
	actions = q.removeExpired(now, actions)
	for !q.unavailable && len(q.waiting) > 0 {
		next := q.next()
		e := q.waiting[next]
		if !q.maySubmit(e) {
			break
		}
		q.waiting = append(q.waiting[:next], q.waiting[next+1:]...)
		q.submit(now, e)
		actions = append(actions, Run{ID: e.ID})
	}
	return actions
}

// submit records that the request is submitted to the engine.
func (q *Queue) submit(now time.Time, e *entry) {
	if len(q.prefills) == 0 {
		q.prefillStart = now
	}
	e.uncached = e.PromptTokens - q.leadingTokens(e.Request, q.index.ExpectedDepth(e.Keys))
	q.running++
	q.fair.submitted(e)
	if e.PromptTokens == 0 {
		e.state, e.computedAt = stateGenerating, now
		return
	}
	q.index.Expect(e.Keys)
	e.state = statePrefilling
	q.prefills = append(q.prefills, e)
}

// maySubmit reports whether the request may be submitted to the engine now.
func (q *Queue) maySubmit(e *entry) bool {
	if q.running == 0 {
		return true
	}
	if e.Isolated || q.isolated() {
		return false
	}
	return (e.PromptTokens == 0 || len(q.prefills) < q.maxPrefills) && q.running < q.batchLimit
}

// isolated reports whether the engine is running an isolated request.
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

// next returns the index in q.waiting of the request that runs next.
func (q *Queue) next() int {
	best := 0
	for i, e := range q.waiting {
		if e.before(q.waiting[best]) {
			best = i
		}
	}
	return best
}

// removeExpired removes the waiting requests whose deadline has passed, and
// appends an Expire action for each of them.
func (q *Queue) removeExpired(now time.Time, actions []Action) []Action {
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

// computed records that the prompt of a request has been computed.
func (q *Queue) computed(now time.Time, id string) []Action {
	e := q.requests[id]
	if e == nil || e.state != statePrefilling {
		return nil
	}
	q.removePrefill(now, e, true)
	q.index.MarkComputed(e.Keys)
	e.state = stateGenerating
	e.computedAt = now
	return q.submitWaiting(now, nil)
}

// removePrefill removes the request from the prefills. If its prompt has been
// computed and it was the first one, the time that this took updates the speed
// of the engine. The engine computes prompts in order, so that the time of the
// other ones includes waiting.
func (q *Queue) removePrefill(now time.Time, e *entry, computed bool) {
	for i, p := range q.prefills {
		if p != e {
			continue
		}
		q.prefills = append(q.prefills[:i], q.prefills[i+1:]...)
		if i > 0 {
			return
		}
		if computed {
			q.rate.observe(e.uncached, now.Sub(q.prefillStart))
		}
		q.prefillStart = now
		return
	}
}

// finished removes a request that the engine has ended.
func (q *Queue) finished(now time.Time, f Finished) []Action {
	e := q.requests[f.ID]
	if e == nil {
		return nil
	}
	q.remove(now, e)
	if f.CachedTokensKnown {
		q.index.Reconcile(e.Keys, f.CachedTokens/amrprompt.TokensPerBlock, e.state == stateGenerating)
	}
	if e.state == stateGenerating {
		q.generation.observe(now.Sub(e.computedAt))
	}
	return q.submitWaiting(now, nil)
}

// canceled removes a request that its caller has canceled.
func (q *Queue) canceled(now time.Time, id string) []Action {
	e := q.requests[id]
	if e == nil {
		return nil
	}
	q.remove(now, e)
	return q.submitWaiting(now, nil)
}

// remove removes a request in any state.
func (q *Queue) remove(now time.Time, e *entry) {
	delete(q.requests, e.ID)
	if e.state == stateWaiting {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *entry) bool { return w == e })
		return
	}
	if e.state == statePrefilling {
		q.index.CancelExpected(e.Keys)
	}
	q.removePrefill(now, e, false)
	q.running--
}

// engineState applies the state that the engine reports.
func (q *Queue) engineState(now time.Time, s EngineState) []Action {
	if s.BatchLimit > 0 {
		q.batchLimit = s.BatchLimit
	}
	if s.PrefillRate > 0 {
		q.rate.setNominal(s.PrefillRate)
	}
	q.unavailable = s.Unavailable
	if q.unavailable {
		return q.expireWaiting()
	}
	return q.submitWaiting(now, nil)
}

// expireWaiting removes all waiting requests, so that other backend servers can
// run them.
func (q *Queue) expireWaiting() []Action {
	actions := make([]Action, 0, len(q.waiting))
	for _, e := range q.waiting {
		delete(q.requests, e.ID)
		actions = append(actions, Expire{ID: e.ID, Reason: amrreason.EngineUnavailable})
	}
	clear(q.waiting)
	q.waiting = q.waiting[:0]
	return actions
}

// engineLost removes all requests, and treats the engine as unavailable until
// it reports its state. The waiting requests expire. The submitted ones cause
// no action, because they have failed with the engine.
func (q *Queue) engineLost() []Action {
	for id, e := range q.requests {
		if e.state == stateWaiting {
			continue
		}
		if e.state == statePrefilling {
			q.index.CancelExpected(e.Keys)
		}
		delete(q.requests, id)
	}
	q.prefills = q.prefills[:0]
	q.running = 0
	q.unavailable = true
	return q.expireWaiting()
}

// queuedDepth returns the largest number of leading blocks that the request
// shares with a waiting request of its team. That request is expected to run
// first, so that the blocks will be cached.
func (q *Queue) queuedDepth(r Request) int {
	depth := 0
	for _, w := range q.waiting {
		if w.Team == r.Team {
			depth = max(depth, sharedDepth(w.Keys, r.Keys))
		}
	}
	return depth
}

// sharedDepth returns the number of leading keys that a and b have in common.
func sharedDepth(a, b []amrprompt.Key) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// leadingTokens returns the number of tokens in the given number of leading
// blocks of the request.
func (q *Queue) leadingTokens(r Request, blocks int) int {
	return min(blocks*amrprompt.TokensPerBlock, r.PromptTokens)
}
