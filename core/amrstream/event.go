package amrstream

import "amaranthreach.example/core/amrreason"

// Event is an input of Relay.Step: Started, Arrived, Finished, Failed,
// NotResumed or CallerGone.
type Event interface{ event() }

// Started reports that an attempt was dispatched. The attempt must continue
// after the text relayed so far.
type Started struct{ Attempt uint32 }

// Arrived delivers a chunk of an attempt.
type Arrived struct{ Chunk Chunk }

// Finished delivers the end of an attempt.
type Finished struct{ End End }

// Failed reports that an attempt ended without a complete answer, or that the
// connection to its sidecar was lost.
type Failed struct {
	Attempt uint32
	Reason  amrreason.Code
	Ran     amrreason.Ran
}

// NotResumed reports that no further attempt is made after a Resume.
type NotResumed struct {
	Reason amrreason.Code
	Ran    amrreason.Ran
}

// CallerGone reports that the caller has disconnected.
type CallerGone struct{}

func (Started) event()    {}
func (Arrived) event()    {}
func (Finished) event()   {}
func (Failed) event()     {}
func (NotResumed) event() {}
func (CallerGone) event() {}

// Action is an output of Relay.Step: Emit, Cancel, Resume, Complete or Abort.
type Action interface{ action() }

// Emit sends a chunk to the caller. Its sequence number is the one within the
// whole answer.
type Emit struct{ Chunk Chunk }

// Cancel stops an attempt.
type Cancel struct{ Attempt uint32 }

// Resume requests another attempt that continues after the given text. The
// event NotResumed must follow if no attempt is made.
type Resume struct {
	Text   string         // Text relayed so far.
	Tokens int            // Number of tokens in Text.
	Reason amrreason.Code // Reason for which the last attempt ended.
	Ran    amrreason.Ran
}

// Complete ends the answer successfully.
type Complete struct{ End End }

// Abort ends the answer with an error.
type Abort struct {
	Reason amrreason.Code
	Ran    amrreason.Ran
}

func (Emit) action()     {}
func (Cancel) action()   {}
func (Resume) action()   {}
func (Complete) action() {}
func (Abort) action()    {}
