package amrlimit

import (
	"maps"
	"slices"
	"time"

	"amaranthreach.example/core/amrgossip"
)

// QuotaPreview tells how Take would decide on a request now.
type QuotaPreview struct {
	Limited     bool // The team has a quota.
	Result      QuotaResult
	RetryAfter  time.Duration    // With QuotaRefused.
	Credit      float64          // Credit that this router has fetched and not used yet.
	Coordinator amrgossip.HostID // Router that decides where Credit does not suffice.
	Own         bool             // This router is the coordinator.
}

// Peek returns how Take would decide on the request now. It changes nothing. The result is
// QuotaAsked if another router decides.
func (q *Quotas) Peek(now time.Time, r QuotaRequest) QuotaPreview {
	t := q.teams[r.Team]
	if t == nil {
		return QuotaPreview{}
	}
	host := q.peekCoordinator(t.id.group())
	p := QuotaPreview{Limited: true, Credit: t.balance.sum(now), Coordinator: host, Own: host == q.self}
	balance := balance{lots: slices.Clone(t.balance.lots)}
	switch {
	case balance.take(now, r.Weight):
	case now.Before(t.refusals.until):
		p.Result, p.RetryAfter = QuotaRefused, max(min(t.nextRefused(r).Sub(now), maxWait), time.Millisecond)
	case !p.Own:
		p.Result = QuotaAsked
	default:
		l := q.lenders[t.id.group()].clone()
		l.advance(now)
		pool := t.pool.clone()
		if _, wait := pool.take(now, l, r, 0, q.phase); wait > 0 {
			p.Result, p.RetryAfter = QuotaRefused, max(wait, time.Millisecond)
		}
	}
	return p
}

// peekCoordinator returns the router that coordinator returns.
func (q *Quotas) peekCoordinator(group int) amrgossip.HostID {
	known := maps.Clone(q.reach)
	defer func() { q.reach = known }()
	return q.coordinator(group)
}

// clone returns a copy of the lenders.
func (l *lenders) clone() *lenders {
	c := *l
	c.until, c.queue = maps.Clone(l.until), slices.Clone(l.queue)
	return &c
}

// clone returns a copy of the pool.
func (p *pool) clone() *pool {
	c := *p
	c.turns.list, c.ahead = slices.Clone(p.turns.list), slices.Clone(p.ahead)
	return &c
}
