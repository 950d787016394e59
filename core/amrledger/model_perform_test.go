package amrledger

import (
	"fmt"

	"amaranthreach.example/core/amrreason"
)

// perform returns the states after the action of caller i was carried out, with
// and without faults.
func (m modelState) perform(i int) []modelState {
	c := m.callers[i]
	name := fmt.Sprintf("%d does %T", i, c.action)
	successor := func(suffix string, f func(*modelState)) modelState { return m.transition(name+suffix, f) }
	switch action := c.action.(type) {
	case ReadRow:
		next := []modelState{successor("", func(m *modelState) {
			m.callers[i].runsAtLastAccess = len(m.runs)
			m.reply(i, RowRead{Row: m.row, Version: m.version})
		})}
		if m.remaining.refusals > 0 {
			next = append(next, successor(" refused", func(m *modelState) {
				m.remaining.refusals--
				m.reply(i, ReadFailed{})
			}))
		}
		return next
	case WriteRow:
		return m.performWrite(i, action, successor)
	case ChoosePlacement:
		s := (i + c.execution.claims) % modelServers
		return []modelState{successor("", func(m *modelState) {
			m.reply(i, Placed{Placement: Placement{
				Server:      fmt.Sprint(s),
				Incarnation: incarnation(s, m.sidecars[s].process),
				WindowEnd:   m.clock + 1,
			}})
		})}
	case Dispatch:
		return m.performDispatch(i, action, successor)
	case SealClaim:
		return m.performSeal(i, action, successor)
	case Wait:
		return []modelState{successor("", func(m *modelState) { m.reply(i, Waited{}) })}
	}
	panic(fmt.Sprintf("the model does not support the action %T", c.action))
}

// performWrite returns the states after a WriteRow action.
func (m modelState) performWrite(i int, action WriteRow, successor func(string, func(*modelState)) modelState) []modelState {
	next := []modelState{successor(fmt.Sprintf(" %s %s at %d", action.Row.State, action.Row.Token, action.Version), func(m *modelState) {
		var event Event = Written{}
		if !m.apply(action) {
			event = WriteFailed{Failure: WriteConflict}
		}
		m.callers[i].runsAtLastAccess = len(m.runs)
		m.reply(i, event)
	})}
	if m.remaining.lostAnswers > 0 {
		next = append(next, successor(" answer lost", func(m *modelState) {
			m.remaining.lostAnswers--
			m.apply(action)
			m.reply(i, WriteFailed{Failure: WriteUnknown})
		}))
	}
	if m.remaining.delayedWrites > 0 {
		next = append(next, successor(" delayed", func(m *modelState) {
			m.remaining.delayedWrites--
			m.pending = append(m.pending, action)
			m.reply(i, WriteFailed{Failure: WriteUnknown})
		}))
	}
	if m.remaining.refusals > 0 {
		next = append(next, successor(" refused", func(m *modelState) {
			m.remaining.refusals--
			m.reply(i, WriteFailed{Failure: WriteRefused})
		}))
	}
	return next
}

// performDispatch returns the states after a Dispatch action.
func (m modelState) performDispatch(i int, action Dispatch, successor func(string, func(*modelState)) modelState) []modelState {
	s := serverOf(action.Claim)
	next := []modelState{successor(" "+action.Claim.Token, func(m *modelState) { m.start(i, s, action.Claim) })}
	if m.remaining.declines > 0 {
		next = append(next, successor(" declined", func(m *modelState) {
			m.remaining.declines--
			m.reply(i, NotRun{Reason: amrreason.Overloaded, RetryElsewhere: true})
		}))
	}
	if m.remaining.cuts > 0 {
		next = append(next, successor(" connection cut after", func(m *modelState) {
			m.remaining.cuts--
			m.start(i, s, action.Claim)
			m.callers[i].waiting = ""
			m.reply(i, ConnectionLost{})
		}), successor(" connection cut before", func(m *modelState) {
			m.remaining.cuts--
			m.reply(i, ConnectionLost{})
		}))
	}
	return next
}

// start passes a dispatched claim to the sidecar, which starts or declines it.
func (m *modelState) start(i, s int, claim Row) {
	sidecar := &m.sidecars[s]
	if m.flaw == flawIgnoreWindow && claim.Incarnation == sidecar.claims.incarnation {
		claim.WindowEnd = m.clock + 1
	}
	ok, reason, ran := sidecar.claims.Start(m.clock, claimOf(claim))
	m.callers[i].action = nil
	switch {
	case ok:
		m.runs = append(m.runs, claim.Token)
		sidecar.running = append(sidecar.running, claim.Token)
		m.callers[i].waiting = claim.Token
	case ran == amrreason.NotRun:
		m.reply(i, NotRun{Reason: reason, RetryElsewhere: true})
	default:
		m.reply(i, Interrupted{Reason: reason})
	}
}

// performSeal returns the states after a SealClaim action.
func (m modelState) performSeal(i int, action SealClaim, successor func(string, func(*modelState)) modelState) []modelState {
	s := serverOf(action.Claim)
	var next []modelState
	if sealed := successor(" "+action.Claim.Token, func(m *modelState) { m.seal(i, s, action.Claim) }); sealed.remaining.seals >= 0 {
		next = append(next, sealed)
	}
	if m.remaining.unreachable > 0 {
		next = append(next, successor(" unreachable", func(m *modelState) {
			m.remaining.unreachable--
			m.reply(i, SealUnanswered{})
		}))
	}
	return next
}

// seal passes a seal request to the sidecar and its outcome to the caller. With
// the flaws that concern sealing, the sidecar forgets the seal or the outcome is
// changed.
func (m *modelState) seal(i, s int, claim Row) {
	claims := m.sidecars[s].claims
	if m.flaw == flawForgetSeals || m.flaw == flawIgnoreWindow {
		claims = cloneClaims(claims)
	}
	outcome, answer := claims.Seal(m.clock, claimOf(claim))
	if outcome == SealOtherIncarnation && m.flaw == flawTrustRestart {
		outcome = SealNeverRan
	}
	if outcome == SealNeverRan {
		m.remaining.seals--
	}
	m.reply(i, SealAnswered{Outcome: outcome, Answer: answer})
}

func serverOf(claim Row) int {
	return int(claim.Server[0] - '0')
}

func claimOf(row Row) Claim {
	return Claim{Token: row.Token, Fence: row.Fence, Incarnation: row.Incarnation, WindowEnd: row.WindowEnd}
}
