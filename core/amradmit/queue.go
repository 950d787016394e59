// Package amradmit decides in the sidecar which requests its engine takes, in
// which order, and how long each will wait.
//
// The queue lives in the sidecar: only a little work is handed to the engine
// at once, so that shares of teams and priorities decide the order and not
// the engine's own queue. The package does no input or output: Handle takes
// an event and returns the actions that follow from it.
package amradmit

import (
	"time"

	"amaranthreach.example/core/amrprompt"
)

const (
	// DefaultHandedPrompts is how many prompts the engine may hold that it
	// has not yet computed.
	DefaultHandedPrompts = 2

	// DefaultQueueLimit is how many requests may wait.
	DefaultQueueLimit = 1024

	// DefaultBatchLimit is how many requests the engine runs at once, until
	// it tells its own limit.
	DefaultBatchLimit = 32

	// DefaultPrefillRate is the engine's speed in tokens a second until it
	// tells or shows its own.
	DefaultPrefillRate = 20_000
)

// Index tells how much of a prompt the engine has cached.
type Index interface {
	ExpectedDepth(keys []amrprompt.Key) int
	Expect(keys []amrprompt.Key)
	Abandoned(keys []amrprompt.Key)
	Computed(keys []amrprompt.Key)
	Observed(keys []amrprompt.Key, cached int, computed bool)
}

// Queue admits requests and orders them. It is not safe for concurrent use.
type Queue struct {
	index         Index
	handedPrompts int
	queueLimit    int
	batchLimit    int
	rate          rate
	service       average // Time a request runs at the engine after its prompt.

	requests map[string]*entry
	waiting  []*entry
	handed   []*entry // Handed to the engine and not yet computed, in order.
	since    time.Time
	running  int // Handed and not finished.
	fair     fairness
	stopped  bool // The engine is away.
}

// Option configures a Queue.
type Option func(*Queue)

// WithHandedPrompts sets how many prompts the engine may hold that it has not
// yet computed.
func WithHandedPrompts(n int) Option {
	return func(q *Queue) { q.handedPrompts = max(n, 1) }
}

// WithQueueLimit sets how many requests may wait.
func WithQueueLimit(n int) Option {
	return func(q *Queue) { q.queueLimit = n }
}

// New returns an empty queue before the engine whose cached blocks the index
// gives.
func New(index Index, opts ...Option) *Queue {
	q := &Queue{
		index:         index,
		handedPrompts: DefaultHandedPrompts,
		queueLimit:    DefaultQueueLimit,
		batchLimit:    DefaultBatchLimit,
		rate:          newRate(DefaultPrefillRate),
		requests:      make(map[string]*entry),
		fair:          newFairness(),
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Handle takes an event and returns the actions that follow, in order.
func (q *Queue) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Arrive:
		return q.arrive(now, e)
	case Computed:
		return q.computed(now, e.ID)
	case Finished:
		return q.finished(now, e)
	case Canceled:
		return q.canceled(now, e.ID)
	case EngineState:
		return q.engineState(now, e)
	case EngineLost:
		return q.engineLost()
	case Tick:
		return q.hand(now, nil)
	}
	return nil
}

// Load is the state of the queue.
type Load struct {
	Running       int
	Queued        int
	WaitingTokens int           // Prompt tokens accepted and not yet computed.
	Wait          time.Duration // Until the prompt of a request arriving now is begun.
	BatchLimit    int
	PrefillRate   float64 // Tokens a second.
}

// Load returns the state of the queue as a team without a backlog meets it.
func (q *Queue) Load(now time.Time) Load {
	tokens := 0
	for _, e := range q.waiting {
		tokens += e.uncached
	}
	for _, e := range q.handed {
		tokens += e.uncached
	}
	tokens -= int(q.progress(now).Seconds() * q.rate.value)
	return Load{
		Running:       q.running,
		Queued:        len(q.waiting),
		WaitingTokens: max(tokens, 0),
		Wait:          q.waitBehind(now, q.ahead(&entry{start: q.fair.virtual, order: q.fair.count})),
		BatchLimit:    q.batchLimit,
		PrefillRate:   q.rate.value,
	}
}

// Len returns the number of requests that wait or run.
func (q *Queue) Len() int {
	return len(q.requests)
}

// Deadline returns the earliest time at which a waiting request expires, and
// false when none does.
func (q *Queue) Deadline() (time.Time, bool) {
	var first time.Time
	for _, e := range q.waiting {
		if !e.deadline.IsZero() && (first.IsZero() || e.deadline.Before(first)) {
			first = e.deadline
		}
	}
	return first, !first.IsZero()
}

// entry is a request that was accepted and has not finished.
type entry struct {
	Request
	deadline time.Time
	uncached int // Tokens that the engine must compute.
	start    float64
	order    uint64
	state    state
	ran      time.Time // When the prompt had been computed.
}

type state int

const (
	stateWaiting state = iota
	stateHanded
	stateRunning
)

// before reports whether a runs before b.
func (a *entry) before(b *entry) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.start != b.start:
		return a.start < b.start
	}
	return a.order < b.order
}
