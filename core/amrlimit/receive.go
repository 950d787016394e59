package amrlimit

import (
	"time"

	"amaranthreach.example/core/amrgossip"
)

// Receive handles a message of another router. It returns the messages to answer with, and
// the decisions that waiting requests have got, by the sequence of their queries.
func (q *Quotas) Receive(now time.Time, from amrgossip.HostID, m amrgossip.QuotaMessage) (mail []QuotaMail, decided map[uint32]QuotaDecision) {
	q.reachOf(from).heard(now)
	var answer amrgossip.QuotaMessage
	if m.Loan != nil && len(q.teams) > 0 {
		q.receiveLoan(now, from, *m.Loan)
		if m.Loan.Ack {
			answer.Ack = m.Loan.SentMS
		}
	}
	for _, a := range m.Asks {
		if r, ok := q.receiveAsk(now, a); ok {
			answer.Replies = append(answer.Replies, r)
		}
	}
	for _, r := range m.Replies {
		if d, ok := q.receiveReply(now, from, r); ok {
			if decided == nil {
				decided = make(map[uint32]QuotaDecision)
			}
			decided[r.Sequence] = d
		}
	}
	if answer.Ack != 0 || len(answer.Replies) > 0 {
		mail = append(mail, QuotaMail{To: from, Message: answer})
	}
	return mail, decided
}

// receiveLoan records the loan of another router, and the credit that it gives back.
func (q *Quotas) receiveLoan(now time.Time, from amrgossip.HostID, loan amrgossip.QuotaLoan) {
	clock := q.clocks[from]
	if clock == nil {
		clock = &lenderClock{}
		q.clocks[from] = clock
	}
	if clock.delayed(now, loan.SentMS) || !q.isRegistered(from) {
		return
	}
	for g := range q.lenders {
		if loan.Groups&(1<<g) != 0 {
			q.lenders[g].lend(now, from)
		}
	}
	if len(loan.Returns) == 0 || clock.repeated(loan.SentMS) {
		return
	}
	for _, r := range loan.Returns {
		if t := q.teams[TeamID(r.Team)]; t != nil {
			l := q.lenders[t.id.group()]
			l.advance(now)
			t.pool.giveBack(now, l, float64(r.Credit)/100)
		}
	}
}

// receiveAsk decides on a query of another router. It returns false if this router knows no
// quota of the team. The other router gets no reply then.
func (q *Quotas) receiveAsk(now time.Time, a amrgossip.QuotaAsk) (amrgossip.QuotaReply, bool) {
	t := q.teams[TeamID(a.Team)]
	if t == nil {
		return amrgossip.QuotaReply{}, false
	}
	l := q.lenders[t.id.group()]
	l.advance(now)
	r := QuotaRequest{Team: t.id, Weight: float64(a.Need) / 100, Priority: a.Priority, Caller: a.Caller, MaxWait: time.Duration(a.MaxWait) * time.Millisecond}
	granted, wait := t.pool.take(now, l, r, float64(a.Ahead)/100, q.phase)
	return amrgossip.QuotaReply{Sequence: a.Sequence, Granted: hundredths(granted + rounding), WaitMS: int((wait + time.Millisecond - 1).Milliseconds())}, true
}

// receiveReply applies the reply of a coordinator. It returns the decision on the request
// that waits for it, or false if none does.
func (q *Quotas) receiveReply(now time.Time, from amrgossip.HostID, r amrgossip.QuotaReply) (QuotaDecision, bool) {
	a := q.asks[r.Sequence]
	if a == nil || a.to != from {
		return QuotaDecision{}, false // The reply came twice, or to an earlier incarnation.
	}
	delete(q.asks, r.Sequence)
	q.reachOf(from).replied(now.Sub(a.sentAt))
	t := q.teams[a.request.Team]
	if t == nil {
		return QuotaDecision{}, a.waiting
	}
	credit := float64(r.Granted) / 100
	if a.request.Weight == 0 {
		t.fetching--
	}
	if a.waiting && r.WaitMS == 0 {
		credit -= a.request.Weight
	}
	if expires := a.sentAt.Add(aheadLife); credit > 0 && now.Before(expires) {
		t.balance.add(credit, expires)
	}
	switch {
	case !a.waiting:
		return QuotaDecision{}, false
	case r.WaitMS == 0:
		return q.admitted(), true
	case t.balance.take(now, a.request.Weight): // The reply to an earlier query for the request came late.
		return q.admitted(), true
	}
	wait := time.Duration(r.WaitMS) * time.Millisecond
	t.refusals.record(now, wait)
	return q.refused(wait), true
}

// record records a refusal of a coordinator.
func (r *refusals) record(now time.Time, wait time.Duration) {
	if now.Sub(r.since) >= time.Second {
		r.since, r.count = now, 0
	}
	r.count++
	if r.count > maxRefusals {
		r.until, r.nextAt = now.Add(refuseTime), now.Add(wait)
	}
}
