package amrdirect

import (
	"context"
	"encoding/binary"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrlimit"
	"amaranthreach.example/core/amrroute"
	"amaranthreach.example/core/amrtick"
)

// quotaMessenger sends messages about quotas to other routers.
type quotaMessenger interface {
	SendQuota(to amrgossip.HostID, m amrgossip.QuotaMessage) bool
}

// quotas keeps the requests of teams within their quotas, together with the other routers.
// It implements amrforward.Quotas and amrgossip.Quotas, and is safe for concurrent use.
type quotas struct {
	clock   clockwork.Clock
	boot    amrforward.BootClock // Counts suspensions, in which loans end.
	log     *slog.Logger
	metrics *quotaMetrics

	mu        sync.Mutex
	messenger quotaMessenger // Nil until setMessenger is called.
	credit    *amrlimit.Quotas
	limited   bool          // A team has a quota.
	changed   chan struct{} // Signals that the quotas have been set.
	waiting   map[uint32]chan amrlimit.QuotaDecision
	names     map[amrgossip.HostID]string
}

func newQuotas(host string, allowance amrlimit.Allowance, clock clockwork.Clock, boot amrforward.BootClock, log *slog.Logger, registerer prometheus.Registerer) *quotas {
	q := &quotas{
		clock: clock, boot: boot, log: log, metrics: newQuotaMetrics(registerer),
		credit:  amrlimit.NewQuotas(amrgossip.IDOf(host), boot.Now()),
		waiting: make(map[uint32]chan amrlimit.QuotaDecision), changed: make(chan struct{}, 1),
	}
	q.credit.SetAllowance(allowance)
	return q
}

// setMessenger sets the messenger by which the other routers are reached.
func (q *quotas) setMessenger(m quotaMessenger) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.messenger = m
}

// setTable sets the quotas of the records in force.
func (q *quotas) setTable(t *amrroute.Table) {
	quotas := make(map[amrlimit.TeamID]amrroute.Quota)
	for name, quota := range t.Quotas() {
		quotas[amrlimit.TeamIDOf(name, quota.InTokens)] = quota
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limited = len(quotas) > 0
	q.credit.SetQuotas(q.boot.Now(), quotas)
	select {
	case q.changed <- struct{}{}:
	default: // A signal is already pending.
	}
}

// setRouters sets the registered routers.
func (q *quotas) setRouters(hosts []string, routers []amrlimit.QuotaRouter) {
	names := make(map[amrgossip.HostID]string, len(hosts))
	for _, host := range hosts {
		names[amrgossip.IDOf(host)] = host
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.names = names
	q.credit.SetRouters(q.boot.Now(), routers)
}

// Take takes credit for one run of the request. If the credit of this router does not
// suffice, it waits for the reply of the coordinator, for some milliseconds.
func (q *quotas) Take(ctx context.Context, r amrforward.QuotaRequest) (retryAfter time.Duration, admitted bool) {
	q.mu.Lock()
	decision := q.credit.Take(q.boot.Now(), creditRequest(r))
	reply := q.expect(decision)
	q.mu.Unlock()
	for decision.Result == amrlimit.QuotaAsked {
		decision, reply = q.await(ctx, decision, reply)
	}
	return decision.RetryAfter, decision.Result == amrlimit.QuotaAdmitted
}

// creditRequest returns the request in the form of package amrlimit.
func creditRequest(r amrforward.QuotaRequest) amrlimit.QuotaRequest {
	return amrlimit.QuotaRequest{
		Team: amrlimit.TeamIDOf(r.Team, r.InTokens), Weight: r.Weight, Priority: r.Priority, Caller: binary.BigEndian.Uint32(r.Content[:]), MaxWait: r.MaxWait,
	}
}

// peek returns how Take would decide on the request now, and the host of the coordinator if
// that is another router. It takes no credit.
func (q *quotas) peek(r amrforward.QuotaRequest) (preview amrlimit.QuotaPreview, coordinator string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	preview = q.credit.Peek(q.boot.Now(), creditRequest(r))
	if preview.Limited && !preview.Own {
		coordinator = q.names[preview.Coordinator]
	}
	return preview, coordinator
}

// expect returns a channel that receives the reply to the query of the decision, or nil if
// there is no query. The caller must hold q.mu.
func (q *quotas) expect(d amrlimit.QuotaDecision) <-chan amrlimit.QuotaDecision {
	if d.Result != amrlimit.QuotaAsked {
		return nil
	}
	reply := make(chan amrlimit.QuotaDecision, 1)
	q.waiting[d.Sequence] = reply
	return reply
}

// await sends the query of the decision and waits for the reply. It returns the decision
// that follows, with the channel for its reply if that is another query.
func (q *quotas) await(ctx context.Context, asked amrlimit.QuotaDecision, reply <-chan amrlimit.QuotaDecision) (amrlimit.QuotaDecision, <-chan amrlimit.QuotaDecision) {
	q.send([]amrlimit.QuotaMail{asked.Query})
	timer := q.clock.NewTimer(asked.Timeout)
	defer timer.Stop()
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
	case <-timer.Chan():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.waiting[asked.Sequence]; !ok {
		return <-reply, nil // The reply has just arrived.
	}
	delete(q.waiting, asked.Sequence)
	if ctx.Err() != nil {
		q.credit.Cancel(asked.Sequence)
		return amrlimit.QuotaDecision{Result: amrlimit.QuotaRefused}, nil
	}
	d := q.credit.NoReply(q.boot.Now(), asked.Sequence)
	return d, q.expect(d)
}

// GiveBack returns credit for a run that did not take place.
func (q *quotas) GiveBack(r amrforward.QuotaRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.credit.Return(q.boot.Now(), amrlimit.TeamIDOf(r.Team, r.InTokens), r.Weight)
}

// HandleQuota handles a message of another router.
func (q *quotas) HandleQuota(from amrgossip.HostID, m amrgossip.QuotaMessage) {
	q.mu.Lock()
	mail, decided := q.credit.Receive(q.boot.Now(), from, m)
	for sequence, d := range decided {
		if reply := q.waiting[sequence]; reply != nil {
			delete(q.waiting, sequence)
			reply <- d
		}
	}
	q.mu.Unlock()
	q.send(mail)
}

// send sends messages. Those that are not sent count as lost.
func (q *quotas) send(mail []amrlimit.QuotaMail) {
	q.mu.Lock()
	messenger := q.messenger
	q.mu.Unlock()
	if messenger == nil {
		return
	}
	for _, m := range mail {
		messenger.SendQuota(m.To, m.Message)
	}
}

// run lends this router's parts of the quotas and fetches credit until ctx is done. It
// always returns nil.
func (q *quotas) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.changed:
		}
		q.tickWhileLimited(ctx)
	}
}

// tickWhileLimited calls tick regularly until ctx is done or no team has a quota, so that
// routers without quotas are not woken up.
func (q *quotas) tickWhileLimited(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	amrtick.Every(ctx, q.clock, amrlimit.QuotaTick, func() {
		if !q.tick() {
			cancel()
		}
	})
}

// tick sends the messages that are due. It returns false if no team has a quota.
func (q *quotas) tick() (limited bool) {
	q.mu.Lock()
	if !q.limited {
		q.mu.Unlock()
		return false
	}
	mail := q.credit.Tick(q.boot.Now())
	counts, changes, names := q.credit.TakeCounts(), q.credit.TakeChanges(), q.names
	q.mu.Unlock()
	q.send(mail)
	q.metrics.add(counts)
	for _, c := range changes {
		q.log.Info("quota coordinator changed", "group", c.Group, "coordinator", names[c.To])
	}
	return true
}

// quotaMetrics counts events of quotas.
type quotaMetrics struct {
	granted, refused, lent, noReply prometheus.Counter
}

// newQuotaMetrics returns metrics and registers them unless the registerer is nil.
func newQuotaMetrics(registerer prometheus.Registerer) *quotaMetrics {
	events := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_quota_events_total", Help: "Events of team quotas by result: granted (credit for a run), refused, lent (this router's part of a group of teams to its coordinator) or no-reply (no coordinator answered a query)."}, []string{"result"})
	if registerer != nil {
		registerer.MustRegister(events)
	}
	return &quotaMetrics{
		granted: events.WithLabelValues("granted"), refused: events.WithLabelValues("refused"),
		lent: events.WithLabelValues("lent"), noReply: events.WithLabelValues("no-reply"),
	}
}

// add adds numbers of events.
func (m *quotaMetrics) add(c amrlimit.QuotaCounts) {
	m.granted.Add(float64(c.Granted))
	m.refused.Add(float64(c.Refused))
	m.lent.Add(float64(c.Lent))
	m.noReply.Add(float64(c.NoReply))
}
