package amrlimit

import (
	"time"

	"amaranthreach.example/core/amrroute"
)

// pool is the credit of a team at its coordinator. It accrues with the parts of the quota
// that routers have lent to the coordinator, and never exceeds the burst of these parts.
type pool struct {
	quota    amrroute.Quota
	credit   float64 // Negative after a request larger than the pool.
	lent     float64 // Value of lenders.lent up to which credit has accrued.
	turns    turns
	urgency  urgency
	ahead    []aheadGrant // Grants in advance that may not have been used yet.
	overflow float64      // Weight of the requests refused without a turn that may come back.

	refusedAt time.Time // Time of the last refusal for lack of credit.
}

// aheadGrant is credit that was granted in advance.
type aheadGrant struct {
	at     time.Time
	credit float64
}

// advance adds the credit that has accrued, and ends turns that nobody has taken.
func (p *pool) advance(now time.Time, l *lenders) {
	accrued := p.quota.PerSecond * (l.lent - p.lent)
	p.lent = l.lent
	p.credit += accrued
	p.turns.lapse(now)
	p.overflow = max(0, p.overflow-accrued)
	for len(p.ahead) > 0 && now.Sub(p.ahead[0].at) >= aheadLife {
		p.ahead = p.ahead[1:]
	}
	p.clip(now, l)
}

// turnRate returns the rate at which credit for turns accrues. The rest of the quota is left
// to the most urgent requests, and to requests that arrive while others wait for their turns.
func (p *pool) turnRate(now time.Time, l *lenders) float64 {
	share := maxTurnShare * (1 - p.urgency.share(now, p.quota.PerSecond))
	return p.quota.PerSecond * l.share() * share
}

// kept returns the credit that must be kept for turns now.
func (p *pool) kept(now time.Time, l *lenders) float64 {
	return min(p.turns.creditNeeded(now, p.turnRate(now, l)), max(p.credit, 0))
}

// free returns the credit that is not kept for turns.
func (p *pool) free(now time.Time, l *lenders) float64 {
	return p.credit - p.kept(now, l)
}

// clip removes free credit beyond what the parts lent may hold. Credit that is kept for
// turns or that routers hold in advance counts too.
func (p *pool) clip(now time.Time, l *lenders) {
	kept := p.kept(now, l)
	most := p.size(l) - kept - p.inAdvance()
	most = max(most, p.quota.PerSecond*minPoolTime.Seconds()*l.share())
	p.credit = min(p.credit, kept+most)
}

// inAdvance returns the credit that was granted in advance and may not have been used yet.
func (p *pool) inAdvance() float64 {
	sum := 0.0
	for _, g := range p.ahead {
		sum += g.credit
	}
	return sum
}

// full reports whether the pool holds all that it may, so that further credit is lost
// unless some is used. This occurs if many callers do not come back for their turns.
func (p *pool) full(l *lenders) bool {
	return p.credit+p.inAdvance() >= fullShare*p.size(l)
}

// fullShare is the share of its size from which a pool counts as full.
const fullShare = 0.95

// size returns the credit that the pool may hold.
func (p *pool) size(l *lenders) float64 {
	return (p.quota.Burst + p.quota.PerSecond*poolTime.Seconds()) * l.share()
}

// take decides on the request, for which further credit is requested in advance. It returns
// the credit that is granted, or the time after which the request may come back. The weight
// is 0 if only credit in advance is requested. The phase spreads the requests larger than
// the pool over the routers of a fleet that is cut into pieces.
func (p *pool) take(now time.Time, l *lenders, r QuotaRequest, ahead, phase float64) (granted float64, wait time.Duration) {
	p.advance(now, l)
	reserve := 0.0
	urgent := false
	if r.Weight > 0 {
		p.urgency.record(now, r.Priority, r.Weight)
	}
	if p.urgency.mixed(now) {
		urgent = p.urgency.most(now) >= r.Priority
		if !urgent {
			reserve = urgentReserve * p.size(l)
		}
	}
	need := min(r.Weight, p.size(l))
	if r.Weight > 0 {
		if wait := p.admit(now, l, r, need, reserve, urgent, phase); wait > 0 {
			return 0, wait
		}
	}
	if now.Sub(p.refusedAt) < noAheadTime {
		ahead = 0
	}
	if extra := min(ahead, (p.free(now, l)-reserve)/2); extra > 0 {
		p.credit -= extra
		p.ahead = append(p.ahead, aheadGrant{at: now, credit: extra})
		return r.Weight + extra, 0
	}
	return r.Weight, 0
}

// admit takes the weight of the request from the pool if the needed credit is there, and
// otherwise returns the time after which the request may come back.
func (p *pool) admit(now time.Time, l *lenders, r QuotaRequest, need, reserve float64, urgent bool, phase float64) time.Duration {
	rate := p.quota.PerSecond * l.share()
	if rate <= 0 {
		return noReplyWait
	}
	if r.Weight > need && l.share() < 0.5 && p.quota.PerSecond*(l.lent-l.lentBefore) < phase*r.Weight {
		return seconds((phase*r.Weight - p.quota.PerSecond*(l.lent-l.lentBefore)) / rate)
	}
	if own := p.turns.indexOf(now, r.Caller); own >= 0 {
		return p.claim(now, r, need, p.turns.remove(own), rate)
	}
	if p.free(now, l)-reserve >= need || p.credit >= need && (p.full(l) || urgent && !p.turns.has(r.Priority)) {
		p.credit -= r.Weight
		return 0
	}
	if urgent {
		return p.refuse(now, r, need, (p.turns.keptFor(r.Priority)+need-p.credit)/rate)
	}
	missing := p.turns.keptFor(priorities) + p.overflow + need - p.credit
	if len(p.turns.list) > 0 { // Free credit does not shorten the wait for the last turn.
		missing += max(p.free(now, l), 0)
	} else {
		missing += min(reserve, max(p.credit, 0))
	}
	return p.refuse(now, r, need, missing/p.turnRate(now, l))
}

// claim takes the weight of the request, whose turn has come, from the pool. If credit has
// accrued more slowly than expected, or more urgent requests took it, the request gets a
// later turn.
func (p *pool) claim(now time.Time, r QuotaRequest, need float64, own turn, rate float64) time.Duration {
	if p.credit >= need-rounding {
		p.credit -= r.Weight
		return 0
	}
	p.refusedAt = now
	wait := max(seconds((need-p.credit)/rate), time.Millisecond)
	own.at = now.Add(wait)
	p.turns.add(own)
	return wait
}

// refuse returns the time after which the request may come back, which is the given number of
// seconds within bounds. The request gets a turn unless its caller does not wait for so long,
// or the time exceeds maxTurnWait.
func (p *pool) refuse(now time.Time, r QuotaRequest, need, wait float64) time.Duration {
	p.refusedAt = now
	until := min(max(seconds(wait), time.Millisecond), maxWait)
	switch {
	case r.MaxWait > 0 && until > r.MaxWait: // The caller will have given up by then.
	case until > maxTurnWait:
		p.overflow += r.Weight
	default:
		p.turns.add(turn{at: now.Add(until), kept: need, priority: r.Priority, caller: r.Caller})
	}
	return until
}

// setQuota sets the quota. Turns were given by the old one, and end.
func (p *pool) setQuota(now time.Time, l *lenders, quota amrroute.Quota) {
	p.advance(now, l)
	if quota != p.quota {
		p.quota, p.turns, p.overflow = quota, turns{}, 0
	}
	p.clip(now, l)
}

// giveBack adds credit that a router has not used.
func (p *pool) giveBack(now time.Time, l *lenders, credit float64) {
	p.advance(now, l)
	p.credit += credit
	p.clip(now, l)
}

// rounding is the credit that may be missing because of rounded times and amounts.
const rounding = 1e-3

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
