// Package amrcoord lets routers place requests at the servers of a pool together.
//
// The servers of a pool are divided into placement groups. All requests whose
// prompts belong to a group are placed by one router, the group's coordinator, which
// therefore knows their load and what they have cached, without any router having to
// tell all others. The coordinator of a group follows from rendezvous hashing over
// the routers; nothing is elected or agreed, and a router that knows other routers
// merely asks another coordinator. While a coordinator does not reply, its requests
// are placed by the next one, or by the routers themselves with what they know.
package amrcoord

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrtick"
)

const (
	// maxAssignments is the number of times that a coordinator is asked for a
	// request because this router knows that a selected server must not get it.
	maxAssignments = 3

	// maxUnanswered is the number of queries without a reply after which this router
	// places a request itself. A second query makes up for a message that was lost.
	maxUnanswered = 2

	// maintenanceInterval is the time between two searches for pings that are due.
	maintenanceInterval = 100 * time.Millisecond
)

// Messenger sends messages to other routers.
type Messenger interface {
	SendQuery(to amrgossip.HostID, q amrgossip.Query, updates []amrgossip.Update) bool
	SendUpdates(to amrgossip.HostID, updates []amrgossip.Update) bool
	SendPing(to amrgossip.HostID)
	SendCommon(to amrgossip.HostID, parts []amrgossip.Common)
}

// Placer selects servers for the requests of a router, and places requests of other
// routers. It is safe for concurrent use. Create it with New.
type Placer struct {
	host        amrgossip.HostID
	fleet       *amrpool.Fleet
	clock       clockwork.Clock
	log         *slog.Logger
	metrics     *metrics
	coordinator coordinator

	mu        sync.Mutex
	messenger Messenger // Nil until SetMessenger is called.
	ring      *Ring
	rings     ringHistory
	health    health
	sequence  uint32
	nextGroup int               // Index of the group of the last request that could go to any group.
	waiting   map[uint32]*query // Queries without a reply, by sequence.
	repeats   Repeats
	spreadAt  map[string]time.Time // Time of the last request with a hot prefix by pool.
}

// query is a query that was sent and not answered.
type query struct {
	to     amrgossip.HostID
	sentAt time.Time
	reply  chan amrgossip.Reply // Receives the reply; has a buffer for it.
}

// New returns a Placer of the router on the named host, which places all requests
// itself until SetRouters and SetMessenger are called.
func New(host string, fleet *amrpool.Fleet, names Names, clock clockwork.Clock, log *slog.Logger, registerer prometheus.Registerer) *Placer {
	p := &Placer{
		host: amrgossip.IDOf(host), fleet: fleet, clock: clock, log: log, ring: NewRing(nil), waiting: make(map[uint32]*query), spreadAt: make(map[string]time.Time),
		coordinator: coordinator{fleet: fleet, names: names, placements: make(map[placementKey]placement)},
		sequence:    rand.Uint32N(1 << 16), // Differs from that of an earlier incarnation.
	}
	p.coordinator.limitServers = p.limitAndProbe
	p.coordinator.boundMemory = p.boundMemory
	p.metrics = newMetrics(registerer, p.coordinator.count)
	return p
}

// SetMessenger sets the messenger by which the other routers are reached.
func (p *Placer) SetMessenger(m Messenger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messenger = m
}

// SetRouters sets the routers that may coordinate groups, this one included.
func (p *Placer) SetRouters(routers []Router) {
	ring := NewRing(routers)
	hosts := make(map[amrgossip.HostID]bool)
	for _, m := range ring.members {
		hosts[m.host] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ring = ring
	p.rings.set(p.clock.Now(), ring)
	p.health.retain(hosts)
	p.repeats.retain(hosts)
}

// Run sends pings to routers that did not reply until ctx is done. It always returns
// nil.
func (p *Placer) Run(ctx context.Context) error {
	amrtick.Every(ctx, p.clock, maintenanceInterval, func() {
		now := p.clock.Now()
		p.coordinator.sweep(now)
		p.mu.Lock()
		due, messenger := p.health.duePings(now), p.messenger
		p.mu.Unlock()
		for _, host := range due {
			messenger.SendPing(host)
		}
	})
	return nil
}

// Pick selects a server for the request, whose deadline is timeLeft from now. If
// there is no suitable server, it returns nil and the reason. It blocks while it
// waits for the replies of other routers, for some milliseconds.
func (p *Placer) Pick(ctx context.Context, r amrpool.Request, timeLeft time.Duration) (*amrpool.Choice, amrpool.Denial) {
	r.TimeLeft = timeLeft
	if p.fleet.AdmitsByUrgency(r.Pool) {
		r.Zone = p.fleet.Zone()
	}
	choice, denial := p.place(ctx, r, timeLeft)
	if choice != nil && choice.LeavesZone() {
		p.metrics.leftZone.Inc()
	}
	return choice, denial
}

// place selects a server for the request as Pick does.
func (p *Placer) place(ctx context.Context, r amrpool.Request, timeLeft time.Duration) (*amrpool.Choice, amrpool.Denial) {
	if !p.coordinated(&r) {
		return p.fleet.Pick(p.clock.Now(), r)
	}
	var first, second amrpool.Group
	if grouped(&r) {
		first, second = p.fleet.GroupsOf(p.clock.Now(), &r)
		p.recordSpread(&r)
	} else {
		first, second = p.nextGroups(r.Pool)
	}
	choice, denial := p.pickFromGroups(ctx, r, first, second, timeLeft)
	if choice == nil && r.Software != 0 && first.Count > 1 { // Other groups may have servers with the software.
		r.Group, r.ExcludeLimited = amrpool.Group{}, true
		p.boundMemory(&r)
		return p.fleet.Pick(p.clock.Now(), r)
	}
	return choice, denial
}

// grouped reports whether the request belongs to the groups of its prompt.
func grouped(r *amrpool.Request) bool {
	return r.Model != "" && len(r.Parts) > 0
}

// coordinated reports whether the coordinator of a group selects the server for the request.
func (p *Placer) coordinated(r *amrpool.Request) bool {
	return grouped(r) || p.fleet.HasLimit(r.Pool) || r.Model != "" && p.fleet.HasHardServerMemory()
}

// pickFromGroups selects a server of the first group, or of the second one if the first
// cannot take the request.
func (p *Placer) pickFromGroups(ctx context.Context, r amrpool.Request, first, second amrpool.Group, timeLeft time.Duration) (*amrpool.Choice, amrpool.Denial) {
	choice, denial := p.pickFrom(ctx, r, first, timeLeft)
	if first == second {
		return choice, denial
	}
	of := outcomeOf(choice, denial)
	if !of.spills(r.MaxWait) {
		return choice, denial
	}
	p.metrics.spilled.Inc()
	other, otherDenial := p.pickFrom(ctx, r, second, timeLeft)
	if outcomeOf(other, otherDenial).preferredTo(of) {
		choice, denial, other = other, otherDenial, choice
	}
	if other != nil {
		other.Done(p.clock.Now(), amrpool.Withheld)
	}
	return choice, denial
}

// nextGroups returns two groups of the pool for a request that may go to any of them.
func (p *Placer) nextGroups(pool string) (first, second amrpool.Group) {
	count := p.fleet.GroupCount(p.clock.Now(), pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	first, second = groupsAfter(p.nextGroup, count)
	p.nextGroup = first.Index
	return first, second
}

// groupsAfter returns the next two of the groups after the one with the index.
func groupsAfter(index, count int) (first, second amrpool.Group) {
	return amrpool.Group{Index: (index + 1) % count, Count: count}, amrpool.Group{Index: (index + 2) % count, Count: count}
}

// pickFrom selects a server of the group. If the coordinator does not reply or knows no
// server, or this router knows that the servers which it selects must not get the request, the router
// decides itself.
func (p *Placer) pickFrom(ctx context.Context, r amrpool.Request, g amrpool.Group, timeLeft time.Duration) (*amrpool.Choice, amrpool.Denial) {
	r.Group = g
	asked := r // With the servers that this router has declined.
	declined, unanswered := 0, 0
	for declined < maxAssignments {
		p.mu.Lock()
		host, ok := p.ring.Coordinator(r.Pool, g, p.usable)
		messenger := p.messenger
		p.mu.Unlock()
		if !ok || host == p.host || messenger == nil {
			p.metrics.placements.WithLabelValues(placedOwn).Inc()
			p.limitAndProbe(&r)
			p.boundMemory(&r)
			return p.fleet.Pick(p.clock.Now(), r)
		}
		reply, ok := p.ask(ctx, messenger, host, &asked, timeLeft)
		if !ok {
			unanswered++
			if unanswered < maxUnanswered && ctx.Err() == nil {
				continue
			}
			p.metrics.placements.WithLabelValues(placedNoReply).Inc()
			break
		}
		if reply.Denial != 0 && declined > 0 {
			break
		}
		if reply.Denial != 0 {
			denial := denialOf(reply, p.fleet.NameOf)
			if denial.Reason == amrpool.NoServer { // Its records may be others than those of this router.
				p.metrics.placements.WithLabelValues(placedUnknown).Inc()
				p.log.Warn("coordinator knows no server for a request; selecting one without it", "host-id", host, "pool", r.Pool, "model", r.Model)
				break
			}
			p.metrics.placements.WithLabelValues(placedDenied).Inc()
			if denial.Reason == amrpool.Overloaded {
				p.fleet.RecordRefusal(p.clock.Now(), r.Pool)
			}
			return nil, denial
		}
		choice := p.assign(r, reply, messenger, host)
		if choice != nil {
			p.metrics.placements.WithLabelValues(placedAsked).Inc()
			return choice, amrpool.Denial{}
		}
		p.metrics.placements.WithLabelValues(placedDeclined).Inc()
		name := p.fleet.NameOf(amrpool.ServerID(reply.Server))
		if name == "" {
			break
		}
		asked.Exclude = append(slices.Clip(asked.Exclude), name)
		declined++
	}
	r.Uncoordinated = true
	r.ExcludeLimited = true // Only the coordinator knows how many requests such servers get.
	p.boundMemory(&r)
	return p.fleet.Pick(p.clock.Now(), r)
}

// usable reports whether the router on the host may be asked. The caller must hold p.mu.
func (p *Placer) usable(host amrgossip.HostID) bool {
	return host == p.host || p.health.usable(host)
}

// assign counts the request at the server of the reply and lets the coordinator know
// of its progress. It returns nil, and tells the coordinator, if this router knows
// that the server must not get the request.
func (p *Placer) assign(r amrpool.Request, reply amrgossip.Reply, m Messenger, host amrgossip.HostID) *amrpool.Choice {
	choice := p.fleet.Assign(p.clock.Now(), r, assignmentOf(reply))
	o := p.observer(m, host, reply.Sequence)
	if choice == nil {
		o.Done(amrpool.Withheld)
		return nil
	}
	choice.SetObserver(o)
	return choice
}

// ask sends a query to the coordinator and waits for the reply. It returns false if
// there is none in time.
func (p *Placer) ask(ctx context.Context, m Messenger, host amrgossip.HostID, r *amrpool.Request, timeLeft time.Duration) (amrgossip.Reply, bool) {
	q := &query{to: host, sentAt: p.clock.Now(), reply: make(chan amrgossip.Reply, 1)}
	p.mu.Lock()
	p.sequence++
	sequence := p.sequence
	p.waiting[sequence] = q
	timeout := p.health.timeout(host)
	ends := p.repeats.Take(host)
	p.mu.Unlock()
	if !m.SendQuery(host, QueryOf(sequence, r, timeLeft), ends) {
		p.forget(sequence)
		return amrgossip.Reply{}, false
	}
	timer := p.clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-q.reply:
		return reply, true
	case <-ctx.Done():
	case <-timer.Chan():
	}
	if !p.forget(sequence) {
		return <-q.reply, true // The reply has just arrived.
	}
	p.mu.Lock()
	lost := p.health.timedOut(p.clock.Now(), host)
	p.mu.Unlock()
	if lost {
		p.log.Warn("coordinator does not reply; asking others", "host-id", host, "waited", timeout)
	}
	// If the coordinator has placed the request, or still does, it must not count.
	p.observer(m, host, sequence).Done(amrpool.Withheld)
	return amrgossip.Reply{}, false
}

// forget reports whether the query was still waiting for a reply, and ends that.
func (p *Placer) forget(sequence uint32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.waiting[sequence]
	delete(p.waiting, sequence)
	return ok
}

// HandleQuery places a request of another router. If the reply is not sent, the request
// no longer counts as in flight.
func (p *Placer) HandleQuery(now time.Time, from amrgossip.HostID, q amrgossip.Query, send func(amrgossip.Reply) bool) {
	if !send(p.coordinator.place(now, from, q)) {
		p.coordinator.update(now, from, amrgossip.Update{Sequence: q.Sequence, Ended: true, Result: int(amrpool.Withheld)})
	}
}

// HandleUpdates applies updates of requests of another router.
func (p *Placer) HandleUpdates(now time.Time, from amrgossip.HostID, updates []amrgossip.Update) {
	for _, u := range updates {
		p.coordinator.update(now, from, u)
	}
}

// HandleReply hands a reply to the request that waits for it. The coordinator is
// told of a reply that comes too late.
func (p *Placer) HandleReply(now time.Time, from amrgossip.HostID, r amrgossip.Reply) {
	p.mu.Lock()
	q := p.waiting[r.Sequence]
	if q != nil && q.to != from {
		q = nil // The reply is to a query of an earlier incarnation.
	}
	rtt := time.Duration(0)
	if q != nil {
		delete(p.waiting, r.Sequence)
		rtt = now.Sub(q.sentAt)
	}
	regained := p.health.replied(from, rtt)
	messenger := p.messenger
	p.mu.Unlock()
	if regained {
		p.log.Info("coordinator replies again", "host-id", from)
	}
	switch {
	case q != nil:
		p.metrics.replyTime.Observe(rtt.Seconds())
		q.reply <- r
	case r.Denial == 0 && messenger != nil:
		p.observer(messenger, from, r.Sequence).Done(amrpool.Withheld)
	}
}

// HandlePong records that the router on the host replies again.
func (p *Placer) HandlePong(_ time.Time, from amrgossip.HostID) {
	p.mu.Lock()
	regained := p.health.replied(from, 0)
	p.mu.Unlock()
	if regained {
		p.log.Info("coordinator replies again", "host-id", from)
	}
}

// observer returns the observer of a request that the coordinator on the host placed.
func (p *Placer) observer(m Messenger, host amrgossip.HostID, sequence uint32) observer {
	return observer{placer: p, messenger: m, host: host, sequence: sequence}
}

// observer reports the progress of a request to the coordinator that placed it.
type observer struct {
	placer    *Placer
	messenger Messenger
	host      amrgossip.HostID
	sequence  uint32
}

// ResponseStarted reports that the server has begun to respond.
func (o observer) ResponseStarted(load *amrpool.Load) {
	o.messenger.SendUpdates(o.host, []amrgossip.Update{{Sequence: o.sequence, Load: loadNumbers(load)}})
}

// Done reports that the request has ended, at once and again with the next query.
func (o observer) Done(result amrpool.Result) {
	end := amrgossip.Update{Sequence: o.sequence, Ended: true, Result: int(result)}
	o.placer.mu.Lock()
	o.placer.repeats.Add(o.host, end)
	o.placer.mu.Unlock()
	o.messenger.SendUpdates(o.host, []amrgossip.Update{end})
}
