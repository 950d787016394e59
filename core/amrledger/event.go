package amrledger

import (
	"time"

	"amaranthreach.example/core/amrreason"
)

// Event is an input of an Execution: its start, the result of an action, or the
// end of a pause.
type Event interface{ event() }

// Begun is the first event of an execution.
type Begun struct{}

// RowRead is the successful result of ReadRow.
type RowRead struct {
	Row     Row
	Version uint64 // 0 if there is no row under the key.
}

// ReadFailed reports that ReadRow could not read the table.
type ReadFailed struct{}

// Placed is the successful result of ChoosePlacement.
type Placed struct{ Placement Placement }

// NotPlaced reports that no backend server can take the request.
type NotPlaced struct {
	Reason     amrreason.Code
	RetryAfter time.Duration
}

// Written reports that WriteRow took effect.
type Written struct{}

// WriteFailed reports that WriteRow is not known to have taken effect.
type WriteFailed struct{ Failure WriteFailure }

// WriteFailure is the reason why a write is not known to have taken effect.
type WriteFailure int

// The reasons for a WriteFailed event.
const (
	WriteConflict WriteFailure = iota + 1 // The row is not at the expected version; nothing was written.
	WriteRefused                          // The table did not accept the write; nothing was written.
	WriteUnknown                          // The write may have taken effect, or may still do so.
)

// Completed reports that a dispatched claim ran and gave a complete answer.
type Completed struct{ Answer *Answer }

// NotRun reports that a dispatched claim did not run and never will.
type NotRun struct {
	Reason         amrreason.Code
	RetryAfter     time.Duration
	RetryElsewhere bool // Whether the request may be dispatched to another backend server.
}

// Interrupted reports that a dispatched claim may have run but gave no complete
// answer.
type Interrupted struct{ Reason amrreason.Code }

// ConnectionLost reports that the connection to the sidecar failed before the
// result of the dispatch arrived. The sidecar may still be running the claim.
type ConnectionLost struct{}

// SealAnswered is the successful result of SealClaim.
type SealAnswered struct {
	Outcome SealOutcome
	Answer  *Answer // Nil unless Outcome is SealFinished, and also if the sidecar has evicted it.
}

// SealUnanswered reports that the sidecar could not be reached.
type SealUnanswered struct{}

// Waited reports that the pause of Wait has ended.
type Waited struct{}

// AnswerStored is the successful result of StoreAnswer.
type AnswerStored struct{}

// AnswerFetched is the successful result of FetchAnswer.
type AnswerFetched struct{ Answer *Answer }

// ObjectStoreFailed reports that a call to the object store failed.
type ObjectStoreFailed struct{}

func (Begun) event()             {}
func (RowRead) event()           {}
func (ReadFailed) event()        {}
func (Placed) event()            {}
func (NotPlaced) event()         {}
func (Written) event()           {}
func (WriteFailed) event()       {}
func (Completed) event()         {}
func (NotRun) event()            {}
func (Interrupted) event()       {}
func (ConnectionLost) event()    {}
func (SealAnswered) event()      {}
func (SealUnanswered) event()    {}
func (Waited) event()            {}
func (AnswerStored) event()      {}
func (AnswerFetched) event()     {}
func (ObjectStoreFailed) event() {}

// Action is an output of an Execution that its caller has to carry out. Answered
// and Refused end the execution. The result of each other action is passed to
// Step as one event.
type Action interface{ action() }

// ReadRow reads the row of the request's key.
type ReadRow struct{}

// ChoosePlacement selects a backend server that can take the request.
type ChoosePlacement struct{}

// WriteRow writes the row if it is at the given version.
type WriteRow struct {
	Row     Row
	Version uint64 // 0 if there must be no row under the key.
}

// Dispatch sends the claim to its sidecar to be run. An Execution asks for it at
// most once for each claim.
type Dispatch struct{ Claim Row }

// SealClaim asks the sidecar that the claim names to prevent the claim from
// starting if it has not started yet, and to report its outcome.
type SealClaim struct{ Claim Row }

// Wait pauses the execution.
type Wait struct{ For time.Duration }

// StoreAnswer writes an answer to the object store.
type StoreAnswer struct {
	Object string // Key of the object.
	Answer *Answer
}

// FetchAnswer reads an answer from the object store.
type FetchAnswer struct{ Object string }

// Answered ends an execution with an answer.
type Answered struct {
	Answer   *Answer
	Replayed bool // Whether the answer was produced for another request with the same key.
	Recorded bool // Whether the answer is stored for later requests with the same key.
}

// Refused ends an execution without an answer.
type Refused struct {
	Reason     amrreason.Code
	Ran        amrreason.Ran // Whether the request ran, or another one with the same key.
	RetryAfter time.Duration
	Detail     string
}

func (ReadRow) action()         {}
func (ChoosePlacement) action() {}
func (WriteRow) action()        {}
func (Dispatch) action()        {}
func (SealClaim) action()       {}
func (Wait) action()            {}
func (StoreAnswer) action()     {}
func (FetchAnswer) action()     {}
func (Answered) action()        {}
func (Refused) action()         {}
