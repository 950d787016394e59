package amrforward

import (
	"time"

	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
)

// Preview is what is known of a request before its quota and its server are decided.
type Preview struct {
	Route    string // Name of the route; empty if there is none.
	Team     string
	Pool     string
	Priority int // 0 is the most urgent.
	TimeLeft time.Duration
	Placed   amrpool.Request // Criteria by which its server is selected.
	Quota    *QuotaRequest   // Nil if the team has no quota.
	Refusal  *Refusal        // Nil unless the request would be refused without regard to quotas and servers.

	exchange *exchange
}

// Refusal is how a request would be refused.
type Refusal struct {
	Code       amrreason.Code
	Status     int           // Of the HTTP response.
	RetryAfter time.Duration // 0 if the response names none.
	Detail     string
}

// exported returns the refusal in the form of a preview.
func (r *refusal) exported() *Refusal {
	return &Refusal{Code: r.code, Status: r.status(), RetryAfter: r.retryAfter, Detail: r.detail}
}

// Preview returns how Serve would begin with the request. It sends and records nothing. The
// content of the request counts as new, since the body is part of it: whether the content is
// quarantined is not checked, and a caller has no turn of the quota from an earlier refusal.
// The origin of a stream that is taken up is not looked for.
func (f *Forwarder) Preview(r *Request) Preview {
	x := &exchange{f: f, request: r, started: f.clock.Now(), startedBoot: f.boot.Now(), table: f.Table()}
	p := Preview{exchange: x}
	refused := x.resolve()
	if x.route != nil {
		p.Route = x.route.Name
	}
	if refused != nil {
		p.Refusal = refused.exported()
		return p
	}
	if x.team != nil {
		p.Team = x.team.Name
	}
	p.Pool, p.Priority, p.TimeLeft, p.Placed = x.pool, x.priority, x.timeLeft(), x.poolRequest()
	if weight := x.quotaWeight(); weight > 0 {
		q := x.quotaRequest(weight)
		p.Quota = &q
	}
	if q, left, refused := f.parts.Peek(x.started, x.suspects); refused {
		p.Refusal = x.refusalForPart(x.started, q, left).exported()
	}
	return p
}

// Denied returns the refusal of the request if its server is denied.
func (p Preview) Denied(d amrpool.Denial) *Refusal {
	return p.exchange.denied(d).exported()
}

// OverQuota returns the refusal of the request if its quota allows no run.
func (p Preview) OverQuota(retryAfter time.Duration) *Refusal {
	return p.exchange.overQuota(retryAfter).exported()
}
