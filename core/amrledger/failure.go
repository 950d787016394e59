package amrledger

import (
	"time"

	"amaranthreach.example/core/amrreason"
)

// handleReadFailure continues after the table could not be read. If no retry is
// left, it returns an answer that it holds without recording it, and otherwise a
// refusal that never says that the request did not run.
func (e Execution) handleReadFailure(now time.Time) (Execution, Action) {
	if e.mayRetry(now) {
		return e.pause(now)
	}
	switch {
	case e.goal == goalRecordAnswer:
		return e, e.finalAnswer(false)
	case e.goal == goalRecordUnknown:
		return e, e.refusal
	case e.goal == goalRecordReleased, e.goal == goalReplace, e.dispatchedToken != "", e.waitedForOwner:
		return e, Refused{
			Reason: amrreason.OutcomeUnknown, Ran: amrreason.RunUnknown, RetryAfter: DefaultRetryAfter,
			Detail: "the table service is out, so whether the key's request ran cannot be told",
		}
	}
	return e, ledgerUnavailable()
}

// handleWriteFailure continues after a write that is not known to have taken
// effect. If the table refused a new claim, it refuses the request. Otherwise it
// reads the row again to learn its state, if a retry is left; a conflict over a
// new claim does not count as a failed call. Because the next write checks the
// version read, a write that takes effect late cannot overwrite it.
func (e Execution) handleWriteFailure(now time.Time, failure WriteFailure) (Execution, Action) {
	switch {
	case failure == WriteRefused && e.goal == goalNone:
		return e, ledgerUnavailable()
	case failure == WriteConflict && e.goal == goalNone:
		return e, ReadRow{}
	case !e.mayRetry(now):
		return e.handleReadFailure(now)
	case failure == WriteRefused:
		return e.pause(now)
	}
	e.writeUnknown = e.goal == goalNone
	return e, ReadRow{}
}

// handleSealOutcome continues with the outcome that the sidecar reported for the
// claim.
func (e Execution) handleSealOutcome(now time.Time, ev SealAnswered) (Execution, Action) {
	switch ev.Outcome {
	case SealNeverRan:
		e.goal, e.goalToken = goalReplace, e.row.Token
		if e.claims < MaxClaimsPerRequest && now.Before(e.request.Deadline) {
			return e, ChoosePlacement{}
		}
		return e.recordReleased(Refused{Reason: amrreason.DeadlineExceeded, Ran: amrreason.NotRun, RetryAfter: DefaultRetryAfter})
	case SealRunning, SealBusy:
		return e.waitForRun(now)
	case SealFinished:
		if ev.Answer == nil {
			return e.recordUnknown(Refused{Reason: amrreason.OutcomeUnknown, Ran: amrreason.DidRun, Detail: "the request ran and its answer is lost"})
		}
		e.answer, e.goal, e.goalToken = ev.Answer, goalRecordAnswer, e.row.Token
		return e.recordAnswer()
	}
	return e.recordUnknown(Refused{
		Reason: amrreason.OutcomeUnknown, Ran: amrreason.RunUnknown,
		Detail: "the backend server or its sidecar was lost while it may have run the request",
	})
}

// waitForRun waits for a running claim to end, until the request's deadline.
func (e Execution) waitForRun(now time.Time) (Execution, Action) {
	if now.Before(e.request.Deadline) {
		return e.pause(now)
	}
	return e, Refused{
		Reason: amrreason.OutcomeUnknown, Ran: amrreason.RunUnknown, RetryAfter: DefaultRetryAfter,
		Detail: "the request is still running",
	}
}

// handleSealFailure continues after the sidecar could not be reached. It leaves
// the row unchanged, because a later request may reach the sidecar.
func (e Execution) handleSealFailure(now time.Time) (Execution, Action) {
	if e.mayRetry(now) {
		return e.pause(now)
	}
	return e, Refused{
		Reason: amrreason.OutcomeUnknown, Ran: amrreason.RunUnknown, RetryAfter: DefaultRetryAfter,
		Detail: "the sidecar that may have run the request cannot be reached",
	}
}

// handleObjectFailure continues after a call to the object store failed.
func (e Execution) handleObjectFailure(now time.Time) (Execution, Action) {
	if e.mayRetry(now) {
		return e.pause(now)
	}
	if e.goal == goalRecordAnswer {
		return e, e.finalAnswer(false)
	}
	return e, Refused{
		Reason: amrreason.OutcomeUnknown, Ran: amrreason.DidRun, RetryAfter: DefaultRetryAfter,
		Detail: "the request ran, and the object store that keeps its answer is out",
	}
}

// mayRetry counts a failed call and reports whether it may be retried.
func (e *Execution) mayRetry(now time.Time) bool {
	e.failures++
	return e.failures < MaxFailures && now.Before(e.request.Deadline)
}

// pause waits before the row is read again. The wait doubles with each pause, up
// to maxPause, and does not exceed the request's deadline.
func (e Execution) pause(now time.Time) (Execution, Action) {
	wait := min(minPause<<min(e.pauses, 5), maxPause, max(0, e.request.Deadline.Sub(now)))
	e.pauses++
	return e, Wait{For: wait}
}

// ledgerUnavailable returns the refusal of a request that was not run because
// the table was unavailable. An earlier request with the same key may have run.
func ledgerUnavailable() Refused {
	return Refused{
		Reason: amrreason.LedgerUnavailable, Ran: amrreason.RunUnknown, RetryAfter: DefaultRetryAfter,
		Detail: "this request was not run; whether an earlier one with its key ran cannot be told now",
	}
}

// internalError returns the refusal for an event that Step does not know.
func (e Execution) internalError() Refused {
	return Refused{Reason: amrreason.Internal, Ran: amrreason.RunUnknown}
}
