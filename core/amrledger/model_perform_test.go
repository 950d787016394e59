package amrledger

import (
	"fmt"

	"amaranthreach.example/core/amrreason"
)

// perform returns the worlds in which a caller's action was carried out.
func (w world) perform(i int) []world {
	c := w.callers[i]
	name := fmt.Sprintf("%d does %T", i, c.action)
	one := func(what string, f func(*world)) world { return w.step(name+what, f) }
	switch action := c.action.(type) {
	case ReadRow:
		next := []world{one("", func(w *world) {
			w.callers[i].runsAtOp = len(w.runs)
			w.reply(i, RowRead{Row: w.row, Version: w.version})
		})}
		if w.left.refused > 0 {
			next = append(next, one(" refused", func(w *world) {
				w.left.refused--
				w.reply(i, ReadFailed{})
			}))
		}
		return next
	case WriteRow:
		return w.performWrite(i, action, one)
	case ChoosePlace:
		s := (i + c.execution.claims) % modelServers
		return []world{one("", func(w *world) {
			w.reply(i, Placed{Place: Place{
				Server:      fmt.Sprint(s),
				Incarnation: incarnation(s, w.sidecars[s].process),
				WindowEnd:   w.clock + 1,
			}})
		})}
	case Dispatch:
		return w.performDispatch(i, action, one)
	case SealClaim:
		return w.performSeal(i, action, one)
	case Wait:
		return []world{one("", func(w *world) { w.reply(i, Waited{}) })}
	}
	panic(fmt.Sprintf("the model does not know %T", c.action))
}

func (w world) performWrite(i int, action WriteRow, one func(string, func(*world)) world) []world {
	next := []world{one(fmt.Sprintf(" %s %s at %d", action.Row.State, action.Row.Token, action.Version), func(w *world) {
		var event Event = Written{}
		if !w.apply(action) {
			event = WriteFailed{Failure: WriteConflict}
		}
		w.callers[i].runsAtOp = len(w.runs)
		w.reply(i, event)
	})}
	if w.left.lost > 0 {
		next = append(next, one(" answer lost", func(w *world) {
			w.left.lost--
			w.apply(action)
			w.reply(i, WriteFailed{Failure: WriteUnknown})
		}))
	}
	if w.left.late > 0 {
		next = append(next, one(" late", func(w *world) {
			w.left.late--
			w.pending = append(w.pending, action)
			w.reply(i, WriteFailed{Failure: WriteUnknown})
		}))
	}
	if w.left.refused > 0 {
		next = append(next, one(" refused", func(w *world) {
			w.left.refused--
			w.reply(i, WriteFailed{Failure: WriteRefused})
		}))
	}
	return next
}

func (w world) performDispatch(i int, action Dispatch, one func(string, func(*world)) world) []world {
	s := serverOf(action.Claim)
	next := []world{one(" "+action.Claim.Token, func(w *world) { w.start(i, s, action.Claim) })}
	if w.left.declines > 0 {
		next = append(next, one(" declined", func(w *world) {
			w.left.declines--
			w.reply(i, NotRun{Reason: amrreason.Overloaded, Elsewhere: true})
		}))
	}
	if w.left.cuts > 0 {
		next = append(next, one(" cut after", func(w *world) {
			w.left.cuts--
			w.start(i, s, action.Claim)
			w.callers[i].waiting = ""
			w.reply(i, ConnectionLost{})
		}), one(" cut before", func(w *world) {
			w.left.cuts--
			w.reply(i, ConnectionLost{})
		}))
	}
	return next
}

// start lets the sidecar decide on a claim that reached it.
func (w *world) start(i, s int, claim Row) {
	sidecar := &w.sidecars[s]
	if w.flaw == flawIgnoreWindow && claim.Incarnation == sidecar.claims.incarnation {
		claim.WindowEnd = w.clock + 1
	}
	ok, reason, ran := sidecar.claims.Start(w.clock, claimOf(claim))
	w.callers[i].action = nil
	switch {
	case ok:
		w.runs = append(w.runs, claim.Token)
		sidecar.running = append(sidecar.running, claim.Token)
		w.callers[i].waiting = claim.Token
	case ran == amrreason.NotRun:
		w.reply(i, NotRun{Reason: reason, Elsewhere: true})
	default:
		w.reply(i, Broken{Reason: reason})
	}
}

func (w world) performSeal(i int, action SealClaim, one func(string, func(*world)) world) []world {
	s := serverOf(action.Claim)
	var next []world
	if sealed := one(" "+action.Claim.Token, func(w *world) { w.seal(i, s, action.Claim) }); sealed.left.seals >= 0 {
		next = append(next, sealed)
	}
	if w.left.unreachable > 0 {
		next = append(next, one(" unreachable", func(w *world) {
			w.left.unreachable--
			w.reply(i, SealUnanswered{})
		}))
	}
	return next
}

// seal lets the sidecar answer a seal.
func (w *world) seal(i, s int, claim Row) {
	claims := w.sidecars[s].claims
	if w.flaw == flawForgetSeals || w.flaw == flawIgnoreWindow {
		claims = cloneClaims(claims)
	}
	outcome, answer := claims.Seal(w.clock, claimOf(claim))
	if outcome == SealOtherIncarnation && w.flaw == flawTrustRestart {
		outcome = SealNeverRan
	}
	if outcome == SealNeverRan {
		w.left.seals--
	}
	w.reply(i, SealAnswered{Outcome: outcome, Answer: answer})
}

func serverOf(claim Row) int {
	return int(claim.Server[0] - '0')
}

func claimOf(row Row) Claim {
	return Claim{Token: row.Token, Fence: row.Fence, Incarnation: row.Incarnation, WindowEnd: row.WindowEnd}
}
