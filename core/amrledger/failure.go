package amrledger

import (
	"time"

	"amaranthreach.example/core/amrreason"
)

// readFailed goes on after the table could not be read.
func (e Execution) readFailed(now time.Time) (Execution, Action) {
	if e.mayRetry(now) {
		return e.pause(now)
	}
	switch {
	case e.goal == goalFinish:
		return e, e.answered(false)
	case e.goal == goalGiveUp:
		return e, e.refusal
	case e.goal == goalRelease, e.goal == goalReplace, e.dispatched != "", e.joined:
		return e, Refused{
			Reason: amrreason.OutcomeUnknown, Ran: amrreason.Unknown, RetryAfter: DefaultRetryAfter,
			Detail: "the table service is out, so whether the key's request ran cannot be told",
		}
	}
	return e, ledgerUnavailable()
}

// writeFailed goes on after a write that is not known to have taken effect.
// Reading the row tells what stands, and the version read makes sure that a
// late write cannot undo what is written next.
func (e Execution) writeFailed(now time.Time, failure WriteFailure) (Execution, Action) {
	switch {
	case failure == WriteRefused && e.goal == goalDecide:
		return e, ledgerUnavailable()
	case failure == WriteConflict && e.goal == goalDecide:
		return e, ReadRow{}
	case !e.mayRetry(now):
		return e.readFailed(now)
	case failure == WriteRefused:
		return e.pause(now)
	}
	e.unresolved = e.goal == goalDecide
	return e, ReadRow{}
}

// sealAnswered goes on after the sidecar told what became of the claim.
func (e Execution) sealAnswered(now time.Time, ev SealAnswered) (Execution, Action) {
	switch ev.Outcome {
	case SealNeverRan:
		e.goal, e.subject = goalReplace, e.row.Token
		if e.claims < MaxClaimsPerRequest && now.Before(e.request.Deadline) {
			return e, ChoosePlace{}
		}
		return e.release(Refused{Reason: amrreason.DeadlineExceeded, Ran: amrreason.NotRun, RetryAfter: DefaultRetryAfter})
	case SealRunning, SealBusy:
		return e.awaitRun(now)
	case SealFinished:
		if ev.Answer == nil {
			return e.giveUp(Refused{Reason: amrreason.OutcomeUnknown, Ran: amrreason.DidRun, Detail: "the request ran and its answer is lost"})
		}
		e.answer, e.goal, e.subject = ev.Answer, goalFinish, e.row.Token
		return e.record()
	}
	return e.giveUp(Refused{
		Reason: amrreason.OutcomeUnknown, Ran: amrreason.Unknown,
		Detail: "the backend server or its sidecar was lost while it may have run the request",
	})
}

// awaitRun waits for the end of a claim that is running.
func (e Execution) awaitRun(now time.Time) (Execution, Action) {
	if now.Before(e.request.Deadline) {
		return e.pause(now)
	}
	return e, Refused{
		Reason: amrreason.OutcomeUnknown, Ran: amrreason.Unknown, RetryAfter: DefaultRetryAfter,
		Detail: "the request is still running",
	}
}

// sealUnanswered goes on after the sidecar could not be reached. The row stays
// as it is: a later request may reach the sidecar.
func (e Execution) sealUnanswered(now time.Time) (Execution, Action) {
	if e.mayRetry(now) {
		return e.pause(now)
	}
	return e, Refused{
		Reason: amrreason.OutcomeUnknown, Ran: amrreason.Unknown, RetryAfter: DefaultRetryAfter,
		Detail: "the sidecar that may have run the request cannot be reached",
	}
}

// objectFailed goes on after the object store was out.
func (e Execution) objectFailed(now time.Time) (Execution, Action) {
	if e.mayRetry(now) {
		return e.pause(now)
	}
	if e.goal == goalFinish {
		return e, e.answered(false)
	}
	return e, Refused{
		Reason: amrreason.OutcomeUnknown, Ran: amrreason.DidRun, RetryAfter: DefaultRetryAfter,
		Detail: "the request ran, and the object store that keeps its answer is out",
	}
}

// mayRetry counts a failed call.
func (e *Execution) mayRetry(now time.Time) bool {
	e.tries++
	return e.tries < MaxTries && now.Before(e.request.Deadline)
}

// pause waits a little longer each time, and then reads the row again.
func (e Execution) pause(now time.Time) (Execution, Action) {
	wait := min(firstPause<<min(e.pauses, 5), longestWait, max(0, e.request.Deadline.Sub(now)))
	e.pauses++
	return e, Wait{For: wait}
}

func ledgerUnavailable() Refused {
	return Refused{
		Reason: amrreason.LedgerUnavailable, Ran: amrreason.Unknown, RetryAfter: DefaultRetryAfter,
		Detail: "this request was not run; whether an earlier one with its key ran cannot be told now",
	}
}

func (e Execution) internalError() Refused {
	return Refused{Reason: amrreason.Internal, Ran: amrreason.Unknown}
}
