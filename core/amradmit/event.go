package amradmit

import (
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

// Event is an input of Queue.Handle: Arrive, Computed, Finished, Canceled,
// EngineState, EngineLost or Tick.
type Event interface{ event() }

// Request describes a request to the engine.
type Request struct {
	ID           string
	Team         string
	TeamWeight   int             // Share of the engine relative to other teams; 0 means 1.
	Priority     int             // Requests with a lower value run first.
	Keys         []amrprompt.Key // Keys of the blocks of the prompt, in order.
	PromptTokens int             // 0 for a service without prompts.
	Isolated     bool            // The engine must run no other request at the same time.
}

// Arrive requests the admission of a request.
type Arrive struct {
	Request

	// TimeLeft is the time until the deadline of the caller, or 0 if there is
	// none.
	TimeLeft time.Duration

	// MaxWait is the longest acceptable time until the first token, or 0 for no
	// limit. It does not apply if the engine would start the request immediately.
	MaxWait time.Duration

	// CostLimit is the highest acceptable cost.
	CostLimit CostLimit
}

// CostLimit is the cost above which another backend server is a better choice
// for a request. The zero value sets no limit.
type CostLimit struct {
	Cost            time.Duration // Highest acceptable cost; 0 for no limit.
	WaitWeight      float64       // Cost of each unit of time until the prompt is started.
	RecomputeWeight float64       // Cost of each unit of time to compute the uncached part of the prompt.
}

// Computed reports that the engine has computed the prompt of a request and has
// produced the first token.
type Computed struct{ ID string }

// Finished reports that a request submitted to the engine has ended, with or
// without success.
type Finished struct {
	ID string

	CachedTokens      int  // Number of prompt tokens that the engine had cached.
	CachedTokensKnown bool // The engine reported CachedTokens.
}

// Canceled reports that the caller has canceled a request.
type Canceled struct{ ID string }

// EngineState is the state that the engine reports. A BatchLimit or PrefillRate
// of 0 means that the value is unknown.
type EngineState struct {
	BatchLimit  int     // Number of requests that the engine runs at the same time.
	PrefillRate float64 // Speed of computing prompts, in tokens per second.
	Unavailable bool    // The engine accepts no requests now, for example while it loads weights.
}

// EngineLost reports that the engine has terminated together with all requests
// submitted to it.
type EngineLost struct{}

// Tick reports that time has passed. Waiting requests expire if their deadline
// has passed.
type Tick struct{}

func (Arrive) event()      {}
func (Computed) event()    {}
func (Finished) event()    {}
func (Canceled) event()    {}
func (EngineState) event() {}
func (EngineLost) event()  {}
func (Tick) event()        {}

// Action is an output of Queue.Handle: Accept, Decline, Run or Expire.
type Action interface{ action() }

// Accept admits a request.
type Accept struct {
	ID           string
	Wait         time.Duration // Estimated time until the first token.
	CachedTokens int           // Estimated number of prompt tokens that will be cached.
}

// Decline rejects a request, which has not run.
type Decline struct {
	ID           string
	Reason       amrreason.Code
	RetryAfter   time.Duration // Time after which the request may be sent again; 0 if that is not useful.
	Wait         time.Duration // Estimated time until the first token if the request had been admitted.
	CachedTokens int           // Estimated number of prompt tokens that would have been cached.
}

// Run requires that an admitted request be submitted to the engine.
type Run struct{ ID string }

// Expire ends an admitted request that was not submitted to the engine.
type Expire struct {
	ID     string
	Reason amrreason.Code
}

func (Accept) action()  {}
func (Decline) action() {}
func (Run) action()     {}
func (Expire) action()  {}
