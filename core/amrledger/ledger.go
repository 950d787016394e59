package amrledger

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrplatform"
)

// Ledger runs non-idempotent requests at most once. It is safe for concurrent
// use.
type Ledger struct {
	table   amrplatform.Table
	objects amrplatform.Objects
	clock   clockwork.Clock
	group   *group

	mu      sync.Mutex
	rand    *rand.Rand
	epochs  epochs
	cursor  string // Where the sweep goes on.
	backlog []unrecorded
	dropped int
}

// New returns a ledger over the platform's services.
func New(table amrplatform.Table, objects amrplatform.Objects, opts ...Option) *Ledger {
	l := &Ledger{
		table:   table,
		objects: objects,
		clock:   clockwork.NewRealClock(),
		group:   newGroup(table),
		rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.cursor = rowPrefix + strconv.FormatUint(l.rand.Uint64()|1<<63, 16)
	return l
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(l *Ledger) { l.clock = clock }
}

// WithRand sets the source of claim tokens.
func WithRand(r *rand.Rand) Option {
	return func(l *Ledger) { l.rand = r }
}

// Call is a non-idempotent request of a caller.
type Call struct {
	Team      string
	Key       string // Idempotency key.
	RequestID string
	Digest    string // See Digest.
	Deadline  time.Time
}

// Backend runs claims on backend servers.
type Backend interface {
	// Place returns Placed with a backend server that can take the request, or
	// NotPlaced.
	Place(ctx context.Context) Event

	// Dispatch runs the claim, once, and returns Ended, NotRun, Broken or
	// ConnectionLost.
	Dispatch(ctx context.Context, claim Row) Event

	// Seal seals the claim at the sidecar that it names and returns
	// SealAnswered or SealUnanswered.
	Seal(ctx context.Context, claim Row) Event
}

// Run takes the call through the ledger and returns Answered or Refused. Once
// a claim is dispatched it goes on when ctx ends, so that a later request with
// the key finds the answer.
func (l *Ledger) Run(ctx context.Context, call Call, backend Backend) Action {
	ctx = context.WithoutCancel(ctx)
	request := Request{
		RowKey:    RowKey(call.Team, call.Key),
		RequestID: call.RequestID,
		Digest:    call.Digest,
		Token:     l.token(),
		Epoch:     l.epoch(ctx),
		Deadline:  call.Deadline,
	}
	execution, action := NewExecution(request).Step(l.clock.Now(), Begun{})
	for {
		switch end := action.(type) {
		case Answered:
			if !end.Recorded {
				l.remember(execution)
			}
			return end
		case Refused:
			return end
		}
		event := l.do(ctx, request, action, backend)
		execution, action = execution.Step(l.clock.Now(), event)
	}
}

// do carries out an action and returns the event that answers it.
func (l *Ledger) do(ctx context.Context, request Request, action Action, backend Backend) Event {
	switch a := action.(type) {
	case ReadRow:
		return l.read(ctx, request.RowKey)
	case WriteRow:
		return l.write(ctx, request.RowKey, a)
	case ChoosePlace:
		return backend.Place(ctx)
	case Dispatch:
		return backend.Dispatch(ctx, a.Claim)
	case SealClaim:
		return backend.Seal(ctx, a.Claim)
	case Wait:
		l.clock.Sleep(a.For)
		return Waited{}
	case StoreAnswer:
		return l.storeAnswer(ctx, a)
	case FetchAnswer:
		return l.fetchAnswer(ctx, a)
	}
	return nil
}

func (l *Ledger) read(ctx context.Context, key string) Event {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	item, err := l.table.Get(ctx, key)
	if errorx.IsOfType(err, amrplatform.NotFound) {
		return RowRead{}
	}
	if err != nil {
		return ReadFailed{}
	}
	row, err := decodeRow(item.Value)
	if err != nil {
		return ReadFailed{}
	}
	return RowRead{Row: row, Version: item.Version}
}

func (l *Ledger) write(ctx context.Context, key string, a WriteRow) Event {
	data, err := a.Row.encode()
	if err != nil {
		return WriteFailed{Failure: WriteRefused}
	}
	return l.group.write(ctx, amrplatform.Put{Key: key, Value: data}, a.Version)
}

func (l *Ledger) storeAnswer(ctx context.Context, a StoreAnswer) Event {
	data, err := encodeAnswer(a.Answer)
	if err != nil {
		return ObjectFailed{}
	}
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	if err := l.objects.PutObject(ctx, a.Object, data); err != nil {
		return ObjectFailed{}
	}
	return AnswerStored{}
}

func (l *Ledger) fetchAnswer(ctx context.Context, a FetchAnswer) Event {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	data, err := l.objects.GetObject(ctx, a.Object)
	if err != nil {
		return ObjectFailed{}
	}
	answer, err := decodeAnswer(data)
	if err != nil {
		return ObjectFailed{}
	}
	return AnswerFetched{Answer: answer}
}

// token returns the random start of a request's claim tokens.
func (l *Ledger) token() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strconv.FormatUint(l.rand.Uint64(), 36) + strconv.FormatUint(l.rand.Uint64(), 36)
}
