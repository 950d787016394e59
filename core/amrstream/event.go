package amrstream

import "amaranthreach.example/core/amrreason"

// Event is what a Relay is told.
type Event interface{ event() }

// Started says that an attempt was dispatched. It resumes behind the text
// relayed so far.
type Started struct{ Attempt uint32 }

// Arrived brings a chunk of an attempt.
type Arrived struct{ Chunk Chunk }

// Finished brings the end of an attempt.
type Finished struct{ End End }

// Failed says that an attempt ended without its whole answer, also when the
// connection to its sidecar was lost.
type Failed struct {
	Attempt uint32
	Reason  amrreason.Code
	Ran     amrreason.Ran
}

// NotResumed says that no further attempt is made after Resume.
type NotResumed struct {
	Reason amrreason.Code
	Ran    amrreason.Ran
}

// CallerGone says that the caller no longer takes the answer.
type CallerGone struct{}

func (Started) event()    {}
func (Arrived) event()    {}
func (Finished) event()   {}
func (Failed) event()     {}
func (NotResumed) event() {}
func (CallerGone) event() {}

// Action is what a Relay asks for.
type Action interface{ action() }

// Emit passes a chunk on to the caller, numbered within the whole answer.
type Emit struct{ Chunk Chunk }

// Cancel stops an attempt.
type Cancel struct{ Attempt uint32 }

// Resume asks for another attempt that goes on behind the text. NotResumed
// answers it when none is made.
type Resume struct {
	Text   string
	Tokens int
	Reason amrreason.Code // Why the last attempt ended.
	Ran    amrreason.Ran
}

// Complete ends the answer.
type Complete struct{ End End }

// Abort ends the answer with an explicit error.
type Abort struct {
	Reason amrreason.Code
	Ran    amrreason.Ran
}

func (Emit) action()     {}
func (Cancel) action()   {}
func (Resume) action()   {}
func (Complete) action() {}
func (Abort) action()    {}
