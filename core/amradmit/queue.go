// Package amradmit implements the admission queue of a sidecar. It decides
// which requests the engine runs and in which order, and estimates how long
// each of them waits.
//
// Requests wait in the sidecar, and only a few are submitted to the engine at a
// time, so that the order depends on the shares and priorities of the teams and
// not on the engine's own queue. The package performs no I/O: Queue.Handle
// takes an event and returns the resulting actions.
package amradmit

import (
	"time"

	"amaranthreach.example/core/amrprompt"
)

const (
	// DefaultMaxPrefills is the largest number of prompts that are submitted to
	// the engine and not yet computed.
	DefaultMaxPrefills = 2

	// DefaultQueueLimit is the largest number of waiting requests.
	DefaultQueueLimit = 1024

	// DefaultBatchLimit is the number of requests that the engine runs at the
	// same time. It applies until the engine reports its own limit.
	DefaultBatchLimit = 32

	// DefaultPrefillRate is the speed at which the engine computes prompts, in
	// tokens per second. It applies until the engine reports its own speed.
	// Measurements adjust it.
	DefaultPrefillRate = 20_000
)

// Index tracks the prompt blocks that the engine has cached. The keys are those
// of the blocks of one prompt, in order.
type Index interface {
	// ExpectedDepth returns the number of leading blocks that are cached, or
	// that will be once the engine has computed the submitted prompts.
	ExpectedDepth(keys []amrprompt.Key) int

	// Expect records that a prompt was submitted to the engine.
	Expect(keys []amrprompt.Key)

	// CancelExpected records that a submitted prompt will not be computed.
	CancelExpected(keys []amrprompt.Key)

	// MarkComputed records that a submitted prompt has been computed.
	MarkComputed(keys []amrprompt.Key)

	// Reconcile records the number of leading blocks that the engine found
	// cached for a prompt, and whether it computed the prompt.
	Reconcile(keys []amrprompt.Key, cached int, computed bool)
}

// Queue is the admission queue of one engine. It is not safe for concurrent
// use.
type Queue struct {
	index       Index
	maxPrefills int
	queueLimit  int
	batchLimit  int
	rate        rate
	generation  average // Time from the first token of a request to its end.

	requests     map[string]*entry // Admitted requests that have not ended, by ID.
	waiting      []*entry          // Requests not submitted to the engine, in the order of arrival.
	prefills     []*entry          // Requests submitted to the engine whose prompts are not computed, in order.
	prefillStart time.Time         // Estimated time at which the engine started to compute the first of prefills.
	running      int               // Number of requests submitted to the engine that have not ended.
	fair         fairness
	unavailable  bool // The engine accepts no requests.
}

// Option configures a Queue.
type Option func(*Queue)

// WithMaxPrefills replaces DefaultMaxPrefills. Values below 1 count as 1.
func WithMaxPrefills(n int) Option {
	return func(q *Queue) { q.maxPrefills = max(n, 1) }
}

// WithQueueLimit replaces DefaultQueueLimit.
func WithQueueLimit(n int) Option {
	return func(q *Queue) { q.queueLimit = n }
}

// New returns an empty queue for the engine whose cached blocks the index
// tracks.
func New(index Index, opts ...Option) *Queue {
	q := &Queue{
		index:       index,
		maxPrefills: DefaultMaxPrefills,
		queueLimit:  DefaultQueueLimit,
		batchLimit:  DefaultBatchLimit,
		rate:        newRate(DefaultPrefillRate),
		requests:    make(map[string]*entry),
		fair:        newFairness(),
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Handle updates the queue with an event and returns the actions to carry out,
// in order.
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
		return q.submitWaiting(now, nil)
	}
	return nil
}

// Load describes the load of the queue and of its engine.
type Load struct {
	Running       int           // Number of requests submitted to the engine that have not ended.
	Queued        int           // Number of waiting requests.
	WaitingTokens int           // Number of prompt tokens of admitted requests that are neither cached nor computed.
	Wait          time.Duration // Estimated time until the prompt of a request that arrives now is started.
	BatchLimit    int           // Number of requests that the engine runs at the same time.
	PrefillRate   float64       // Speed at which the engine computes prompts, in tokens per second.
}

// Load returns the load. Its Wait applies to a request with priority 0 of a
// team that has no other requests.
func (q *Queue) Load(now time.Time) Load {
	tokens := 0
	for _, e := range q.waiting {
		tokens += e.uncached
	}
	for _, e := range q.prefills {
		tokens += e.uncached
	}
	tokens -= int(q.progress(now).Seconds() * q.rate.value)
	return Load{
		Running:       q.running,
		Queued:        len(q.waiting),
		WaitingTokens: max(tokens, 0),
		Wait:          q.estimateWait(now, q.ahead(&entry{startTag: q.fair.virtualTime, sequence: q.fair.lastSequence + 1})),
		BatchLimit:    q.batchLimit,
		PrefillRate:   q.rate.value,
	}
}

// Len returns the number of admitted requests that have not ended.
func (q *Queue) Len() int {
	return len(q.requests)
}

// Deadline returns the earliest time at which a waiting request expires. It
// returns false if no waiting request has a deadline.
func (q *Queue) Deadline() (time.Time, bool) {
	var earliest time.Time
	for _, e := range q.waiting {
		if !e.deadline.IsZero() && (earliest.IsZero() || e.deadline.Before(earliest)) {
			earliest = e.deadline
		}
	}
	return earliest, !earliest.IsZero()
}

// entry is an admitted request that has not ended.
type entry struct {
	Request
	deadline   time.Time // Zero if there is none.
	uncached   int       // Number of prompt tokens that the engine has to compute.
	startTag   float64   // Start tag of the fair queueing.
	sequence   uint64    // Orders requests with equal start tags by arrival.
	state      state
	computedAt time.Time // Time at which the prompt was computed, or at which a request without one was submitted.
}

// state is the progress of a request.
type state int

const (
	stateWaiting    state = iota // The request is not submitted to the engine.
	statePrefilling              // The engine has not yet computed the prompt.
	stateGenerating              // The prompt is computed, or the request has none.
)

// before reports whether a runs before b: by priority, then by start tag, and
// then by arrival.
func (a *entry) before(b *entry) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.startTag != b.startTag:
		return a.startTag < b.startTag
	}
	return a.sequence < b.sequence
}
