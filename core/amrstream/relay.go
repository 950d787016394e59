package amrstream

import (
	"slices"
	"strings"

	"amaranthreach.example/core/amrreason"
)

// DefaultMaxText bounds the text that is kept to resume an answer.
const DefaultMaxText = 1 << 20

// Relay merges the attempts of one request into one ordered answer. It is not
// safe for concurrent use.
type Relay struct {
	resumable bool
	maxText   int

	attempts map[uint32]*attempt // Those that were ever started.
	current  uint32              // The attempt whose chunks are relayed; 0 until the first one.
	text     strings.Builder     // Relayed so far, while it can be resumed.
	tokens   int
	total    counter
	done     bool
	mayRun   bool // An attempt that failed may have run.
	dropped  Dropped
}

// attempt is one try to get the answer, or the rest of it.
type attempt struct {
	count counter
	live  bool
}

// Dropped counts chunks and ends that were not relayed.
type Dropped struct {
	Late      int // Of an attempt that was over.
	Crossed   int // Of an attempt that this request never made.
	Duplicate int // Of a chunk that had come before.
	Gap       int // Of a chunk that came before an earlier one.
}

// NewRelay returns a relay for a request whose answer may be resumed by
// another attempt.
func NewRelay(opts ...RelayOption) *Relay {
	r := &Relay{
		resumable: true,
		maxText:   DefaultMaxText,
		attempts:  make(map[uint32]*attempt),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// RelayOption configures a Relay.
type RelayOption func(*Relay)

// WithoutResume makes a relay for a request that runs at most once, or whose
// answer cannot be continued.
func WithoutResume() RelayOption {
	return func(r *Relay) { r.resumable = false }
}

// WithMaxText sets the bound on the text kept to resume an answer.
func WithMaxText(bytes int) RelayOption {
	return func(r *Relay) { r.maxText = bytes }
}

// Dropped returns the counts of what was not relayed.
func (r *Relay) Dropped() Dropped {
	return r.dropped
}

// Relayed returns the number of chunks passed on to the caller.
func (r *Relay) Relayed() uint64 {
	return r.total.chunks
}

// Step takes an event and returns what is to be done, in order.
func (r *Relay) Step(event Event) []Action {
	switch ev := event.(type) {
	case Started:
		r.attempts[ev.Attempt] = &attempt{live: !r.done}
		if r.done {
			return []Action{Cancel(ev)}
		}
	case Arrived:
		return r.arrived(ev.Chunk)
	case Finished:
		return r.finished(ev.End)
	case Failed:
		if a := r.attempts[ev.Attempt]; a != nil && a.live {
			return r.lost(ev.Attempt, ev.Reason, ev.Ran)
		}
	case NotResumed:
		if !r.done {
			return r.abort(ev.Reason, ev.Ran)
		}
	case CallerGone:
		if !r.done {
			r.done = true
			return r.cancelAll()
		}
	}
	return nil
}

// arrived relays a chunk that is the next one of its attempt.
func (r *Relay) arrived(c Chunk) []Action {
	a := r.lookUp(c.Attempt)
	if a == nil {
		return nil
	}
	switch {
	case c.Seq <= a.count.chunks:
		r.dropped.Duplicate++
		return nil
	case c.Seq > a.count.chunks+1:
		r.dropped.Gap++
		return append([]Action{Cancel{Attempt: c.Attempt}}, r.lost(c.Attempt, amrreason.Internal, amrreason.Unknown)...)
	}
	a.count.add(c)
	actions := r.choose(c.Attempt)
	r.keep(c)
	r.total.add(c)
	c.Seq = r.total.chunks
	return append(actions, Emit{Chunk: c})
}

// finished completes the answer when the attempt's chunks were all relayed.
func (r *Relay) finished(end End) []Action {
	a := r.lookUp(end.Attempt)
	if a == nil {
		return nil
	}
	if end.Chunks != a.count.chunks {
		r.dropped.Gap++
		return r.lost(end.Attempt, amrreason.Internal, amrreason.Unknown)
	}
	if end.Digest != a.count.digest() {
		return r.abort(amrreason.Internal, amrreason.DidRun)
	}
	actions := r.choose(end.Attempt)
	r.done = true
	r.attempts[end.Attempt].live = false
	return append(actions, Complete{End: r.wholeEnd(end.Usage)})
}

// wholeEnd returns the end of the whole answer. An engine that resumed an
// answer may count only its own tokens.
func (r *Relay) wholeEnd(usage Usage) End {
	usage.CompletionTokens = max(usage.CompletionTokens, r.tokens)
	return End{Chunks: r.total.chunks, Digest: r.total.digest(), Usage: usage}
}

// lookUp returns the live attempt, or nil after counting what is dropped.
func (r *Relay) lookUp(number uint32) *attempt {
	a := r.attempts[number]
	switch {
	case a == nil:
		r.dropped.Crossed++
	case !a.live:
		r.dropped.Late++
	default:
		return a
	}
	return nil
}

// choose makes the attempt the one that is relayed and cancels those it raced.
func (r *Relay) choose(number uint32) []Action {
	if r.current == number {
		return nil
	}
	r.current = number
	var actions []Action
	for _, other := range r.live() {
		if other != number {
			r.attempts[other].live = false
			actions = append(actions, Cancel{Attempt: other})
		}
	}
	return actions
}

// keep notes a chunk for an attempt that may have to go on behind it.
func (r *Relay) keep(c Chunk) {
	r.tokens += c.Tokens
	if !r.resumable {
		return
	}
	if len(c.Body) > 0 || r.text.Len()+len(c.Text) > r.maxText {
		r.resumable = false
		r.text.Reset()
		return
	}
	_, _ = r.text.WriteString(c.Text)
}

// lost ends an attempt and asks for another one unless one is still running.
func (r *Relay) lost(number uint32, reason amrreason.Code, ran amrreason.Ran) []Action {
	r.attempts[number].live = false
	r.mayRun = r.mayRun || ran != amrreason.NotRun
	if len(r.live()) > 0 {
		return nil
	}
	if !r.resumable {
		return r.abort(reason, ran)
	}
	return []Action{Resume{Text: r.text.String(), Tokens: r.tokens, Reason: reason, Ran: ran}}
}

// abort ends the answer with an error. An answer that was relayed in part ran,
// and after an attempt that may have run none is told not to have.
func (r *Relay) abort(reason amrreason.Code, ran amrreason.Ran) []Action {
	r.done = true
	switch {
	case r.total.chunks > 0:
		ran = amrreason.DidRun
	case r.mayRun && ran == amrreason.NotRun:
		ran = amrreason.Unknown
	}
	return append(r.cancelAll(), Abort{Reason: reason, Ran: ran})
}

func (r *Relay) cancelAll() []Action {
	var actions []Action
	for _, number := range r.live() {
		r.attempts[number].live = false
		actions = append(actions, Cancel{Attempt: number})
	}
	return actions
}

// live returns the numbers of the attempts that are running, in order.
func (r *Relay) live() []uint32 {
	var numbers []uint32
	for number, a := range r.attempts {
		if a.live {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
