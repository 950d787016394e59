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

// admission accepts dispatches, estimates their wait and decides when they
// run. It is the shell of an amradmit.Queue.
type admission struct {
	clock clockwork.Clock

	mu          sync.Mutex
	queue       *amradmit.Queue
	index       *amrcache.Index
	journal     amrcache.Journal
	tickets     map[string]*ticket
	incarnation string
}

// ticket is a dispatch that was accepted or declined.
type ticket struct {
	id           string
	router       string
	keys         []amrprompt.Key
	wait         time.Duration
	retryAfter   time.Duration
	cachedTokens int
	depth        int           // Blocks cached when it was handed to the engine.
	decided      chan struct{} // Closed when it may run or was dismissed.
	dismissed    amrreason.Code
	computed     bool
}

func newAdmission(clock clockwork.Clock) *admission {
	index := amrcache.New()
	return &admission{
		clock:   clock,
		queue:   amradmit.New(index),
		index:   index,
		tickets: make(map[string]*ticket),
	}
}

func (a *admission) enter(request *amrgate.DispatchRequest) (*ticket, amrreason.Code) {
	t := &ticket{
		id:      fmt.Sprintf("%s/%d", request.GetRequestId(), request.GetAttempt()),
		router:  request.GetRouter(),
		keys:    amrprompt.DecodeKeys(request.GetBlockKeys()),
		decided: make(chan struct{}),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, action := range a.queue.Handle(a.clock.Now(), arrival(t, request)) {
		switch action := action.(type) {
		case amradmit.Accept:
			t.wait, t.cachedTokens = action.Wait, action.CachedTokens
			a.tickets[t.id] = t
		case amradmit.Decline:
			t.wait, t.cachedTokens, t.retryAfter = action.Wait, action.CachedTokens, action.RetryAfter
			return t, action.Reason
		default:
			a.carryOut(action)
		}
	}
	return t, ""
}

func arrival(t *ticket, request *amrgate.DispatchRequest) amradmit.Arrive {
	return amradmit.Arrive{
		Request: amradmit.Request{
			ID:           t.id,
			Team:         request.GetTeam(),
			TeamWeight:   int(request.GetTeamWeight()),
			Priority:     int(request.GetPriority()),
			Keys:         t.keys,
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

// wait blocks until the ticket may run.
func (a *admission) wait(ctx context.Context, t *ticket) error {
	select {
	case <-t.decided:
	case <-ctx.Done():
		return failure{reason: amrreason.DeadlineExceeded, ran: amrreason.NotRun}
	}
	if t.dismissed != "" {
		return failure{reason: t.dismissed, ran: amrreason.NotRun}
	}
	return nil
}

// progressed notes a piece of the answer: the prompt is computed.
func (a *admission) progressed(t *ticket) {
	if t.computed {
		return
	}
	t.computed = true
	a.mu.Lock()
	defer a.mu.Unlock()
	a.journal.Add(t.router, t.keys[t.depth:])
	a.handle(amradmit.Computed{ID: t.id})
}

func (a *admission) finished(t *ticket, r result) {
	a.progressed(t)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handle(amradmit.Finished{ID: t.id, CachedTokens: r.cachedTokens, CachedTokensKnown: r.promptTokens > 0})
	delete(a.tickets, t.id)
}

// leave ends a ticket that did not finish.
func (a *admission) leave(t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handle(amradmit.Canceled{ID: t.id})
	delete(a.tickets, t.id)
}

// observe takes the state of the backend server.
func (a *admission) observe(s backendState) {
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

// apply takes cache events and returns the number of the last one known.
func (a *admission) apply(incarnation string, events []amrcache.Event) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index.Apply(incarnation, events)
	return a.index.Seq()
}

func (a *admission) handle(event amradmit.Event) {
	for _, action := range a.queue.Handle(a.clock.Now(), event) {
		a.carryOut(action)
	}
}

func (a *admission) carryOut(action amradmit.Action) {
	switch action := action.(type) {
	case amradmit.Run:
		a.decide(action.ID, "")
	case amradmit.Expire:
		a.decide(action.ID, action.Reason)
	}
}

func (a *admission) decide(id string, dismissed amrreason.Code) {
	t := a.tickets[id]
	if t == nil {
		return
	}
	t.dismissed = dismissed
	t.depth = a.index.Depth(t.keys)
	close(t.decided)
}

// load returns the load as a router should hear it, with at most the given
// number of blocks that were stored for others.
func (a *admission) load(router string, stored int) *amrgate.Load {
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
	if stored > 0 {
		load.Stored = a.journal.Read(router, stored)
	}
	return load
}

// cost returns the wait of a request that arrives now and how many of its
// leading blocks will be cached by then.
func (a *admission) uncomputed() []amradmit.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Uncomputed()
}

func (a *admission) cost(keys []amrprompt.Key) (wait time.Duration, blocks int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.queue.Load(a.clock.Now())
	tokens := time.Duration(float64(l.WaitingTokens) / l.PrefillRate * float64(time.Second))
	return max(l.Wait, tokens), a.index.ExpectedDepth(keys)
}

// latest returns at most n blocks of the index, the one used last at the front.
func (a *admission) latest(n int) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index.Latest(n)
}
