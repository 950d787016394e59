package amrledger

import (
	"strconv"
	"strings"
	"time"

	"amaranthreach.example/core/amrreason"
)

const (
	// MaxClaimsPerRequest is the number of claims after which a request no longer
	// replaces a claim that did not run.
	MaxClaimsPerRequest = 4

	// MaxFailures is the number of failed calls to the platform or a sidecar,
	// counted since the last successful write, after which an execution stops
	// retrying.
	MaxFailures = 4

	// MaxInlineAnswerBytes is the size of the largest answer that is stored in
	// the row. Larger answers go to the object store.
	MaxInlineAnswerBytes = 8 << 10

	// DefaultRetryAfter is the delay after which a refused caller is told to
	// retry if no better estimate is known.
	DefaultRetryAfter = 2 * time.Second

	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// Request is a non-idempotent request.
type Request struct {
	RowKey    string // Table key of its claim, as returned by RowKey.
	RequestID string
	Digest    string // Of the content, as returned by Digest. A request with the same key and another digest is refused.
	Token     string // Random prefix of the tokens of the request's claims.
	Epoch     uint64 // Current epoch of the sweep.
	Deadline  time.Time
}

// Placement is a sidecar process that may run a claim, and the time until which
// it may start it.
type Placement struct {
	Server      string        // Backend server of the sidecar.
	Incarnation string        // Incarnation of the sidecar process.
	WindowEnd   time.Duration // End of the dispatch window, as the time since the start of the sidecar process.
}

// Execution is the state of one non-idempotent request. It is a value: Step
// returns the next state and does not change its receiver.
type Execution struct {
	request         Request
	goal            goal
	row             Row     // Row that was last read, or claim that is being written.
	version         uint64  // Version of the row that was last read.
	dispatchedToken string  // Token of the last claim that was dispatched.
	goalToken       string  // Token of the claim that goal applies to.
	claims          int     // Claims made.
	failures        int     // Failed calls since the last successful write.
	pauses          int     // Pauses made.
	waitedForOwner  bool    // Has paused once for the router that made another request's claim.
	writeUnknown    bool    // It is unknown whether the claim in row was written.
	answer          *Answer // Answer that is to be recorded.
	refusal         Refused // Refusal to return once the row is written.
}

// goal is the change that an execution intends to make to the row after
// reading it.
type goal int

const (
	goalNone           goal = iota // Act on the state of the row.
	goalReplace                    // Replace a claim that did not run by another one, or release it.
	goalRecordAnswer               // Record the answer.
	goalRecordUnknown              // Record that the outcome is unknown.
	goalRecordReleased             // Record that the claim did not run.
)

// NewExecution returns the initial state of the execution of a request. Its
// first event is Begun.
func NewExecution(request Request) Execution {
	return Execution{request: request}
}

// Step returns the state after the event and the action to carry out next.
func (e Execution) Step(now time.Time, event Event) (Execution, Action) {
	switch ev := event.(type) {
	case Begun, Waited:
		return e, ReadRow{}
	case RowRead:
		unchanged := e.writeUnknown && ev.Version == e.version
		e.writeUnknown = false
		if unchanged {
			return e, WriteRow{Row: e.row, Version: e.version} // The check of the version lets at most one of the two writes take effect.
		}
		e.row, e.version = ev.Row, ev.Version
		return e.handleRow(now)
	case ReadFailed:
		return e.handleReadFailure(now)
	case Placed:
		return e.makeClaim(ev.Placement)
	case NotPlaced:
		return e.handleNotPlaced(ev)
	case Written:
		e.failures = 0
		return e.handleWritten()
	case WriteFailed:
		return e.handleWriteFailure(now, ev.Failure)
	case Completed:
		e.answer, e.goal, e.goalToken = ev.Answer, goalRecordAnswer, e.dispatchedToken
		return e, ReadRow{}
	case NotRun:
		return e.handleNotRun(ev)
	case Interrupted:
		e.refusal = Refused{Reason: amrreason.OutcomeUnknown, Ran: amrreason.RunUnknown, Detail: "the answer was lost while the request ran: " + string(ev.Reason)}
		e.goal, e.goalToken = goalRecordUnknown, e.dispatchedToken
		return e, ReadRow{}
	case ConnectionLost:
		return e, ReadRow{}
	case SealAnswered:
		return e.handleSealOutcome(now, ev)
	case SealUnanswered:
		return e.handleSealFailure(now)
	case AnswerStored:
		return e.handleAnswerStored()
	case AnswerFetched:
		return e, Answered{Answer: ev.Answer, Replayed: true, Recorded: true}
	case ObjectStoreFailed:
		return e.handleObjectFailure(now)
	}
	return e, e.internalError()
}

// handleRow continues with the row just read: it pursues the goal if the row
// still holds the goal's claim. Otherwise it returns the answer if the goal was
// to record one, or else acts on the state of the row.
func (e Execution) handleRow(now time.Time) (Execution, Action) {
	isGoalClaim := e.version != 0 && e.row.Token == e.goalToken
	switch {
	case e.goal == goalRecordAnswer && isGoalClaim && e.row.State != StateFinished:
		return e.recordAnswer()
	case e.goal == goalRecordAnswer:
		return e, e.finalAnswer(isGoalClaim)
	case e.goal == goalRecordUnknown && isGoalClaim && e.row.State == StateClaimed:
		return e, WriteRow{Row: e.rowWith(StateUnknown), Version: e.version}
	case e.goal == goalRecordUnknown && isGoalClaim && e.row.State == StateUnknown:
		return e, e.refusal
	case e.goal == goalRecordReleased && isGoalClaim && e.row.State == StateClaimed:
		return e, WriteRow{Row: e.rowWith(StateReleased), Version: e.version}
	case e.goal == goalRecordReleased && isGoalClaim && e.row.State == StateReleased:
		return e, e.refusal
	case e.goal == goalReplace && isGoalClaim && e.row.State == StateClaimed:
		return e, ChoosePlacement{}
	}
	e.goal = goalNone
	return e.followRow(now)
}

// followRow acts on the state of the row that was last read.
func (e Execution) followRow(now time.Time) (Execution, Action) {
	if e.version == 0 {
		return e, ChoosePlacement{}
	}
	if e.row.Digest != e.request.Digest {
		return e, Refused{Reason: amrreason.IdempotencyKeyReused, Ran: amrreason.NotRun}
	}
	switch e.row.State {
	case StateReleased:
		return e, ChoosePlacement{}
	case StateFinished:
		if e.row.Answer == nil {
			return e, FetchAnswer{Object: e.row.Object}
		}
		return e, Answered{Answer: e.row.Answer, Replayed: true, Recorded: true}
	case StateUnknown:
		return e, Refused{Reason: amrreason.OutcomeUnknown, Ran: amrreason.RunUnknown, Detail: "an earlier run of the request gave no answer"}
	}
	if e.ownsRow() && e.dispatchedToken != e.row.Token {
		return e.dispatch()
	}
	if !e.waitedForOwner && !e.ownsRow() {
		e.waitedForOwner = true // Give its router time to dispatch the claim before sealing it.
		return e.pause(now)
	}
	return e, SealClaim{Claim: e.row}
}

// ownsRow reports whether the claim in the row was made by this request.
func (e Execution) ownsRow() bool {
	return e.version != 0 && strings.HasPrefix(e.row.Token, e.request.Token+".")
}

// makeClaim writes a claim that the given sidecar process may run. It replaces
// the row that was last read.
func (e Execution) makeClaim(placement Placement) (Execution, Action) {
	e.claims++
	fence := e.row.Fence + 1
	row := Row{
		State:       StateClaimed,
		Digest:      e.request.Digest,
		RequestID:   e.request.RequestID,
		Server:      placement.Server,
		Incarnation: placement.Incarnation,
		Token:       e.request.Token + "." + strconv.FormatUint(fence, 10),
		Fence:       fence,
		WindowEnd:   placement.WindowEnd,
		Epoch:       e.request.Epoch,
	}
	e.goal = goalNone
	e.row = row
	return e, WriteRow{Row: row, Version: e.version}
}

// handleNotPlaced refuses the request because no backend server can take it. If
// the row holds a claim that did not run, it releases the claim first.
func (e Execution) handleNotPlaced(ev NotPlaced) (Execution, Action) {
	refusal := Refused{Reason: ev.Reason, Ran: amrreason.NotRun, RetryAfter: ev.RetryAfter}
	if e.goal != goalReplace {
		return e, refusal
	}
	if e.refusal.Reason != "" {
		refusal = e.refusal
	}
	return e.recordReleased(refusal)
}

// dispatch dispatches the claim in the row, which this request has made. Each
// claim is dispatched at most once.
func (e Execution) dispatch() (Execution, Action) {
	e.dispatchedToken = e.row.Token
	return e, Dispatch{Claim: e.row}
}

// handleNotRun continues after the dispatched claim did not run. It looks for
// another backend server if the event allows that.
func (e Execution) handleNotRun(ev NotRun) (Execution, Action) {
	e.refusal = Refused{Reason: ev.Reason, Ran: amrreason.NotRun, RetryAfter: ev.RetryAfter}
	e.goal, e.goalToken = goalRecordReleased, e.dispatchedToken
	if ev.RetryElsewhere && e.claims < MaxClaimsPerRequest {
		e.goal = goalReplace
	}
	return e, ReadRow{}
}

// recordReleased records that the claim in the row did not run, and then
// returns the refusal.
func (e Execution) recordReleased(refusal Refused) (Execution, Action) {
	e.refusal, e.goal, e.goalToken = refusal, goalRecordReleased, e.row.Token
	return e, WriteRow{Row: e.rowWith(StateReleased), Version: e.version}
}

// recordUnknown records that the claim in the row may have run and that its
// answer is lost, and then returns the refusal.
func (e Execution) recordUnknown(refusal Refused) (Execution, Action) {
	e.refusal, e.goal, e.goalToken = refusal, goalRecordUnknown, e.row.Token
	return e, WriteRow{Row: e.rowWith(StateUnknown), Version: e.version}
}

// recordAnswer records the answer in the row. A large answer is first put into
// the object store.
func (e Execution) recordAnswer() (Execution, Action) {
	if e.answer.size() > MaxInlineAnswerBytes {
		return e, StoreAnswer{Object: e.objectKey(), Answer: e.answer}
	}
	row := e.rowWith(StateFinished)
	row.Answer = e.answer
	return e, WriteRow{Row: row, Version: e.version}
}

// handleAnswerStored writes the row after its answer was put into the object
// store.
func (e Execution) handleAnswerStored() (Execution, Action) {
	row := e.rowWith(StateFinished)
	row.Object = e.objectKey()
	return e, WriteRow{Row: row, Version: e.version}
}

// objectKey returns the object store key of the answer to the claim in the row.
func (e Execution) objectKey() string {
	return "answer/" + strings.TrimPrefix(e.request.RowKey, rowPrefix) + "/" + e.row.Token
}

// finalAnswer returns the action that ends the execution with e.answer.
func (e Execution) finalAnswer(recorded bool) Answered {
	return Answered{Answer: e.answer, Replayed: e.goalToken != e.dispatchedToken, Recorded: recorded}
}

func (e Execution) rowWith(state State) Row {
	row := e.row
	row.State = state
	return row
}

// handleWritten continues after the row was written.
func (e Execution) handleWritten() (Execution, Action) {
	switch e.goal {
	case goalNone:
		return e.dispatch()
	case goalRecordAnswer:
		return e, e.finalAnswer(true)
	}
	return e, e.refusal
}
