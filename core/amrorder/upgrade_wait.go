package amrorder

import "time"

// WaitReason says why a server with old weights does not load the new ones now.
type WaitReason string

// The reasons.
const (
	WaitTurn       WaitReason = "turn"        // Other servers change first.
	WaitDraining   WaitReason = "draining"    // It gets no new weights.
	WaitOtherOrder WaitReason = "other-order" // Another host has ordered it a short time ago.
	WaitRetry      WaitReason = "retry"       // Its last change has just failed.
	WaitRequests   WaitReason = "requests"    // Its change has begun, and its requests are completing.
	WaitLoadSlot   WaitReason = "load-slot"   // It could load, but others are loading.
	WaitLoad       WaitReason = "load"        // It is loading.
	WaitNoReport   WaitReason = "no-report"   // Its change has begun, and it does not report its state.
)

// Wait returns the reason why the server, which has old weights, does not load the new ones
// at time now.
func (u *Upgrade) Wait(now time.Time, s UpgradeServer) WaitReason {
	c := u.running[s.Name]
	switch {
	case s.Draining:
		return WaitDraining
	case c != nil:
		return c.wait(now)
	case s.Blocked:
		return WaitOtherOrder
	case now.Before(u.retryAt[s.Name]):
		return WaitRetry
	}
	return WaitTurn
}

// wait returns the reason for which the change has not ended.
func (c *change) wait(now time.Time) WaitReason {
	switch {
	case c.reached(ChangeLoading):
		return WaitLoad
	case c.reached(ChangeReady):
		return WaitLoadSlot
	case c.silent(now):
		return WaitNoReport
	}
	return WaitRequests
}
