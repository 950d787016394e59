package amrledger

import (
	"strconv"
	"strings"
	"time"

	"amaranthreach.example/core/amrreason"
)

const (
	// MaxClaimsPerRequest bounds how often one request makes a claim.
	MaxClaimsPerRequest = 4

	// MaxTries bounds how often a failed call of the platform or of a sidecar
	// is repeated at one point of an execution.
	MaxTries = 4

	// InlineAnswerBytes is the largest answer that is kept in the row.
	InlineAnswerBytes = 8 << 10

	// DefaultRetryAfter is what a caller is told when nothing better is known.
	DefaultRetryAfter = 2 * time.Second

	firstPause  = 50 * time.Millisecond
	longestWait = time.Second
)

// Request is a non-idempotent request.
type Request struct {
	RowKey    string // See RowKey.
	RequestID string
	Digest    string // Of the content; another one under the same key is refused.
	Token     string // Random; starts the tokens of all claims of the request.
	Epoch     uint64 // Epoch of the sweep.
	Deadline  time.Time
}

// Place is where a claim may run.
type Place struct {
	Server      string
	Incarnation string        // Of the sidecar's process.
	WindowEnd   time.Duration // Time of the sidecar's clock.
}

// Execution takes one non-idempotent request through the ledger. It is a
// value: Step returns the next one and leaves the receiver as it was.
type Execution struct {
	request    Request
	goal       goal
	row        Row    // As last read or meant to be written.
	version    uint64 // Version of row when it was read.
	dispatched string // Token of the last claim that was dispatched.
	subject    string // Token of the claim that goal is about.
	claims     int
	tries      int
	pauses     int
	joined     bool
	unresolved bool    // The write of row, a claim, may or may not have taken effect.
	answer     *Answer // Of an own claim that ran.
	refusal    Refused // To be returned once the row is written.
}

// goal is what the execution does with the row once it has read it.
type goal int

const (
	goalDecide  goal = iota // Do what the row calls for.
	goalReplace             // Own claim did not run: make another or release it.
	goalFinish              // Record the answer.
	goalGiveUp              // Record that the outcome is unknown.
	goalRelease             // Record that the claim did not run.
)

// NewExecution returns the execution of a request.
func NewExecution(request Request) Execution {
	return Execution{request: request}
}

// Step takes an event and returns the next state and what is to be done.
func (e Execution) Step(now time.Time, event Event) (Execution, Action) {
	switch ev := event.(type) {
	case Begun, Waited:
		return e, ReadRow{}
	case RowRead:
		unchanged := e.unresolved && ev.Version == e.version
		e.unresolved = false
		if unchanged {
			return e, WriteRow{Row: e.row, Version: e.version} // At most one of the two takes effect.
		}
		e.row, e.version = ev.Row, ev.Version
		return e.rowRead(now)
	case ReadFailed:
		return e.readFailed(now)
	case Placed:
		return e.claim(ev.Place)
	case NotPlaced:
		return e.notPlaced(ev)
	case Written:
		e.tries = 0
		return e.written()
	case WriteFailed:
		return e.writeFailed(now, ev.Failure)
	case Ended:
		e.answer, e.goal, e.subject = ev.Answer, goalFinish, e.dispatched
		return e, ReadRow{}
	case NotRun:
		return e.notRun(ev)
	case Broken:
		e.refusal = Refused{Reason: amrreason.OutcomeUnknown, Ran: amrreason.Unknown, Detail: "the answer was lost while the request ran: " + string(ev.Reason)}
		e.goal, e.subject = goalGiveUp, e.dispatched
		return e, ReadRow{}
	case ConnectionLost:
		return e, ReadRow{}
	case SealAnswered:
		return e.sealAnswered(now, ev)
	case SealUnanswered:
		return e.sealUnanswered(now)
	case AnswerStored:
		return e.answerStored()
	case AnswerFetched:
		return e, Answered{Answer: ev.Answer, Replayed: true, Recorded: true}
	case ObjectFailed:
		return e.objectFailed(now)
	}
	return e, e.internalError()
}

// rowRead goes on with the row just read.
func (e Execution) rowRead(now time.Time) (Execution, Action) {
	same := e.version != 0 && e.row.Token == e.subject
	switch {
	case e.goal == goalFinish && same && e.row.State != StateFinished:
		return e.record()
	case e.goal == goalFinish:
		return e, e.answered(same)
	case e.goal == goalGiveUp && same && e.row.State == StateClaimed:
		return e, WriteRow{Row: e.rowWith(StateUnknown), Version: e.version}
	case e.goal == goalGiveUp && same && e.row.State == StateUnknown:
		return e, e.refusal
	case e.goal == goalRelease && same && e.row.State == StateClaimed:
		return e, WriteRow{Row: e.rowWith(StateReleased), Version: e.version}
	case e.goal == goalRelease && same && e.row.State == StateReleased:
		return e, e.refusal
	case e.goal == goalReplace && same && e.row.State == StateClaimed:
		return e, ChoosePlace{}
	}
	e.goal = goalDecide
	return e.decide(now)
}

// decide does what the row calls for.
func (e Execution) decide(now time.Time) (Execution, Action) {
	if e.version == 0 {
		return e, ChoosePlace{}
	}
	if e.row.Digest != e.request.Digest {
		return e, Refused{Reason: amrreason.KeyReused, Ran: amrreason.NotRun}
	}
	switch e.row.State {
	case StateReleased:
		return e, ChoosePlace{}
	case StateFinished:
		if e.row.Answer == nil {
			return e, FetchAnswer{Object: e.row.Object}
		}
		return e, Answered{Answer: e.row.Answer, Replayed: true, Recorded: true}
	case StateUnknown:
		return e, Refused{Reason: amrreason.OutcomeUnknown, Ran: amrreason.Unknown, Detail: "an earlier run of the request gave no answer"}
	}
	if e.owns() && e.dispatched != e.row.Token {
		return e.dispatch()
	}
	if !e.joined && !e.owns() {
		e.joined = true // Its router may be about to dispatch it.
		return e.pause(now)
	}
	return e, SealClaim{Claim: e.row}
}

// owns reports whether the row is a claim of this request.
func (e Execution) owns() bool {
	return e.version != 0 && strings.HasPrefix(e.row.Token, e.request.Token+".")
}

// claim makes a claim for the place, in place of the row last read.
func (e Execution) claim(place Place) (Execution, Action) {
	e.claims++
	fence := e.row.Fence + 1
	row := Row{
		State:       StateClaimed,
		Digest:      e.request.Digest,
		RequestID:   e.request.RequestID,
		Server:      place.Server,
		Incarnation: place.Incarnation,
		Token:       e.request.Token + "." + strconv.FormatUint(fence, 10),
		Fence:       fence,
		WindowEnd:   place.WindowEnd,
		Epoch:       e.request.Epoch,
	}
	e.goal = goalDecide
	e.row = row
	return e, WriteRow{Row: row, Version: e.version}
}

func (e Execution) notPlaced(ev NotPlaced) (Execution, Action) {
	refusal := Refused{Reason: ev.Reason, Ran: amrreason.NotRun, RetryAfter: ev.RetryAfter}
	if e.goal != goalReplace {
		return e, refusal
	}
	if e.refusal.Reason != "" {
		refusal = e.refusal
	}
	return e.release(refusal)
}

// dispatch runs the own claim in the row. Each claim is dispatched once.
func (e Execution) dispatch() (Execution, Action) {
	e.dispatched = e.row.Token
	return e, Dispatch{Claim: e.row}
}

// notRun goes on after the own claim was declined.
func (e Execution) notRun(ev NotRun) (Execution, Action) {
	e.refusal = Refused{Reason: ev.Reason, Ran: amrreason.NotRun, RetryAfter: ev.RetryAfter}
	e.goal, e.subject = goalRelease, e.dispatched
	if ev.Elsewhere && e.claims < MaxClaimsPerRequest {
		e.goal = goalReplace
	}
	return e, ReadRow{}
}

// release records that the claim in the row did not run, then refuses.
func (e Execution) release(refusal Refused) (Execution, Action) {
	e.refusal, e.goal, e.subject = refusal, goalRelease, e.row.Token
	return e, WriteRow{Row: e.rowWith(StateReleased), Version: e.version}
}

// giveUp records that the claim in the row may have run, then refuses.
func (e Execution) giveUp(refusal Refused) (Execution, Action) {
	e.refusal, e.goal, e.subject = refusal, goalGiveUp, e.row.Token
	return e, WriteRow{Row: e.rowWith(StateUnknown), Version: e.version}
}

// record keeps the answer, in the object store when it is large.
func (e Execution) record() (Execution, Action) {
	if e.answer.size() > InlineAnswerBytes {
		return e, StoreAnswer{Object: e.object(), Answer: e.answer}
	}
	row := e.rowWith(StateFinished)
	row.Answer = e.answer
	return e, WriteRow{Row: row, Version: e.version}
}

// answerStored writes the row after its answer was put into the object store.
func (e Execution) answerStored() (Execution, Action) {
	row := e.rowWith(StateFinished)
	row.Object = e.object()
	return e, WriteRow{Row: row, Version: e.version}
}

func (e Execution) object() string {
	return "answer/" + strings.TrimPrefix(e.request.RowKey, rowPrefix) + "/" + e.row.Token
}

// answered ends the execution with the answer in hand.
func (e Execution) answered(recorded bool) Answered {
	return Answered{Answer: e.answer, Replayed: e.subject != e.dispatched, Recorded: recorded}
}

func (e Execution) rowWith(state State) Row {
	row := e.row
	row.State = state
	return row
}

// written goes on after the row was written.
func (e Execution) written() (Execution, Action) {
	switch e.goal {
	case goalDecide:
		return e.dispatch()
	case goalFinish:
		return e, e.answered(true)
	}
	return e, e.refusal
}
