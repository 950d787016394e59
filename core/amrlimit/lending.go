package amrlimit

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
)

// QuotaTick is the time between two calls of Quotas.Tick.
const QuotaTick = 50 * time.Millisecond

// lending tells to whom this router lends its parts of the quotas of a group.
type lending struct {
	to     amrgossip.HostID
	until  time.Time // Time from which the loan is surely over; zero if there is none.
	sentAt time.Time
}

// SetRouters sets the registered routers, this one included.
func (q *Quotas) SetRouters(now time.Time, routers []QuotaRouter) {
	if slices.Equal(q.routers, routers) {
		return // The shared table changes much more often than the routers.
	}
	q.routers = slices.Clone(routers)
	q.registered = q.isRegistered(q.self)
	for g := range quotaGroups {
		q.advanceGroup(now, g)
		q.lenders[g].retain(now, routers)
		q.ranking[g] = rankRouters(g, routers)
	}
	maps.DeleteFunc(q.reach, func(host amrgossip.HostID, _ *reach) bool { return !q.isRegistered(host) })
	maps.DeleteFunc(q.clocks, func(host amrgossip.HostID, _ *lenderClock) bool { return !q.isRegistered(host) })
}

// isRegistered reports whether the router on the host is registered.
func (q *Quotas) isRegistered(host amrgossip.HostID) bool {
	return slices.ContainsFunc(q.routers, func(r QuotaRouter) bool { return r.Host == host })
}

// rankRouters returns the routers that may coordinate the group, by weighted rendezvous
// hashing.
func rankRouters(group int, routers []QuotaRouter) []amrgossip.HostID {
	scores := make(map[amrgossip.HostID]float64)
	var hosts []amrgossip.HostID
	for _, r := range routers {
		if !r.Reachable {
			continue
		}
		capacity := r.Capacity
		if capacity <= 0 {
			capacity = 1
		}
		hash := xxh3.HashSeed(binary.LittleEndian.AppendUint32(nil, uint32(r.Host)), uint64(group))
		scores[r.Host] = math.Log((float64(hash>>11)+0.5)/(1<<53)) / capacity
		hosts = append(hosts, r.Host)
	}
	slices.SortFunc(hosts, func(a, b amrgossip.HostID) int { return cmp.Compare(scores[b], scores[a]) })
	return hosts
}

// coordinator returns the router to ask for credit of teams of the group: the one that this
// router lends its parts to, or the first one that is known to reply.
func (q *Quotas) coordinator(group int) amrgossip.HostID {
	l := &q.lending[group]
	if !l.until.IsZero() && (l.to == q.self || q.reachOf(l.to).live) {
		return l.to
	}
	return q.bestLive(group)
}

// bestLive returns the first router of the ranking that is known to reply.
func (q *Quotas) bestLive(group int) amrgossip.HostID {
	for _, host := range q.ranking[group] {
		if host == q.self || q.reachOf(host).live {
			return host
		}
	}
	return q.self
}

// Tick returns the messages that are due: loans, probes of routers that have not replied, and
// queries for credit in advance. It must be called every QuotaTick.
func (q *Quotas) Tick(now time.Time) []QuotaMail {
	if len(q.teams) == 0 {
		return nil
	}
	out := make(map[amrgossip.HostID]*amrgossip.QuotaMessage)
	for sequence, a := range q.asks {
		if now.Sub(a.sentAt) > aheadLife {
			q.drop(now, sequence, a)
		}
	}
	for g := range quotaGroups {
		if len(q.byGroup[g]) > 0 {
			q.advanceGroup(now, g)
			q.probe(now, g, out)
			q.lend(now, g, out)
		}
	}
	for _, t := range q.teams {
		t.returns += t.balance.expire(now) + q.startCredit(t)
		q.fetch(now, t, out)
	}
	q.addReturns(now, out)
	var mail []QuotaMail
	for host, m := range out {
		mail = append(mail, QuotaMail{To: host, Message: *m})
	}
	slices.SortFunc(mail, func(a, b QuotaMail) int { return cmp.Compare(a.To, b.To) })
	return mail
}

// advanceGroup accrues the credit of all pools of the group, and removes what they held
// with parts that are not lent any more.
func (q *Quotas) advanceGroup(now time.Time, group int) {
	l := q.lenders[group]
	l.advance(now)
	if l.quiet {
		return
	}
	for _, t := range q.byGroup[group] {
		t.pool.advance(now, l)
	}
	l.quiet = len(l.until) == 0
}

// probe asks routers that rank before the present coordinator of the group, and are not
// known to reply, for an acknowledgement.
func (q *Quotas) probe(now time.Time, group int, out map[amrgossip.HostID]*amrgossip.QuotaMessage) {
	sent := 0
	for _, host := range q.ranking[group] {
		if host == q.self || sent == maxProbes {
			return
		}
		r := q.reachOf(host)
		r.checkSilence(now)
		if r.live {
			return
		}
		if r.probe(now) {
			loanIn(out, host, now).Ack = true
			sent++
		}
	}
}

// lend lends this router's parts of the quotas of the group, or renews the loan. After a
// loan to another router than the best one, it waits until the loan is over.
func (q *Quotas) lend(now time.Time, group int, out map[amrgossip.HostID]*amrgossip.QuotaMessage) {
	if !q.registered {
		return // It owns no part, but may ask for credit.
	}
	l := &q.lending[group]
	best := q.bestLive(group)
	switch {
	case l.to == best && now.Sub(l.sentAt) < loanInterval && now.Before(l.until):
		return
	case l.to != best && l.to != q.self && now.Before(l.until):
		return
	case l.to != best && l.to == q.self && !l.until.IsZero():
		q.endOwnLoan(now, group, best, out)
	}
	if best == q.self {
		if now.Sub(q.startedAt) < loanLife+loanMargin {
			return // The coordinator of an earlier incarnation may still use its loan.
		}
		q.lenders[group].lend(now, q.self)
		q.setLending(group, lending{to: q.self, until: now.Add(loanLife), sentAt: now})
		return
	}
	q.lendTo(now, group, loanIn(out, best, now), best)
}

// lendTo adds the parts of the group to the loan to the router on the host.
func (q *Quotas) lendTo(now time.Time, group int, loan *amrgossip.QuotaLoan, to amrgossip.HostID) {
	loan.Groups |= 1 << group
	loan.Ack = loan.Ack || now.Sub(q.reachOf(to).heardAt) >= ackAfter
	q.setLending(group, lending{to: to, until: now.Add(loanLife + loanMargin), sentAt: now})
	q.counts.Lent++
}

// CoordinatorChange tells that this router lends its parts of the quotas of a group to
// another router than before.
type CoordinatorChange struct {
	Group int
	To    amrgossip.HostID
}

// setLending sets to whom the parts of the group are lent.
func (q *Quotas) setLending(group int, l lending) {
	if l.to != q.lending[group].to {
		q.changes = append(q.changes, CoordinatorChange{Group: group, To: l.to})
	}
	q.lending[group] = l
}

// TakeChanges returns the changes of coordinators since the last call.
func (q *Quotas) TakeChanges() []CoordinatorChange {
	changes := q.changes
	q.changes = nil
	return changes
}

// renewal returns a loan with the groups that are lent to the router on the host and were
// last lent for at least the time, or nil if there are none.
func (q *Quotas) renewal(now time.Time, to amrgossip.HostID, after time.Duration) *amrgossip.QuotaLoan {
	var loan *amrgossip.QuotaLoan
	for g := range quotaGroups {
		l := &q.lending[g]
		if l.to != to || !now.Before(l.until) || now.Sub(l.sentAt) < after || q.bestLive(g) != to {
			continue
		}
		if loan == nil {
			loan = &amrgossip.QuotaLoan{SentMS: sentMS(now)}
		}
		q.lendTo(now, g, loan, to)
	}
	return loan
}

// endOwnLoan ends the loan of this router to itself and gives the credit to the coordinator.
// What the pool has spent in advance is given too.
func (q *Quotas) endOwnLoan(now time.Time, group int, to amrgossip.HostID, out map[amrgossip.HostID]*amrgossip.QuotaMessage) {
	l := q.lenders[group]
	share := 1 / float64(max(1, len(l.until)))
	for _, t := range q.byGroup[group] {
		part := t.pool.free(now, l) * share
		t.pool.credit -= part
		loan := loanIn(out, to, now)
		loan.Returns = append(loan.Returns, amrgossip.QuotaReturn{Team: uint32(t.id), Credit: int64(math.Floor(100 * part))})
	}
	l.end(now, q.self)
}

// messageIn returns the message to the host, and creates it if needed.
func messageIn(out map[amrgossip.HostID]*amrgossip.QuotaMessage, host amrgossip.HostID) *amrgossip.QuotaMessage {
	m := out[host]
	if m == nil {
		m = &amrgossip.QuotaMessage{}
		out[host] = m
	}
	return m
}

// loanIn returns the loan in the message to the host, and creates it if needed.
func loanIn(out map[amrgossip.HostID]*amrgossip.QuotaMessage, host amrgossip.HostID, now time.Time) *amrgossip.QuotaLoan {
	m := messageIn(out, host)
	if m.Loan == nil {
		m.Loan = &amrgossip.QuotaLoan{SentMS: sentMS(now)}
	}
	return m.Loan
}

// sentMS returns the time of a message in milliseconds, which is never 0.
func sentMS(now time.Time) uint32 {
	return max(1, uint32(now.UnixMilli()))
}
