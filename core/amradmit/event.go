package amradmit

import (
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

// Event is something that happened: Arrive, Computed, Finished, Canceled,
// EngineState, EngineLost or Tick.
type Event interface{ event() }

// Request is a request that asks for admission.
type Request struct {
	ID           string
	Team         string
	TeamWeight   int // Share of the team; 0 means 1.
	Priority     int // Lower runs first.
	Keys         []amrprompt.Key
	PromptTokens int
	Isolated     bool // Runs with no other request at the engine.
}

// Arrive asks for the admission of a request.
type Arrive struct {
	Request

	// TimeLeft is the time until the caller's deadline; 0 for none.
	TimeLeft time.Duration

	// MaxWait is the longest acceptable time to the first token; 0 for no
	// bound.
	MaxWait time.Duration

	// Bound refuses a request that costs less elsewhere.
	Bound Bound
}

// Bound is the cost above which another backend server is the better choice.
// The zero value is no bound.
type Bound struct {
	Cost            time.Duration
	WaitWeight      float64
	RecomputeWeight float64
}

// Computed says that the engine has computed the prompt of a request: its
// first token is there.
type Computed struct{ ID string }

// Finished says that a request handed to the engine has ended, well or not.
type Finished struct {
	ID string

	// CachedTokens is what the engine found cached, and Known whether it
	// told.
	CachedTokens int
	Known        bool
}

// Canceled says that the caller has given a request up.
type Canceled struct{ ID string }

// EngineState is the state that the engine reports. Zero fields are unknown.
type EngineState struct {
	BatchLimit  int
	PrefillRate float64 // Tokens a second.
	Away        bool    // Takes no work now, for instance while loading weights.
}

// EngineLost says that the engine is gone with all that was handed to it.
type EngineLost struct{}

// Tick asks for what has become due.
type Tick struct{}

func (Arrive) event()      {}
func (Computed) event()    {}
func (Finished) event()    {}
func (Canceled) event()    {}
func (EngineState) event() {}
func (EngineLost) event()  {}
func (Tick) event()        {}

// Action is something to do: Accept, Decline, Run or Expire.
type Action interface{ action() }

// Accept admits a request.
type Accept struct {
	ID           string
	Wait         time.Duration // Until the first token.
	CachedTokens int
}

// Decline refuses a request that has not run.
type Decline struct {
	ID           string
	Reason       amrreason.Code
	RetryAfter   time.Duration
	Wait         time.Duration // Until the first token, had it been accepted.
	CachedTokens int
}

// Run hands a request to the engine.
type Run struct{ ID string }

// Expire ends an accepted request that never reached the engine.
type Expire struct {
	ID     string
	Reason amrreason.Code
}

func (Accept) action()  {}
func (Decline) action() {}
func (Run) action()     {}
func (Expire) action()  {}
