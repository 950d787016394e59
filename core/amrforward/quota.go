package amrforward

import (
	"context"
	"fmt"
	"time"

	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrroute"
	"amaranthreach.example/core/amrsuspect"
)

// Quotas keeps the requests of teams within their quotas.
type Quotas interface {
	// Take takes credit for one run of the request. It returns false, and the time after
	// which the caller may come back, if the quota of the team allows none. It may block for
	// some milliseconds.
	Take(ctx context.Context, r QuotaRequest) (retryAfter time.Duration, admitted bool)

	// GiveBack returns credit for a run that did not take place.
	GiveBack(r QuotaRequest)
}

// QuotaRequest is a request of a team that has a quota.
type QuotaRequest struct {
	Team     string
	Weight   float64 // What a run counts towards the quota.
	InTokens bool    // Whether the quota is in tokens.
	Priority int     // 0 is the most urgent.
	Content  amrsuspect.Fingerprint

	// MaxWait is the longest time after which the caller comes back if the request is refused.
	MaxWait time.Duration
}

// WithQuotas sets what keeps teams within their quotas. The default admits all requests.
func WithQuotas(q Quotas) Option {
	return func(f *Forwarder) { f.quotas = q }
}

// WithReturnShare sets how long callers wait for a retry at most, as a share of the time left
// until their deadline. A refused caller gets a turn of its quota only within that time, since
// credit that is kept for longer would not be used. 0 selects the default of 1.
func WithReturnShare(share float64) Option {
	return func(f *Forwarder) { f.returnShare = share }
}

// maxWait returns the longest time after which the caller comes back if the request is
// refused now.
func (x *exchange) maxWait() time.Duration {
	left := max(x.timeLeft(), time.Millisecond)
	if x.f.returnShare <= 0 {
		return left
	}
	return max(time.Duration(x.f.returnShare*float64(left)), time.Millisecond)
}

// quotaWeight returns what a run of the request counts towards the quota of its team, or 0
// if the team has none.
func (x *exchange) quotaWeight() float64 {
	if x.team == nil || x.f.quotas == nil || !x.team.Quota.Limited() {
		return 0
	}
	return x.team.Quota.Weight(x.request.PromptTokens + x.request.OutputTokens)
}

// takeCredit takes credit for the next send. After a send that did not run the request,
// its credit is still there. It returns a refusal if the quota allows no run.
func (x *exchange) takeCredit(ctx context.Context) *refusal {
	weight := x.quotaWeight()
	if weight == 0 || x.credits > x.possibleRuns {
		return nil
	}
	retryAfter, admitted := x.f.quotas.Take(ctx, x.quotaRequest(weight))
	if admitted {
		x.credits++
		return nil
	}
	if ctx.Err() != nil {
		return x.refusalForContext(ctx)
	}
	return x.overQuota(retryAfter)
}

// overQuota returns the refusal of a request for which the quota of its team allows no run.
func (x *exchange) overQuota(retryAfter time.Duration) *refusal {
	return x.refusal(amrreason.TeamLimit, retryAfter, quotaDetail(x.team))
}

// quotaRequest returns the request with the weight of its runs.
func (x *exchange) quotaRequest(weight float64) QuotaRequest {
	return QuotaRequest{Team: x.team.Name, Weight: weight, InTokens: x.team.Quota.InTokens, Priority: x.priority, Content: x.fingerprint, MaxWait: x.maxWait()}
}

// quotaDetail describes the quota of the team.
func quotaDetail(team *amrroute.Team) string {
	unit := "requests"
	if team.Quota.InTokens {
		unit = "tokens"
	}
	return fmt.Sprintf("team %s has used up its quota of %g %s a second", team.Name, team.Quota.PerSecond, unit)
}

// giveBack returns the credit that was taken for sends which did not run the request.
func (x *exchange) giveBack() {
	unused := x.credits - x.possibleRuns
	for _, s := range x.sends {
		if s.result == amrpool.Completed {
			unused--
		}
	}
	if unused > 0 {
		x.f.quotas.GiveBack(x.quotaRequest(float64(unused) * x.quotaWeight()))
		x.credits -= unused
	}
}
