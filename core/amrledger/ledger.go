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

// Ledger executes non-idempotent requests at most once. It is safe for
// concurrent use.
type Ledger struct {
	table   amrplatform.Table
	objects amrplatform.ObjectStore
	clock   clockwork.Clock
	batcher *batcher

	mu      sync.Mutex
	rand    *rand.Rand
	epoch   epoch
	cursor  string // Key after which the next page of the sweep begins.
	backlog []unrecordedAnswer
	dropped int // Answers dropped because the backlog was full.
}

// New returns a Ledger that stores claims in the table and large answers in the
// object store. Its sweep begins at a random key.
func New(table amrplatform.Table, objects amrplatform.ObjectStore, opts ...Option) *Ledger {
	l := &Ledger{
		table:   table,
		objects: objects,
		clock:   clockwork.NewRealClock(),
		batcher: newBatcher(table),
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

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(l *Ledger) { l.clock = clock }
}

// WithRand sets the random source of the claim tokens and of the key at which
// the sweep begins.
func WithRand(r *rand.Rand) Option {
	return func(l *Ledger) { l.rand = r }
}

// Call is a non-idempotent request as received from a caller.
type Call struct {
	Team      string
	Key       string // Idempotency key.
	RequestID string
	Digest    string // Of the content, as returned by Digest.
	Deadline  time.Time
}

// Backend selects backend servers and runs claims on them.
type Backend interface {
	// Place selects a backend server that can take the request. It returns
	// Placed or NotPlaced.
	Place(ctx context.Context) Event

	// Dispatch sends the claim to its sidecar once and waits for the result. It
	// returns Completed, NotRun, Interrupted or ConnectionLost.
	Dispatch(ctx context.Context, claim Row) Event

	// Seal asks the sidecar that the claim names to seal it. It returns
	// SealAnswered or SealUnanswered.
	Seal(ctx context.Context, claim Row) Event
}

// Run executes the call and returns Answered or Refused. It ignores the
// cancellation of ctx, so that the answer of a dispatched claim is recorded for
// later requests with the same key even if the caller has gone away.
func (l *Ledger) Run(ctx context.Context, call Call, backend Backend) Action {
	ctx = context.WithoutCancel(ctx)
	request := Request{
		RowKey:    RowKey(call.Team, call.Key),
		RequestID: call.RequestID,
		Digest:    call.Digest,
		Token:     l.newToken(),
		Epoch:     l.currentEpoch(ctx),
		Deadline:  call.Deadline,
	}
	execution, action := NewExecution(request).Step(l.clock.Now(), Begun{})
	for {
		switch end := action.(type) {
		case Answered:
			if !end.Recorded {
				l.addToBacklog(execution)
			}
			return end
		case Refused:
			return end
		}
		event := l.perform(ctx, request, action, backend)
		execution, action = execution.Step(l.clock.Now(), event)
	}
}

// perform carries out an action and returns the event with its result.
func (l *Ledger) perform(ctx context.Context, request Request, action Action, backend Backend) Event {
	switch a := action.(type) {
	case ReadRow:
		return l.read(ctx, request.RowKey)
	case WriteRow:
		return l.write(ctx, request.RowKey, a)
	case ChoosePlacement:
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

// read reads the row. A row that cannot be decoded counts as a failed read.
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
	return l.batcher.write(ctx, amrplatform.Put{Key: key, Value: data}, a.Version)
}

func (l *Ledger) storeAnswer(ctx context.Context, a StoreAnswer) Event {
	data, err := encodeAnswer(a.Answer)
	if err != nil {
		return ObjectStoreFailed{}
	}
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	if err := l.objects.PutObject(ctx, a.Object, data); err != nil {
		return ObjectStoreFailed{}
	}
	return AnswerStored{}
}

func (l *Ledger) fetchAnswer(ctx context.Context, a FetchAnswer) Event {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	data, err := l.objects.GetObject(ctx, a.Object)
	if err != nil {
		return ObjectStoreFailed{}
	}
	answer, err := decodeAnswer(data)
	if err != nil {
		return ObjectStoreFailed{}
	}
	return AnswerFetched{Answer: answer}
}

// newToken returns a random prefix for the tokens of a request's claims.
func (l *Ledger) newToken() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strconv.FormatUint(l.rand.Uint64(), 36) + strconv.FormatUint(l.rand.Uint64(), 36)
}
