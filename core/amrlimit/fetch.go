package amrlimit

import (
	"time"

	"amaranthreach.example/core/amrgossip"
)

// drop ends a query whose reply is not expected any more.
func (q *Quotas) drop(now time.Time, sequence uint32, a *ask) {
	delete(q.asks, sequence)
	if t := q.teams[a.request.Team]; t != nil && a.request.Weight == 0 {
		t.fetching--
		q.reachOf(a.to).timedOut(now)
	}
}

// addReturns adds credit that was not used to the loans that are sent anyway.
func (q *Quotas) addReturns(now time.Time, out map[amrgossip.HostID]*amrgossip.QuotaMessage) {
	for id, t := range q.teams {
		if t.returns == 0 {
			continue
		}
		g := id.group()
		host := q.coordinator(g)
		if host == q.self {
			t.pool.giveBack(now, q.lenders[g], t.returns)
			t.returns = 0
			continue
		}
		if m := out[host]; m != nil && m.Loan != nil && len(m.Loan.Returns) < maxReturns {
			m.Loan.Returns = append(m.Loan.Returns, amrgossip.QuotaReturn{Team: uint32(id), Credit: int64(hundredths(t.returns))})
			t.returns = 0
		}
	}
}

// maxReturns is the maximum number of teams for which one message gives credit back, and
// maxAsks that of queries, which keep it within the length of a datagram.
const (
	maxReturns = 40
	maxAsks    = 20
)

// fetch asks for credit in advance for a team with a steady demand.
func (q *Quotas) fetch(now time.Time, t *team, out map[amrgossip.HostID]*amrgossip.QuotaMessage) {
	wanted := t.demand.ahead(now)
	if wanted == 0 || t.fetching > 0 || now.Before(t.refusals.until) || now.Sub(t.fetchAt) < refuseTime {
		return
	}
	host := q.coordinator(t.id.group())
	if host == q.self {
		return
	}
	have := t.balance.sum(now)
	if have > wanted/2 {
		return
	}
	if m := out[host]; m != nil && len(m.Asks) >= maxAsks {
		return
	}
	t.fetching++
	t.fetchAt = now
	d := q.send(now, host, &ask{to: host, request: QuotaRequest{Team: t.id, Priority: priorities - 1}, sentAt: now}, wanted-have)
	m := messageIn(out, host)
	m.Asks = append(m.Asks, d.Query.Message.Asks...)
	if loan := d.Query.Message.Loan; loan != nil {
		own := loanIn(out, host, now)
		own.Groups |= loan.Groups
		own.Ack = own.Ack || loan.Ack
	}
}
