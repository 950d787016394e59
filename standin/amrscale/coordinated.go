package amrscale

import (
	"strconv"
	"time"

	"amaranthreach.example/core/amrcoord"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

const (
	// replyTimeout is the time after which a router does without a reply.
	replyTimeout = 15 * time.Millisecond

	// maxUnanswered is the number of queries without a reply after which a router
	// decides itself.
	maxUnanswered = 2

	// endMargin is the time after its deadline for which a coordinator counts a
	// request as in flight if its end was not reported.
	endMargin = 500 * time.Millisecond

	// budgetBurst is the time of which a budget can save up its bytes, in seconds.
	budgetBurst = 10

	// budgetInterval is the time between two additions to the budgets of routers.
	budgetInterval = 100 * time.Millisecond
)

// coordinated is a learner whose routers place requests together, by placement
// groups; see package amrcoord.
type coordinated struct {
	*alone
	ring     *amrcoord.Ring
	hosts    map[amrgossip.HostID]int // Routers by host.
	left     []float64                // Bytes that each router may send.
	repeats  []amrcoord.Repeats       // By router.
	placed   map[placementKey]*amrpool.Choice
	sequence uint32
}

func newCoordinated(s *simulation) learner {
	l := &coordinated{alone: newAloneRouters(s), hosts: make(map[amrgossip.HostID]int), placed: make(map[placementKey]*amrpool.Choice)}
	l.repeats = make([]amrcoord.Repeats, s.params.Routers)
	var routers []amrcoord.Router
	for i := range s.params.Routers {
		host := "router-" + strconv.Itoa(i)
		l.hosts[amrgossip.IDOf(host)] = i
		routers = append(routers, amrcoord.Router{Host: host})
		l.left = append(l.left, budgetBurst*s.params.Budget)
	}
	l.ring = amrcoord.NewRing(routers)
	if s.params.Budget > 0 {
		s.at(budgetInterval, l.refill)
	}
	return l
}

// refill adds to the budgets of the routers.
func (l *coordinated) refill() {
	for i := range l.left {
		l.left[i] = min(budgetBurst*l.sim.params.Budget, l.left[i]+l.sim.params.Budget*budgetInterval.Seconds())
	}
	l.sim.at(l.sim.now+budgetInterval, l.refill)
}

// send lets a router send a message of some bytes to another one and calls receive
// when it arrives. It reports false if the budget of the router is used up.
func (l *coordinated) send(from, to, bytes int, receive func()) bool {
	s := l.sim
	if s.params.Budget > 0 {
		if l.left[from] < float64(bytes) {
			s.result.Unsent++
			return false
		}
		l.left[from] -= float64(bytes)
	}
	s.countSent(1, bytes)
	if s.random.Float64() < s.params.Loss {
		return true
	}
	delay := s.params.ZoneDelay
	if from%s.params.Zones == to%s.params.Zones {
		delay = s.params.LocalDelay
	}
	s.at(s.now+delay+s.params.RouterTime/2, receive)
	return true
}

func (l *coordinated) pick(q *request, done func(*amrpool.Choice)) {
	r := q.poolRequest()
	first, second := l.fleets[q.router].GroupsOf(l.sim.wall(), &r)
	l.pickFrom(q, r, first, func(c *amrpool.Choice) {
		if first == second || c != nil && c.Excess() <= amrcoord.SpillCost(r.MaxWait) {
			done(c)
			return
		}
		l.pickFrom(q, r, second, func(other *amrpool.Choice) { done(l.cheaper(c, other)) })
	})
}

// cheaper returns the choice that costs less and gives up the other one. Both may be
// nil.
func (l *coordinated) cheaper(a, b *amrpool.Choice) *amrpool.Choice {
	if a == nil || b != nil && b.Cost < a.Cost {
		a, b = b, a
	}
	if b != nil {
		b.Done(l.sim.wall(), amrpool.Withheld)
	}
	return a
}

// pickFrom lets the coordinator of the group choose an engine. A request whose parts
// are being computed is tried again later.
func (l *coordinated) pickFrom(q *request, r amrpool.Request, g amrpool.Group, done func(*amrpool.Choice)) {
	r.Group = g
	host, _ := l.ring.Coordinator(r.Pool, g, func(amrgossip.HostID) bool { return true })
	l.try(&query{request: q, pick: r, host: host, to: l.hosts[host], begin: l.sim.now, done: done})
}

// query is a request that is to be placed by a coordinator.
type query struct {
	request *request
	pick    amrpool.Request  // The request in the terms of package amrpool.
	host    amrgossip.HostID // Of the coordinator.
	to      int              // Router that is the coordinator.
	begin   time.Duration    // When the request was to be placed for the first time.
	done    func(*amrpool.Choice)

	unanswered int // Times that the coordinator did not reply.
}

// try lets the coordinator choose an engine now.
func (l *coordinated) try(q *query) {
	s, from := l.sim, q.request.router
	q.pick.NoPartsWait = s.now-q.begin >= maxPartsWait
	if q.to == from {
		l.decide(q, false)
		return
	}
	l.sequence++
	sequence, answered := l.sequence, false
	timedOut := func() {
		if answered {
			return
		}
		answered = true
		if q.unanswered++; q.unanswered < maxUnanswered {
			l.try(q)
			return
		}
		l.decide(q, true)
	}
	message := amrcoord.QueryOf(sequence, &q.pick, q.request.class.Deadline)
	ends := l.repeats[from].Take(q.host)
	sent := l.send(from, q.to, amrgossip.QueryBytes(message, ends...), func() {
		l.applyEnds(from, ends)
		l.place(q, sequence, &answered)
	})
	if !sent {
		timedOut()
		return
	}
	s.at(s.now+replyTimeout, timedOut)
}

// decide lets the router itself choose an engine: as the coordinator, or without one.
func (l *coordinated) decide(q *query, withoutCoordinator bool) {
	choice, denial := l.fleets[q.request.router].Pick(l.sim.wall(), q.pick)
	if choice == nil && denial.Reason == amrpool.PartsPending && !withoutCoordinator {
		l.sim.at(l.sim.now+retryInterval, func() { l.try(q) })
		return
	}
	q.done(choice)
}

// place lets the coordinator choose an engine and reply.
func (l *coordinated) place(q *query, sequence uint32, answered *bool) {
	s, router := l.sim, q.request.router
	placed, denial := l.fleets[q.to].Pick(s.wall(), q.pick)
	if placed == nil {
		reply := amrgossip.Reply{Sequence: sequence, Denial: 1}
		l.send(q.to, router, amrgossip.ReplyBytes(reply), func() {
			switch {
			case *answered:
			case denial.Reason == amrpool.PartsPending:
				*answered = true
				s.at(s.now+retryInterval, func() { l.try(q) })
			default:
				*answered = true
				q.done(nil)
			}
		})
		return
	}
	a := placed.Assignment()
	key := placementKey{router: router, sequence: sequence}
	l.placed[key] = placed
	s.at(q.request.sentAt+q.request.class.Deadline+endMargin, func() { l.end(key, amrpool.Canceled) })
	sent := l.send(q.to, router, amrgossip.ReplyBytes(amrcoord.ReplyOf(sequence, a)), func() {
		o := simObserver{l: l, router: router, to: q.to, host: q.host, sequence: sequence}
		if *answered {
			o.Done(amrpool.Withheld)
			return
		}
		*answered = true
		c := l.fleets[router].Assign(s.wall(), q.pick, a)
		if c == nil {
			o.Done(amrpool.Withheld)
		} else {
			c.SetObserver(o)
		}
		q.done(c)
	})
	if !sent {
		l.end(key, amrpool.Withheld)
	}
}

// placementKey identifies a request that a coordinator has placed.
type placementKey struct {
	router   int // That asked for it.
	sequence uint32
}

// end ends a request at its coordinator, unless it has ended already.
func (l *coordinated) end(key placementKey, result amrpool.Result) {
	if choice := l.placed[key]; choice != nil {
		delete(l.placed, key)
		choice.Done(l.sim.wall(), result)
	}
}

// applyEnds ends requests of a router that it reports to their coordinator.
func (l *coordinated) applyEnds(router int, ends []amrgossip.Update) {
	for _, e := range ends {
		l.end(placementKey{router: router, sequence: e.Sequence}, amrpool.Result(e.Result))
	}
}

// simObserver reports the progress of a request to its coordinator.
type simObserver struct {
	l          *coordinated
	router, to int
	host       amrgossip.HostID // Of the coordinator.
	sequence   uint32
}

func (o simObserver) ResponseStarted(load *amrpool.Load) {
	l := o.l
	bytes := amrgossip.UpdateBytes(amrgossip.Update{Sequence: o.sequence, Load: []int{load.Running, load.Waiting, load.Slots}})
	l.send(o.router, o.to, bytes, func() {
		if choice := l.placed[placementKey{router: o.router, sequence: o.sequence}]; choice != nil {
			choice.ResponseStarted(l.sim.wall(), load)
		}
	})
}

func (o simObserver) Done(result amrpool.Result) {
	end := amrgossip.Update{Sequence: o.sequence, Ended: true, Result: int(result)}
	o.l.repeats[o.router].Add(o.host, end)
	o.l.send(o.router, o.to, amrgossip.UpdateBytes(end), func() { o.l.applyEnds(o.router, []amrgossip.Update{end}) })
}

// countSent counts messages and their bytes.
func (s *simulation) countSent(messages, bytes int) {
	per := float64(s.params.Routers) * s.params.Length.Seconds()
	s.result.MessagesSent += float64(messages) / per
	s.result.BytesSent += float64(bytes) / per
}
