package amrretry

import (
	"time"

	"amaranthreach.example/core/amrreason"
)

// MaxUnavailable is the largest number of attempts at unavailable backend
// servers that do not count towards Policy.MaxAttempts. It bounds the search for
// a server when many of them are draining or gone. Package amrrouter leaves
// Outcome.Unavailable at 0, so that such attempts count there.
const MaxUnavailable = 4

// Policy bounds the attempts of one request.
type Policy struct {
	MaxAttempts int
	Deadline    time.Time
	MinTimeLeft time.Duration // Least time until Deadline for which another attempt is made.
	Idempotent  bool          // The request may run more than once.
}

// Outcome describes the attempts of a request so far and the end of the last
// one.
type Outcome struct {
	Attempts    int // Number of attempts, including the last one.
	Unavailable int // Number of them that were declined because the backend server was unavailable; see MaxUnavailable.
	Reason      amrreason.Code
	Ran         amrreason.Ran
	Declined    bool // The sidecar declined the last attempt, so that it caused no work.
}

// Decision is the result of Policy.Decide: a Retry or a GiveUp.
type Decision interface{ decision() }

// Retry allows another attempt.
type Retry struct{}

// GiveUp requires that the request be refused with the given reason.
type GiveUp struct {
	Reason amrreason.Code
	Ran    amrreason.Ran
}

func (Retry) decision()  {}
func (GiveUp) decision() {}

// Decide returns whether another attempt may be made. A retry of an attempt
// that was not declined repeats work, and takes one retry from the budget.
func (p Policy) Decide(now time.Time, o Outcome, budget *Budget) Decision {
	giveUp := GiveUp{Reason: o.Reason, Ran: o.Ran}
	switch {
	case !p.Idempotent && o.Ran != amrreason.NotRun:
		return giveUp
	case !Retryable(o.Reason):
		return giveUp
	case o.Attempts-min(o.Unavailable, MaxUnavailable) >= p.MaxAttempts:
		return giveUp
	case p.Deadline.Sub(now) < p.MinTimeLeft:
		return GiveUp{Reason: amrreason.DeadlineExceeded, Ran: o.Ran}
	case !o.Declined && !budget.Spend(now):
		return giveUp
	}
	return Retry{}
}

// ServerUnavailable reports whether an attempt that ended with the reason
// failed because its backend server is unavailable for all requests.
func ServerUnavailable(reason amrreason.Code) bool {
	switch reason {
	case amrreason.EngineUnavailable, amrreason.Draining, amrreason.WrongIncarnation:
		return true
	}
	return false
}

// Retryable reports whether a request that ended with the reason may succeed at
// another backend server.
func Retryable(reason amrreason.Code) bool {
	switch reason {
	case amrreason.Overloaded, amrreason.Draining, amrreason.WrongWeights, amrreason.EngineUnavailable,
		amrreason.EngineLost, amrreason.CrashSuspect, amrreason.WrongIncarnation, amrreason.ClaimExpired, amrreason.Internal:
		return true
	}
	return false
}
