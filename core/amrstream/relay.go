package amrstream

import (
	"slices"
	"strings"

	"amaranthreach.example/core/amrreason"
)

// DefaultMaxText is the largest number of bytes of text that a Relay stores to
// be able to resume an answer.
const DefaultMaxText = 1 << 20

// Relay merges the attempts of one request into one ordered answer. If attempts
// run concurrently, it relays the one that delivers a chunk first and cancels
// the others. If an attempt fails, it requests another one that continues the
// answer. It is not safe for concurrent use.
type Relay struct {
	resumable bool
	maxText   int

	attempts   map[uint32]*attempt // All attempts that were started.
	current    uint32              // Attempt whose chunks are relayed; 0 before the first chunk.
	text       strings.Builder     // Text relayed so far; empty if the answer cannot be resumed.
	tokens     int                 // Number of tokens relayed so far.
	total      counter             // Counts the chunks of the whole answer.
	done       bool                // The answer has ended.
	mayHaveRun bool                // An attempt that failed may have run.
	dropped    Dropped
}

// attempt is an attempt to obtain the answer, or the part of it that is
// missing.
type attempt struct {
	count  counter
	active bool // The attempt has neither ended nor been canceled.
}

// Dropped counts the chunks and ends that were not relayed.
type Dropped struct {
	Late           int // Those of attempts that had ended or were canceled.
	UnknownAttempt int // Those of attempts that the request did not start.
	Duplicate      int // Chunks that had arrived before.
	Gap            int // Chunks and ends that arrived although an earlier chunk was missing.
}

// NewRelay returns a Relay for a request whose answer another attempt can
// continue.
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

// WithoutResume disables Resume. It is for requests that run at most once, and
// for those whose answer cannot be continued.
func WithoutResume() RelayOption {
	return func(r *Relay) { r.resumable = false }
}

// WithMaxText replaces DefaultMaxText.
func WithMaxText(bytes int) RelayOption {
	return func(r *Relay) { r.maxText = bytes }
}

// Dropped returns the numbers of chunks and ends that were not relayed.
func (r *Relay) Dropped() Dropped {
	return r.dropped
}

// Relayed returns the number of chunks sent to the caller.
func (r *Relay) Relayed() uint64 {
	return r.total.chunks
}

// Step processes an event and returns the actions to carry out, in order.
func (r *Relay) Step(event Event) []Action {
	switch ev := event.(type) {
	case Started:
		r.attempts[ev.Attempt] = &attempt{active: !r.done}
		if r.done {
			return []Action{Cancel(ev)}
		}
	case Arrived:
		return r.relayChunk(ev.Chunk)
	case Finished:
		return r.finishAttempt(ev.End)
	case Failed:
		if a := r.attempts[ev.Attempt]; a != nil && a.active {
			return r.failAttempt(ev.Attempt, ev.Reason, ev.Ran)
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

// relayChunk relays the chunk if it is the next one of its attempt. A chunk
// that follows a missing one makes the attempt fail.
func (r *Relay) relayChunk(c Chunk) []Action {
	a := r.activeAttempt(c.Attempt)
	if a == nil {
		return nil
	}
	switch {
	case c.Seq <= a.count.chunks:
		r.dropped.Duplicate++
		return nil
	case c.Seq > a.count.chunks+1:
		r.dropped.Gap++
		return append([]Action{Cancel{Attempt: c.Attempt}}, r.failAttempt(c.Attempt, amrreason.Internal, amrreason.RunUnknown)...)
	}
	a.count.add(c)
	actions := r.selectAttempt(c.Attempt)
	r.saveText(c)
	r.total.add(c)
	c.Seq = r.total.chunks
	return append(actions, Emit{Chunk: c})
}

// finishAttempt completes the answer if all chunks of the attempt were relayed.
// If one is missing, the attempt fails. If the digest is wrong, the answer is
// aborted: it cannot be resumed, because the caller has received wrong content.
func (r *Relay) finishAttempt(end End) []Action {
	a := r.activeAttempt(end.Attempt)
	if a == nil {
		return nil
	}
	if end.Chunks != a.count.chunks {
		r.dropped.Gap++
		return r.failAttempt(end.Attempt, amrreason.Internal, amrreason.RunUnknown)
	}
	if end.Digest != a.count.digest() {
		return r.abort(amrreason.Internal, amrreason.DidRun)
	}
	actions := r.selectAttempt(end.Attempt)
	r.done = true
	r.attempts[end.Attempt].active = false
	return append(actions, Complete{End: r.answerEnd(end.Usage)})
}

// answerEnd returns the end of the whole answer. The reported number of
// completion tokens is replaced by that of the relayed tokens if that is
// higher, because an engine that resumed the answer may count only the tokens
// that it generated.
func (r *Relay) answerEnd(usage Usage) End {
	usage.CompletionTokens = max(usage.CompletionTokens, r.tokens)
	return End{Chunks: r.total.chunks, Digest: r.total.digest(), Usage: usage}
}

// activeAttempt returns the attempt if it is active. Otherwise it counts a
// dropped chunk or end and returns nil.
func (r *Relay) activeAttempt(number uint32) *attempt {
	a := r.attempts[number]
	switch {
	case a == nil:
		r.dropped.UnknownAttempt++
	case !a.active:
		r.dropped.Late++
	default:
		return a
	}
	return nil
}

// selectAttempt makes the attempt the one whose chunks are relayed, and cancels
// the other active attempts.
func (r *Relay) selectAttempt(number uint32) []Action {
	if r.current == number {
		return nil
	}
	r.current = number
	var actions []Action
	for _, other := range r.active() {
		if other != number {
			r.attempts[other].active = false
			actions = append(actions, Cancel{Attempt: other})
		}
	}
	return actions
}

// saveText stores the text of a relayed chunk for a later Resume. The answer
// can no longer be resumed if the text exceeds its limit or if the chunk has a
// body.
func (r *Relay) saveText(c Chunk) {
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

// failAttempt ends an attempt that failed. Unless another one is active, it
// requests a further attempt, or aborts the answer if that cannot be resumed.
func (r *Relay) failAttempt(number uint32, reason amrreason.Code, ran amrreason.Ran) []Action {
	r.attempts[number].active = false
	r.mayHaveRun = r.mayHaveRun || ran != amrreason.NotRun
	if len(r.active()) > 0 {
		return nil
	}
	if !r.resumable {
		return r.abort(reason, ran)
	}
	return []Action{Resume{Text: r.text.String(), Tokens: r.tokens, Reason: reason, Ran: ran}}
}

// abort ends the answer with an error. If chunks were relayed, the error states
// that the request ran. If an earlier attempt may have run, it does not state
// that the request did not run.
func (r *Relay) abort(reason amrreason.Code, ran amrreason.Ran) []Action {
	r.done = true
	switch {
	case r.total.chunks > 0:
		ran = amrreason.DidRun
	case r.mayHaveRun && ran == amrreason.NotRun:
		ran = amrreason.RunUnknown
	}
	return append(r.cancelAll(), Abort{Reason: reason, Ran: ran})
}

// cancelAll cancels all active attempts.
func (r *Relay) cancelAll() []Action {
	var actions []Action
	for _, number := range r.active() {
		r.attempts[number].active = false
		actions = append(actions, Cancel{Attempt: number})
	}
	return actions
}

// active returns the numbers of the active attempts in ascending order.
func (r *Relay) active() []uint32 {
	var numbers []uint32
	for number, a := range r.attempts {
		if a.active {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
