package amrledger

import (
	"time"

	"amaranthreach.example/core/amrreason"
)

// Event is what an Execution is told.
type Event interface{ event() }

// Begun starts an execution.
type Begun struct{}

// RowRead is the answer to ReadRow.
type RowRead struct {
	Row     Row
	Version uint64 // 0 when no row stands under the key.
}

// ReadFailed says that ReadRow found the table out.
type ReadFailed struct{}

// Placed is the answer to ChoosePlace.
type Placed struct{ Place Place }

// NotPlaced says that no backend server can take the request.
type NotPlaced struct {
	Reason     amrreason.Code
	RetryAfter time.Duration
}

// Written says that WriteRow took effect.
type Written struct{}

// WriteFailed says that WriteRow did not take effect for certain.
type WriteFailed struct{ Failure WriteFailure }

// WriteFailure says why a write is not known to have taken effect.
type WriteFailure int

// The failures of a write.
const (
	WriteConflict WriteFailure = iota + 1 // The row changed meanwhile.
	WriteRefused                          // Nothing was written.
	WriteUnknown                          // The write may have taken effect, or may yet.
)

// Ended says that a dispatched claim ran and gave the answer.
type Ended struct{ Answer *Answer }

// NotRun says that a dispatched claim did not run and never will.
type NotRun struct {
	Reason     amrreason.Code
	RetryAfter time.Duration
	Elsewhere  bool // Another backend server may take it.
}

// Broken says that a dispatched claim may have run and gave no whole answer.
type Broken struct{ Reason amrreason.Code }

// ConnectionLost says that the dispatch gave no result; the sidecar may still
// be running the claim.
type ConnectionLost struct{}

// SealAnswered is the answer to SealClaim.
type SealAnswered struct {
	Outcome SealOutcome
	Answer  *Answer // May be nil when finished: the sidecar no longer has it.
}

// SealUnanswered says that the sidecar could not be reached.
type SealUnanswered struct{}

// Waited says that the time of Wait has passed.
type Waited struct{}

// AnswerStored is the answer to StoreAnswer.
type AnswerStored struct{}

// AnswerFetched is the answer to FetchAnswer.
type AnswerFetched struct{ Answer *Answer }

// ObjectFailed says that the object store was out.
type ObjectFailed struct{}

func (Begun) event()          {}
func (RowRead) event()        {}
func (ReadFailed) event()     {}
func (Placed) event()         {}
func (NotPlaced) event()      {}
func (Written) event()        {}
func (WriteFailed) event()    {}
func (Ended) event()          {}
func (NotRun) event()         {}
func (Broken) event()         {}
func (ConnectionLost) event() {}
func (SealAnswered) event()   {}
func (SealUnanswered) event() {}
func (Waited) event()         {}
func (AnswerStored) event()   {}
func (AnswerFetched) event()  {}
func (ObjectFailed) event()   {}

// Action is what an Execution asks for. Answered and Refused end it; each
// other action is answered by one event.
type Action interface{ action() }

// ReadRow asks for the row of the key.
type ReadRow struct{}

// ChoosePlace asks for a backend server that can take the request.
type ChoosePlace struct{}

// WriteRow asks to write the row if it stands at the version.
type WriteRow struct {
	Row     Row
	Version uint64 // 0 when no row may stand under the key.
}

// Dispatch asks to run the claim. It is asked for once for each claim.
type Dispatch struct{ Claim Row }

// SealClaim asks the sidecar that the claim names to make sure that the claim
// never runs unless it has run.
type SealClaim struct{ Claim Row }

// Wait asks for a pause.
type Wait struct{ For time.Duration }

// StoreAnswer asks to keep an answer in the object store.
type StoreAnswer struct {
	Object string
	Answer *Answer
}

// FetchAnswer asks for an answer in the object store.
type FetchAnswer struct{ Object string }

// Answered ends an execution with the answer.
type Answered struct {
	Answer   *Answer
	Replayed bool // The answer is that of an earlier request.
	Recorded bool // The answer is kept for later requests.
}

// Refused ends an execution without an answer.
type Refused struct {
	Reason     amrreason.Code
	Ran        amrreason.Ran
	RetryAfter time.Duration
	Detail     string
}

func (ReadRow) action()     {}
func (ChoosePlace) action() {}
func (WriteRow) action()    {}
func (Dispatch) action()    {}
func (SealClaim) action()   {}
func (Wait) action()        {}
func (StoreAnswer) action() {}
func (FetchAnswer) action() {}
func (Answered) action()    {}
func (Refused) action()     {}
