package amrsuspect_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrsuspect"
)

// TestPartsUnderLoad guards against servers that crash without end by requests that
// have one part of their prompts in common, and against refusing other requests for
// it. It simulates routers that share twelve servers, where each crash also breaks off
// the requests of many other callers.
func TestPartsUnderLoad(t *testing.T) {
	for name, load := range map[string]partsLoad{
		"second part":              {warmUp: 5 * time.Second, crashingPart: 1, crashingRate: 10},
		"first part":               {warmUp: 5 * time.Second, crashingPart: 0, crashingRate: 10},
		"seldom":                   {warmUp: 5 * time.Second, crashingPart: 1, crashingRate: 1},
		"often":                    {warmUp: 5 * time.Second, crashingPart: 1, crashingRate: 50},
		"of one team":              {warmUp: 5 * time.Second, crashingPart: 1, crashingRate: 10, oneTeam: true},
		"routers have just begun":  {warmUp: time.Second, crashingPart: 1, crashingRate: 10},
		"the same, of one team":    {warmUp: time.Second, crashingPart: 1, crashingRate: 10, oneTeam: true},
		"servers lose power twice": {warmUp: 5 * time.Second, powerLosses: []time.Duration{6 * time.Second, 12 * time.Second}},
		"servers crash by turns":   {warmUp: 5 * time.Second, crashEvery: time.Second},
		"servers crash at a start": {warmUp: 100 * time.Millisecond, crashEvery: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { checkParts(t, load, firstSeeds()...) })
	}
}

// TestPartThatWasSound is TestPartsUnderLoad for a part with which prompts were
// answered before.
func TestPartThatWasSound(t *testing.T) {
	checkParts(t, partsLoad{warmUp: 5 * time.Second, crashingPart: 1, crashingRate: 10, wasSound: true}, firstSeeds()...)
}

// TestPartThatWasSoundOtherSeeds is TestPartThatWasSound with the seeds from 1000 to 1199
// that exceed a bound.
func TestPartThatWasSoundOtherSeeds(t *testing.T) {
	checkParts(t, partsLoad{warmUp: 5 * time.Second, crashingPart: 1, crashingRate: 10, wasSound: true},
		1030, 1058, 1065, 1079, 1090, 1091, 1105, 1108, 1109, 1120, 1146, 1160, 1181)
}

// TestPartsUnderLoadOtherSeeds is TestPartsUnderLoad with the seeds from 1000 to 1199 that
// exceed a bound.
func TestPartsUnderLoadOtherSeeds(t *testing.T) {
	checkParts(t, partsLoad{warmUp: 5 * time.Second, crashingPart: 1, crashingRate: 1}, 1069)
	checkParts(t, partsLoad{warmUp: 5 * time.Second, crashingPart: 1, crashingRate: 50}, 1111)
	checkParts(t, partsLoad{warmUp: time.Second, crashingPart: 1, crashingRate: 10}, 1109)
}

// firstSeeds returns the seeds from 0 to 29.
func firstSeeds() []uint64 {
	var seeds []uint64
	for seed := range uint64(30) {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestQuarantineIsTried checks that after the quarantine of a part one request is let
// through at a time, and that a crash prolongs the quarantine and an answer lifts it.
func TestQuarantineIsTried(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := amrsuspect.NewParts("front-1")
	parts := []amrsuspect.PartKey{amrsuspect.PartKeyOf("m1", "x")}
	crash := func(server uint64) *amrsuspect.PartQuarantine {
		_, q := p.AddCrash(now, p.CrashOf(now, server, server, parts, 0))
		return q
	}
	var q *amrsuspect.PartQuarantine
	for server := uint64(1); q == nil; server++ {
		_, _, refused := p.Check(now, parts)
		is.True(!refused)
		is.True(server <= 3)
		now = now.Add(200 * time.Millisecond)
		q = crash(server)
	}
	is.Equal(q.Level, 1)
	_, left, refused := p.Check(now, parts)
	is.True(refused)

	now = now.Add(left)
	_, _, refused = p.Check(now, parts)
	is.True(!refused) // The first one.
	_, _, refused = p.Check(now, parts)
	is.True(refused) // The outcome of the first one is not known.
	q = crash(10)
	is.Equal(q.Level, 2)
	is.True(crash(11) == nil) // It was sent before.

	_, longer, refused := p.Check(now, parts)
	is.True(refused)
	is.True(longer > 2*left)
	now = now.Add(longer)
	_, _, refused = p.Check(now, parts)
	is.True(!refused)
	is.Equal(p.RecordAnswer(now, now, parts), parts)
	is.True(p.MarkSound(now, parts[0], 0))
	_, _, refused = p.Check(now, parts)
	is.True(!refused)
	is.True(!p.Lift(parts[0]))
}

// TestRetriesAreSeparateCrashes guards against more crashes than needed before a part is
// quarantined: a request that is sent again at once crashes two servers one after the
// other, which is not a common cause.
func TestRetriesAreSeparateCrashes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := amrsuspect.NewParts("front-1")
	parts := []amrsuspect.PartKey{amrsuspect.PartKeyOf("m1", "x")}
	crash := func(server, content uint64) *amrsuspect.PartQuarantine {
		_, q := p.AddCrash(now, p.CrashOf(now, server, content, parts, 0))
		return q
	}
	is.True(crash(1, 1) == nil)
	now = now.Add(20 * time.Millisecond)
	is.True(crash(2, 1) == nil)
	now = now.Add(200 * time.Millisecond)
	is.True(crash(3, 2) != nil)
}

// checkParts simulates the load with the seeds. From 3 s after the fifth crash, at
// most three more requests that crash servers may reach them, and of the others, at
// most one in a hundred may be refused.
func checkParts(t *testing.T, load partsLoad, seeds ...uint64) {
	t.Helper()
	const (
		maxLateRuns    = 3
		refusedPercent = 1
	)
	for _, seed := range seeds {
		s := newPartsSimulation(seed, load)
		s.run()
		if s.lateRuns > maxLateRuns || s.refused*100 > s.sent*refusedPercent {
			t.Errorf("seed %d: %d crashes, %d late runs, %d of %d others refused, quarantined %v", seed, s.crashes, s.lateRuns, s.refused, s.sent, s.quarantined)
		}
	}
}

// partsLoad is the load of a simulation.
type partsLoad struct {
	warmUp       time.Duration // Time before the first request that crashes servers.
	crashingRate float64       // Requests per second that crash servers; 0 for none.
	crashingPart int           // Position of the part that crashes servers.
	oneTeam      bool          // All of these requests have the same first part.
	wasSound     bool          // The part was in answered prompts before.

	powerLosses []time.Duration // Times at which half of the servers stop at once.
	crashEvery  time.Duration   // Interval at which one server after the other stops by itself; 0 for never.
}

const (
	simRouters     = 4
	simCollectors  = 2
	simServers     = 12
	simTeams       = 8
	simThings      = 200
	simRate        = 130.0 // Other requests per second.
	simRetries     = 3     // Number of times that a request which broke off is sent again.
	simRestart     = 3500 * time.Millisecond
	simLength      = 30 * time.Second
	simNoticeDelay = 40 * time.Millisecond // Longest delay of a message between routers.
	simBound       = 3 * time.Second
	simFirstEvent  = 100 * time.Millisecond // Time from the send of a request to its first event.
	crashingID     = "crashing"
)

// partsSimulation simulates routers, their messages and servers in virtual time.
type partsSimulation struct {
	random  *rand.Rand
	load    partsLoad
	now     time.Time
	events  eventQueue
	routers []*amrsuspect.Parts
	servers []simServer

	crashes     int
	fifthCrash  time.Time // Of the crashes caused by requests.
	lateRuns    int
	sent        int
	refused     int
	quarantined map[string]bool
	names       map[amrsuspect.PartKey]string
}

type simServer struct {
	incarnation uint64
	downUntil   time.Time
	running     []*simRequest
}

type simRequest struct {
	content  uint64
	router   int
	ids      []string
	crashing bool
	retries  int
	sentAt   time.Time // To the present server.
}

type simEvent struct {
	at  time.Time
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newPartsSimulation(seed uint64, load partsLoad) *partsSimulation {
	s := &partsSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), load: load, now: time.Unix(1000, 0),
		quarantined: make(map[string]bool), names: make(map[amrsuspect.PartKey]string),
	}
	for i := range simRouters {
		s.routers = append(s.routers, amrsuspect.NewParts(fmt.Sprintf("front-%d", i)))
	}
	for i := range simServers {
		s.servers = append(s.servers, simServer{incarnation: uint64(i)})
	}
	return s
}

// run simulates simLength.
func (s *partsSimulation) run() {
	start := s.now
	s.after(0, s.arrive)
	if s.load.crashingRate > 0 {
		s.after(s.load.warmUp, s.arriveCrashing)
	}
	for _, at := range s.load.powerLosses {
		s.after(at, s.losePower)
	}
	if s.load.crashEvery > 0 {
		s.after(s.load.warmUp, func() { s.crashNext(0) })
	}
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		if s.now.Sub(start) > simLength {
			return
		}
		event.run()
	}
}

func (s *partsSimulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{at: s.now.Add(d), run: run})
}

// interval returns a random time between two events of a Poisson process.
func (s *partsSimulation) interval(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// skewed returns a random number below n, where small ones are frequent.
func (s *partsSimulation) skewed(n int) int {
	f := s.random.Float64()
	return int(f * f * f * float64(n))
}

func (s *partsSimulation) arrive() {
	s.after(s.interval(simRate), s.arrive)
	ids := []string{fmt.Sprint("team-", s.skewed(simTeams)), fmt.Sprint("thing-", s.skewed(simThings))}
	wasSound := s.load.wasSound && s.crashes == 0 && s.random.IntN(20) == 0
	if wasSound {
		ids[1] = crashingID
	}
	s.sent++
	s.send(&simRequest{content: s.random.Uint64(), router: s.random.IntN(simRouters), ids: ids})
}

func (s *partsSimulation) arriveCrashing() {
	s.after(s.interval(s.load.crashingRate), s.arriveCrashing)
	ids := []string{fmt.Sprint("team-", s.skewed(simTeams)), fmt.Sprint("thing-", s.skewed(simThings))}
	if s.load.oneTeam {
		ids[0] = "team-3"
	}
	ids[s.load.crashingPart] = crashingID
	s.send(&simRequest{content: s.random.Uint64(), router: s.random.IntN(simRouters), ids: ids, crashing: true})
}

// send sends a request to a random server that is up, unless it is refused or there
// is none.
func (s *partsSimulation) send(r *simRequest) {
	if _, _, refused := s.routers[r.router].Check(s.now, s.keys(r)); refused {
		if !r.crashing {
			s.refused++
		}
		return
	}
	var up []int
	for i, server := range s.servers {
		if !s.now.Before(server.downUntil) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	i := up[s.random.IntN(len(up))]
	server := &s.servers[i]
	server.running = append(server.running, r)
	r.sentAt = s.now
	incarnation := server.incarnation
	if r.crashing {
		if s.crashes >= 5 && s.now.Sub(s.fifthCrash) > simBound {
			s.lateRuns++
		}
		s.after(80*time.Millisecond+time.Duration(s.random.Int64N(int64(150*time.Millisecond))), func() {
			if server.incarnation == incarnation {
				s.crashes++
				if s.crashes == 5 {
					s.fifthCrash = s.now
				}
				s.crash(i)
			}
		})
		return
	}
	s.after(200*time.Millisecond+time.Duration(s.random.Int64N(int64(time.Second))), func() {
		if server.incarnation == incarnation {
			server.running = slices.DeleteFunc(server.running, func(other *simRequest) bool { return other == r })
			s.answered(r)
		}
	})
}

// crash stops the server and breaks off the requests that it runs.
func (s *partsSimulation) crash(i int) {
	server := &s.servers[i]
	incarnation := server.incarnation
	for _, r := range server.running {
		s.after(time.Duration(s.random.Int64N(int64(5*time.Millisecond))), func() { s.brokeOff(r, incarnation) })
	}
	server.running = nil
	server.incarnation += simServers
	server.downUntil = s.now.Add(simRestart)
}

func (s *partsSimulation) losePower() {
	for i := range simServers / 2 {
		s.crash(2 * i)
	}
}

func (s *partsSimulation) crashNext(i int) {
	s.crash(i % simServers)
	s.after(s.load.crashEvery, func() { s.crashNext(i + 1) })
}

func (s *partsSimulation) keys(r *simRequest) []amrsuspect.PartKey {
	var keys []amrsuspect.PartKey
	for _, id := range r.ids {
		key := amrsuspect.PartKeyOf("m1", id)
		s.names[key] = id
		keys = append(keys, key)
	}
	return keys
}

func (s *partsSimulation) answered(r *simRequest) {
	for _, part := range s.routers[r.router].RecordAnswer(s.now, r.sentAt, s.keys(r)) {
		s.reportSound(part, s.now.Sub(r.sentAt))
	}
}

func (s *partsSimulation) brokeOff(r *simRequest, server uint64) {
	c := s.routers[r.router].CrashOf(s.now, server, r.content, s.keys(r), s.now.Sub(r.sentAt)-simFirstEvent)
	for i := range simCollectors {
		if len(c.Parts) > 0 {
			s.notify(func() { s.collect(i, c) })
		}
	}
	s.retry(r)
}

// retry sends a request again that broke off.
func (s *partsSimulation) retry(r *simRequest) {
	if r.retries < simRetries {
		r.retries++
		r.crashing = r.crashing || slices.Contains(r.ids, crashingID) // The part may have been sound when it was sent first.
		s.send(r)
	}
}

// notify calls handle when a message has arrived at another router.
func (s *partsSimulation) notify(handle func()) {
	s.after(time.Duration(s.random.Int64N(int64(simNoticeDelay))), handle)
}

// collect lets the router handle the report of a crash.
func (s *partsSimulation) collect(router int, c amrsuspect.PartCrash) {
	ask, quarantine := s.routers[router].AddCrash(s.now, c)
	for _, part := range ask {
		for _, other := range s.routers {
			s.notify(func() {
				if age, sound := other.Ask(s.now, part); sound {
					s.reportSound(part, age)
				}
			})
		}
	}
	if quarantine == nil {
		return
	}
	s.quarantined[s.names[quarantine.Part]] = true
	for _, other := range s.routers {
		s.notify(func() { other.Apply(*quarantine) })
	}
}

func (s *partsSimulation) reportSound(part amrsuspect.PartKey, age time.Duration) {
	for i := range simCollectors {
		s.notify(func() {
			if !s.routers[i].MarkSound(s.now, part, age) {
				return
			}
			for _, other := range s.routers {
				s.notify(func() { other.Lift(part) })
			}
		})
	}
}
