package amrretry

import (
	"time"

	"amaranthreach.example/core/amrreason"
)

// MaxAbsent is the number of declines by backend servers that are away, such as
// draining ones, which do not count against the attempts of a request.
const MaxAbsent = 4

// Policy bounds the attempts of one request.
type Policy struct {
	MaxAttempts int
	Deadline    time.Time
	MinTimeLeft time.Duration // No attempt is started with less time left.
	Idempotent  bool
}

// Outcome is how an attempt ended.
type Outcome struct {
	Attempts int // Made so far, this one included.
	Absent   int // Of them, those declined because the backend server was away.
	Reason   amrreason.Code
	Ran      amrreason.Ran
	Declined bool // The sidecar did not take it; it cost no work.
}

// Decision is a Retry or a GiveUp.
type Decision interface{ decision() }

// Retry says that another attempt may be made.
type Retry struct{}

// GiveUp says that the request is refused, and why.
type GiveUp struct {
	Reason amrreason.Code
	Ran    amrreason.Ran
}

func (Retry) decision()  {}
func (GiveUp) decision() {}

// Decide returns whether another attempt may be made. It spends the budget for
// one that repeats work.
func (p Policy) Decide(now time.Time, o Outcome, budget *Budget) Decision {
	giveUp := GiveUp{Reason: o.Reason, Ran: o.Ran}
	switch {
	case !p.Idempotent && o.Ran != amrreason.NotRun:
		return giveUp
	case !Retryable(o.Reason):
		return giveUp
	case o.Attempts-min(o.Absent, MaxAbsent) >= p.MaxAttempts:
		return giveUp
	case p.Deadline.Sub(now) < p.MinTimeLeft:
		return GiveUp{Reason: amrreason.DeadlineExceeded, Ran: o.Ran}
	case !o.Declined && !budget.Spend(now):
		return giveUp
	}
	return Retry{}
}

// Absent reports whether the reason speaks of a backend server that is away,
// whatever the request.
func Absent(reason amrreason.Code) bool {
	switch reason {
	case amrreason.EngineUnavailable, amrreason.Draining, amrreason.WrongIncarnation:
		return true
	}
	return false
}

// Retryable reports whether another backend server may do better.
func Retryable(reason amrreason.Code) bool {
	switch reason {
	case amrreason.Overloaded, amrreason.Draining, amrreason.WrongWeights, amrreason.EngineUnavailable,
		amrreason.EngineLost, amrreason.CrashSuspect, amrreason.WrongIncarnation, amrreason.ClaimExpired, amrreason.Internal:
		return true
	}
	return false
}
