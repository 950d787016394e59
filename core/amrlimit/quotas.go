package amrlimit

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrroute"
)

// Quotas keeps the requests of teams within their quotas, together with the Quotas of all
// other routers. It does no I/O and is not safe for concurrent use. Its times must be those
// of a clock that counts suspensions of the host. Create it with NewQuotas.
//
// Each registered router owns an equal part of each quota, which accrues in one place only:
// at the coordinator of the team's group, to which the router lends its parts for a second
// at a time, or at the router itself while it reaches no coordinator. Whatever fails,
// credit is lost and never doubled.
type Quotas struct {
	self      amrgossip.HostID
	startedAt time.Time
	allowance Allowance
	phase     float64 // From 0 to 1, differs between routers.
	sequence  uint32

	registered bool // This router is among the registered ones.
	routers    []QuotaRouter
	ranking    [quotaGroups][]amrgossip.HostID // Routers that may coordinate the group, the first ones first.
	teams      map[TeamID]*team
	byGroup    [quotaGroups][]*team
	lending    [quotaGroups]lending
	lenders    [quotaGroups]*lenders
	reach      map[amrgossip.HostID]*reach
	clocks     map[amrgossip.HostID]*lenderClock
	asks       map[uint32]*ask
	counts     QuotaCounts
	changes    []CoordinatorChange
}

// team is what a router knows of a team with a quota.
type team struct {
	id       TeamID
	pool     pool
	balance  balance
	demand   demand
	returns  float64 // Credit to give back.
	starting bool    // The credit for the start of this router was not given yet.
	fetching int     // Queries in progress for credit in advance.
	fetchAt  time.Time
	refusals refusals
}

// refusals limits the queries for a team that sends far more than its quota.
type refusals struct {
	since  time.Time // Start of the second in which refusals are counted.
	count  int
	until  time.Time // Time until which the router refuses requests itself.
	nextAt time.Time // Time after which the next of their callers may come back.
}

// ask is a query to a coordinator.
type ask struct {
	to      amrgossip.HostID
	request QuotaRequest // Without a weight, if only credit in advance is requested.
	tries   int
	sentAt  time.Time
	waiting bool // A request waits for the reply.
}

// QuotaCounts are numbers of events since the last call of TakeCounts.
type QuotaCounts struct {
	Granted, Refused, Lent, NoReply int
}

// NewQuotas returns the quotas of the router on the host, which starts now.
func NewQuotas(host amrgossip.HostID, now time.Time) *Quotas {
	q := &Quotas{
		self: host, startedAt: now, phase: float64(host) / (1 << 32),
		sequence: rand.Uint32N(1 << 15), // Differs from that of an earlier incarnation.
		teams:    make(map[TeamID]*team), reach: make(map[amrgossip.HostID]*reach),
		clocks: make(map[amrgossip.HostID]*lenderClock), asks: make(map[uint32]*ask),
	}
	for g := range q.lenders {
		q.lenders[g] = &lenders{until: make(map[amrgossip.HostID]time.Time)}
	}
	return q
}

// SetAllowance sets what teams may use beyond their quotas. The default is nothing.
func (q *Quotas) SetAllowance(a Allowance) {
	q.allowance = a
}

// SetQuotas sets the quotas of the teams. A lower quota limits the credit that was there
// before at once.
func (q *Quotas) SetQuotas(now time.Time, quotas map[TeamID]amrroute.Quota) {
	for id := range q.teams {
		if _, ok := quotas[id]; !ok {
			delete(q.teams, id)
			q.forgetFetches(id)
		}
	}
	for id, quota := range quotas {
		l := q.lenders[id.group()]
		l.advance(now)
		t := q.teams[id]
		if t == nil {
			q.teams[id] = &team{id: id, pool: pool{quota: quota, lent: l.lent}, starting: now.Sub(q.startedAt) < startTime}
			continue
		}
		if old := t.pool.quota; quota.PerSecond < old.PerSecond || quota.InTokens != old.InTokens {
			t.balance.scale(min(1, quota.PerSecond/old.PerSecond))
		}
		t.pool.setQuota(now, l, quota)
	}
	q.byGroup = [quotaGroups][]*team{}
	for _, id := range slices.Sorted(maps.Keys(q.teams)) {
		q.byGroup[id.group()] = append(q.byGroup[id.group()], q.teams[id])
	}
}

// forgetFetches removes the queries for credit in advance of a team whose quota was removed.
// Their ends must not count for a later quota of the team.
func (q *Quotas) forgetFetches(id TeamID) {
	maps.DeleteFunc(q.asks, func(_ uint32, a *ask) bool { return a.request.Team == id && a.request.Weight == 0 })
}

// Limited reports whether the team has a quota.
func (q *Quotas) Limited(id TeamID) bool {
	return q.teams[id] != nil
}

// Take decides whether the request may run now.
func (q *Quotas) Take(now time.Time, r QuotaRequest) QuotaDecision {
	t := q.teams[r.Team]
	if t == nil {
		return QuotaDecision{}
	}
	t.demand.record(now, r.Weight)
	if t.balance.take(now, r.Weight) {
		return q.admitted()
	}
	if now.Before(t.refusals.until) {
		t.refusals.nextAt = t.nextRefused(r)
		return q.refused(min(t.refusals.nextAt.Sub(now), maxWait))
	}
	return q.ask(now, t, r, 1)
}

// nextRefused returns the time after which the caller of a request may come back that the
// router refuses itself.
func (t *team) nextRefused(r QuotaRequest) time.Time {
	return t.refusals.nextAt.Add(seconds(r.Weight / t.pool.quota.PerSecond))
}

// ask asks the coordinator for credit for the request.
func (q *Quotas) ask(now time.Time, t *team, r QuotaRequest, tries int) QuotaDecision {
	host := q.coordinator(t.id.group())
	if host == q.self {
		return q.takeOwn(now, t, r)
	}
	ahead := max(0, t.demand.ahead(now)-t.balance.sum(now))
	return q.send(now, host, &ask{to: host, request: r, tries: tries, sentAt: now, waiting: true}, ahead)
}

// takeOwn decides on the request with the credit of the own pool.
func (q *Quotas) takeOwn(now time.Time, t *team, r QuotaRequest) QuotaDecision {
	l := q.lenders[t.id.group()]
	l.advance(now)
	if _, wait := t.pool.take(now, l, r, 0, q.phase); wait > 0 {
		return q.refused(wait)
	}
	return q.admitted()
}

// send returns the query to the coordinator as a message.
func (q *Quotas) send(now time.Time, to amrgossip.HostID, a *ask, ahead float64) QuotaDecision {
	q.sequence++
	q.asks[q.sequence] = a
	m := amrgossip.QuotaMessage{
		Asks: []amrgossip.QuotaAsk{{
			Sequence: q.sequence, Team: uint32(a.request.Team), Need: uint64(math.Ceil(100 * a.request.Weight)), Ahead: hundredths(ahead),
			Priority: a.request.Priority, Caller: a.request.Caller, MaxWait: int(a.request.MaxWait.Milliseconds()),
		}},
		Loan: q.renewal(now, to, minLoanInterval),
	}
	timeout := q.reachOf(to).timeout()
	if a.tries == maxAskTries {
		timeout = lastReplyTimeout
	}
	return QuotaDecision{Result: QuotaAsked, Sequence: q.sequence, Timeout: timeout, Query: QuotaMail{To: to, Message: m}}
}

// NoReply decides on a request whose query was not answered in time: the query is sent
// again, or the own pool decides.
func (q *Quotas) NoReply(now time.Time, sequence uint32) QuotaDecision {
	a := q.asks[sequence]
	if a == nil || !a.waiting {
		return q.refused(noReplyWait)
	}
	a.waiting = false // Credit that arrives late serves other requests.
	q.reachOf(a.to).timedOut(now)
	t := q.teams[a.request.Team]
	if t == nil {
		return QuotaDecision{}
	}
	if t.balance.take(now, a.request.Weight) {
		return q.admitted()
	}
	if a.tries < maxAskTries {
		return q.ask(now, t, a.request, a.tries+1)
	}
	q.counts.NoReply++
	d := q.takeOwn(now, t, a.request)
	d.NoReply = true
	if d.Result == QuotaRefused {
		// Until the loan is over, neither this router nor the next coordinator has its credit.
		rest := max(0, q.lending[t.id.group()].until.Sub(now))
		d.RetryAfter = rest + noReplyWait + time.Duration(rand.Int64N(int64(noReplyWait)))
	}
	return d
}

// Cancel records that the request no longer waits for the reply to its query. Credit that
// is granted serves other requests.
func (q *Quotas) Cancel(sequence uint32) {
	if a := q.asks[sequence]; a != nil {
		a.waiting = false
	}
}

// Return gives back the credit of a request that was admitted and did not run.
func (q *Quotas) Return(now time.Time, id TeamID, weight float64) {
	if t := q.teams[id]; t != nil {
		t.balance.add(weight, now.Add(aheadTime))
	}
}

// TakeCounts returns the numbers of events since the last call.
func (q *Quotas) TakeCounts() QuotaCounts {
	c := q.counts
	q.counts = QuotaCounts{}
	return c
}

// hundredths returns credit as in messages, rounded down.
func hundredths(credit float64) uint64 {
	return uint64(math.Floor(100 * max(credit, 0)))
}

func (q *Quotas) admitted() QuotaDecision {
	q.counts.Granted++
	return QuotaDecision{Result: QuotaAdmitted}
}

func (q *Quotas) refused(wait time.Duration) QuotaDecision {
	q.counts.Refused++
	return QuotaDecision{Result: QuotaRefused, RetryAfter: max(wait, time.Millisecond)}
}
