package amrlimit

import (
	"time"

	"amaranthreach.example/core/amrroute"
)

const (
	// startTime is the time after the start of a router within which quotas that are set
	// count as those that were in force before.
	startTime = time.Second

	// startShare is the share of the allowance that all routers together add to a quota
	// when they start. All routers may be killed twice in a window.
	startShare = 0.5
)

// Allowance is what teams may use beyond their quotas in any window, over all routers.
type Allowance struct {
	Share  float64       // Share of what the quota allows in the window.
	Tokens float64       // Tokens in addition, for quotas in tokens.
	Window time.Duration // Length of the sliding window.
}

// of returns what the allowance adds to the quota in a window.
func (a Allowance) of(quota amrroute.Quota) float64 {
	credit := a.Share * (quota.PerSecond*a.Window.Seconds() + quota.Burst)
	if quota.InTokens {
		credit += a.Tokens
	}
	return credit
}

// startCredit returns this router's part of the credit that a team gets when routers
// start. Their pools are empty then, while the callers who could not reach any router all
// come at once. Routers do not know what was used before, so the credit comes out of the
// allowance.
func (q *Quotas) startCredit(t *team) float64 {
	if !t.starting || q.lending[t.id.group()].until.IsZero() {
		return 0
	}
	t.starting = false
	return startShare * q.allowance.of(t.pool.quota) / float64(len(q.routers))
}
