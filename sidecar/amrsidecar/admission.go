package amrsidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amradmit"
	"amaranthreach.example/core/amrcache"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

// admission accepts or declines dispatches, estimates how long they wait, and
// decides when they run. It serializes access to an amradmit.Queue and executes
// the actions that the queue returns. It is safe for concurrent use.
type admission struct {
	clock clockwork.Clock

	mu          sync.Mutex
	queue       *amradmit.Queue
	index       *amrcache.Index
	journal     amrcache.Journal       // Newly cached blocks, which loads report to the routers.
	entries     map[string]*queueEntry // Accepted and unfinished dispatches by ID.
	incarnation string                 // Of the backend server; empty until it is known.
}

// queueEntry is a dispatch that was accepted or declined.
type queueEntry struct {
	id           string
	router       string
	keys         []amrprompt.Key
	wait         time.Duration  // Estimated time until the first token.
	retryAfter   time.Duration  // For a declined dispatch, the time after which to try again.
	cachedTokens int            // Estimated number of prompt tokens that will be cached.
	cachedBlocks int            // Blocks of the prompt that were cached when the dispatch left the queue.
	resolved     chan struct{}  // Closed when the dispatch leaves the queue.
	rejection    amrreason.Code // Why the dispatch was removed from the queue; empty if it may run.
	computed     bool           // Set once the prompt has been computed.
}

func newAdmission(clock clockwork.Clock) *admission {
	index := amrcache.New()
	return &admission{
		clock:   clock,
		queue:   amradmit.New(index),
		index:   index,
		entries: make(map[string]*queueEntry),
	}
}

// submit passes the request to the queue. It returns the entry and, if the request
// was declined, the reason.
func (a *admission) submit(request *amrgate.DispatchRequest) (*queueEntry, amrreason.Code) {
	e := &queueEntry{
		id:       fmt.Sprintf("%s/%d", request.GetRequestId(), request.GetAttempt()),
		router:   request.GetRouter(),
		keys:     amrprompt.DecodeKeys(request.GetBlockKeys()),
		resolved: make(chan struct{}),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, action := range a.queue.Handle(a.clock.Now(), arrivalOf(e, request)) {
		switch action := action.(type) {
		case amradmit.Accept:
			e.wait, e.cachedTokens = action.Wait, action.CachedTokens
			a.entries[e.id] = e
		case amradmit.Decline:
			e.wait, e.cachedTokens, e.retryAfter = action.Wait, action.CachedTokens, action.RetryAfter
			return e, action.Reason
		default:
			a.execute(action)
		}
	}
	return e, ""
}

// arrivalOf returns the queue's event for the request.
func arrivalOf(e *queueEntry, request *amrgate.DispatchRequest) amradmit.Arrive {
	return amradmit.Arrive{
		Request: amradmit.Request{
			ID:           e.id,
			Team:         request.GetTeam(),
			TeamWeight:   int(request.GetTeamWeight()),
			Priority:     int(request.GetPriority()),
			Keys:         e.keys,
			PromptTokens: int(request.GetPromptTokens() + request.GetResumeTokens()),
			Isolated:     request.GetIsolated(),
		},
		TimeLeft: time.Duration(request.GetDeadlineMs()) * time.Millisecond,
		MaxWait:  time.Duration(request.GetMaxWaitMs()) * time.Millisecond,
		CostLimit: amradmit.CostLimit{
			Cost:            time.Duration(request.GetMaxCostMs()) * time.Millisecond,
			WaitWeight:      request.GetWaitWeight(),
			RecomputeWeight: request.GetRecomputeWeight(),
		},
	}
}

// wait blocks until the dispatch may run. It returns an attemptError if the
// dispatch was removed from the queue or ctx is done first.
func (a *admission) wait(ctx context.Context, e *queueEntry) error {
	select {
	case <-e.resolved:
	case <-ctx.Done():
		return attemptError{reason: amrreason.DeadlineExceeded, ran: amrreason.NotRun}
	}
	if e.rejection != "" {
		return attemptError{reason: e.rejection, ran: amrreason.NotRun}
	}
	return nil
}

// markComputed records that the prompt of the dispatch has been computed, which is
// so when the first chunk of the answer arrives. Its blocks are in the engine's
// cache from then on, and the other routers are told of those that were not cached
// before.
func (a *admission) markComputed(e *queueEntry) {
	if e.computed {
		return
	}
	e.computed = true
	a.mu.Lock()
	defer a.mu.Unlock()
	a.journal.Add(e.router, e.keys[e.cachedBlocks:])
	a.handle(amradmit.Computed{ID: e.id})
}

// finish removes a dispatch that the backend server has finished.
func (a *admission) finish(e *queueEntry, r attemptResult) {
	a.markComputed(e)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handle(amradmit.Finished{ID: e.id, CachedTokens: r.cachedTokens, CachedTokensKnown: r.promptTokens > 0})
	delete(a.entries, e.id)
}

// cancel removes a dispatch that did not finish. It does nothing if the dispatch
// has been removed already.
func (a *admission) cancel(e *queueEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handle(amradmit.Canceled{ID: e.id})
	delete(a.entries, e.id)
}

// observeState passes the state of the backend server to the queue and the index
// of its cache. Both treat a new incarnation as a restart of the backend server.
func (a *admission) observeState(s backendState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.incarnation != "" && s.incarnation != a.incarnation {
		if a.incarnation != "" {
			a.handle(amradmit.EngineLost{})
		}
		a.incarnation = s.incarnation
		a.index.SetIncarnation(s.incarnation)
	}
	a.index.SetCapacity(s.cacheBlocks)
	a.handle(amradmit.EngineState{BatchLimit: s.batchLimit, PrefillRate: float64(s.prefillRate), Unavailable: !s.ready})
}

// applyEvents applies the cache events of the incarnation to the index, and
// returns the sequence number of the last event that has been applied.
func (a *admission) applyEvents(incarnation string, events []amrcache.Event) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index.Apply(incarnation, events)
	return a.index.Seq()
}

// handle passes the event to the queue and executes the actions that it returns.
// The caller holds a.mu.
func (a *admission) handle(event amradmit.Event) {
	for _, action := range a.queue.Handle(a.clock.Now(), event) {
		a.execute(action)
	}
}

// execute executes an action of the queue. The caller holds a.mu.
func (a *admission) execute(action amradmit.Action) {
	switch action := action.(type) {
	case amradmit.Run:
		a.resolve(action.ID, "")
	case amradmit.Expire:
		a.resolve(action.ID, action.Reason)
	}
}

// resolve records that the dispatch has left the queue, and ends the call of wait for
// it: the dispatch may run if the rejection is empty, and otherwise fails with the
// rejection as the reason. The caller holds a.mu.
func (a *admission) resolve(id string, rejection amrreason.Code) {
	e := a.entries[id]
	if e == nil {
		return
	}
	e.rejection = rejection
	e.cachedBlocks = a.index.Depth(e.keys)
	close(e.resolved)
}

// load returns the load of the queue. If maxStored is above zero, the load lists at
// most maxStored blocks that dispatches of other routers added to the cache and that
// the router has not been told of yet.
func (a *admission) load(router string, maxStored int) *amrgate.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.queue.Load(a.clock.Now())
	load := &amrgate.Load{
		Running:                uint32(l.Running),
		Queued:                 uint32(l.Queued),
		WaitingTokens:          uint64(l.WaitingTokens),
		WaitMs:                 l.Wait.Milliseconds(),
		BatchLimit:             uint32(l.BatchLimit),
		PrefillTokensPerSecond: uint32(l.PrefillRate),
	}
	if maxStored > 0 {
		load.Stored = a.journal.Read(router, maxStored)
	}
	return load
}

// pendingPrefills returns the requests whose prompts have not been computed yet.
func (a *admission) pendingPrefills() []amradmit.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.PendingPrefills()
}

// estimate returns how long a request that arrives now would wait, and how many of
// its leading blocks will be cached by then.
func (a *admission) estimate(keys []amrprompt.Key) (wait time.Duration, blocks int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.queue.Load(a.clock.Now())
	prefillTime := time.Duration(float64(l.WaitingTokens) / l.PrefillRate * float64(time.Second))
	return max(l.Wait, prefillTime), a.index.ExpectedDepth(keys)
}

// recentBlocks returns at most n blocks of the index, the most recently used one
// first.
func (a *admission) recentBlocks(n int) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index.Latest(n)
}
