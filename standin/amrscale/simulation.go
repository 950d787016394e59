// Package amrscale simulates many routers before many engines, without network, to
// compare ways in which routers learn what they need to choose an engine. The
// routers use the decisions of package amrpool; the engines, the traffic and the
// messages between routers are simulated.
package amrscale

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

const (
	pool  = "engines"
	model = "m1"
)

// Params are the parameters of a simulation.
type Params struct {
	Routers       int
	Engines       int
	Stores        int
	Zones         int
	Classes       []Class
	Engine        EngineModel
	TransferSetup time.Duration
	CallerDelay   time.Duration // One way, between callers and routers.
	ZoneDelay     time.Duration // One way, between zones.
	LocalDelay    time.Duration // One way, within a zone.
	RouterTime    time.Duration // Time that a router takes to forward a request.
	Length        time.Duration
	Seed          uint64
	Budget        float64         // Bytes per second that a router may send to others; 0 for no limit.
	Loss          float64         // Share of messages between routers that are lost.
	NewWeights    []time.Duration // Times at which all engines get new weights.
	Crash         Crash
}

// Crash is an outage of some engines.
type Crash struct {
	At, For time.Duration
	Share   float64
}

// minLength is the shortest time to simulate. Balance is measured by the second.
const minLength = 2 * time.Second

// Way is a way in which routers learn what they need to choose an engine.
type Way string

// The ways that Run knows.
const (
	Alone       Way = "alone"       // Routers know what they do themselves and what engines tell them.
	Coordinated Way = "coordinated" // Routers place requests together, by placement groups.
	Omniscient  Way = "omniscient"  // Each router knows at once what the others do, which no router can.
)

var ways = []Way{Alone, Coordinated, Omniscient}

// Result is the result of a simulation.
type Result struct {
	Way           Way           `json:"way"`
	Routers       int           `json:"routers"`
	Classes       []ClassResult `json:"classes"`
	Read          int           `json:"read-tokens"`       // Prompt tokens that engines computed.
	ReadAgain     int           `json:"read-again-tokens"` // Of these, tokens of shared parts that had been computed before with the same weights.
	Refused       int           `json:"refused"`
	Unsent        int           `json:"unsent-messages"`     // Messages that were not sent because the budget was used up.
	BytesSent     float64       `json:"bytes-per-second"`    // Bytes of messages to other routers, per router.
	MessagesSent  float64       `json:"messages-per-second"` // Messages to other routers, per router.
	BusiestToMean float64       `json:"busiest-to-mean"`     // Requests of the busiest engine to the mean, averaged over seconds.
}

// ClassResult is the result of a class of requests.
type ClassResult struct {
	Name     string        `json:"name"`
	Requests int           `json:"requests"`
	InAim    float64       `json:"in-aim"` // Share of requests with the first event in time.
	P50      time.Duration `json:"p50-ns"` // Time to the first event.
	P99      time.Duration `json:"p99-ns"`
}

// inAim returns the share of all requests with the first event in time.
func (r Result) inAim() float64 {
	sum, requests := 0.0, 0
	for _, c := range r.Classes {
		sum += c.InAim * float64(c.Requests)
		requests += c.Requests
	}
	return sum / float64(max(requests, 1))
}

// simulation is a discrete-event simulation.
type simulation struct {
	params  Params
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	seq     int
	engines []*engine
	byName  map[string]*engine
	stores  []*engine
	stored  map[storedKey]bool
	read    map[storedKey]time.Duration // When a part was last used.
	learner learner
	result  *Result
	classes map[string]*classCount
	ratios  []float64 // Requests of the busiest engine to the mean, by second.
}

// classCount counts the requests of a class.
type classCount struct {
	requests int
	inAim    int
	times    []time.Duration // Times to the first event.
}

// storedKey identifies a part that was computed with a version of the weights.
type storedKey struct {
	version int
	key     uint64
}

// start is the time at which a simulation starts, by its clock.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// wall returns the current time of the simulation's clock.
func (s *simulation) wall() time.Time { return start.Add(s.now) }

// newLearner returns the learner of a way. It panics if the way is not known.
func newLearner(way Way, s *simulation) learner {
	switch way {
	case Alone:
		return newAlone(s)
	case Coordinated:
		return newCoordinated(s)
	case Omniscient:
		return newOmniscient(s)
	default:
		panic("amrscale: unknown way " + string(way))
	}
}

// Run simulates routers that learn in a way. The result depends only on the arguments.
func Run(way Way, p Params) Result {
	s := &simulation{
		params: p, random: rand.New(rand.NewPCG(p.Seed, p.Seed)), byName: make(map[string]*engine),
		stored: make(map[storedKey]bool), read: make(map[storedKey]time.Duration),
		result: &Result{Way: way, Routers: p.Routers}, classes: make(map[string]*classCount),
	}
	for i := range p.Engines {
		e := newEngine(s, p.Engine, "e"+strconv.Itoa(i), i%p.Zones)
		s.engines = append(s.engines, e)
		s.byName[e.name] = e
	}
	for i := range p.Stores {
		e := newEngine(s, p.Engine, "store"+strconv.Itoa(i), 0)
		s.stores = append(s.stores, e)
		s.byName[e.name] = e
	}
	s.learner = newLearner(way, s)
	for i := range p.Classes {
		s.classes[p.Classes[i].Name] = &classCount{}
		s.scheduleArrival(newSource(&p.Classes[i], s.random))
	}
	for i, at := range p.NewWeights {
		s.at(at, func() { s.setVersion(i + 2) })
	}
	if p.Crash.Share > 0 {
		s.at(p.Crash.At, s.crash)
	}
	s.at(time.Second, s.measureBalance)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > p.Length {
			break
		}
		s.now = e.at
		e.do()
	}
	s.finish()
	return *s.result
}

// setVersion gives all engines new weights.
func (s *simulation) setVersion(version int) {
	for _, e := range s.engines {
		e.setVersion(version)
	}
	s.learner.setVersion(version)
}

// crash stops a share of the engines for some time. Their requests are lost.
func (s *simulation) crash() {
	for _, e := range s.engines[:int(s.params.Crash.Share*float64(len(s.engines)))] {
		e.down = true
		for _, r := range append(slices.Clone(e.running), e.waiting...) {
			r.canceled = true
			r.ended(false)
		}
		e.running, e.waiting, e.used = nil, nil, 0
		e.setVersion(e.version)
		s.at(s.now+s.params.Crash.For, func() { e.down = false })
	}
}

// scheduleArrival schedules the next request of the source.
func (s *simulation) scheduleArrival(source *source) {
	pause := time.Duration(s.random.ExpFloat64() / source.class.Rate * float64(time.Second))
	s.at(s.now+pause, func() {
		q := source.next(s.now, s.random.IntN(s.params.Routers))
		s.classes[q.class.Name].requests++
		s.at(s.now+s.params.CallerDelay, func() { s.forward(q) })
		s.scheduleArrival(source)
	})
}

// record records the time at which the caller received the first event.
func (s *simulation) record(q *request, at time.Duration) {
	took := at - q.sentAt
	c := s.classes[q.class.Name]
	c.times = append(c.times, took)
	if took <= q.class.Aim {
		c.inAim++
	}
}

// readAgainWindow is the time after the last use of a part within which computing it
// again counts as waste.
const readAgainWindow = 10 * time.Second

// countRead counts the prompt tokens that an engine computes for a request of which
// it has the given number of leading parts.
func (s *simulation) countRead(e *engine, q *request, have int) {
	s.result.Read += q.promptTokens - sum(q.parts[:have])
	for i, key := range q.keys[:q.shared] {
		k := storedKey{e.version, key}
		last, known := s.read[k]
		if i >= have && known && s.now-last < readAgainWindow {
			s.result.ReadAgain += q.parts[i]
		}
		s.read[k] = s.now
	}
}

// measureBalance compares the busiest engine of the last second with the mean.
func (s *simulation) measureBalance() {
	total, most, up := 0, 0, 0
	for _, e := range s.engines {
		total += e.requests
		most = max(most, e.requests)
		e.requests = 0
		if !e.down {
			up++
		}
	}
	if total > 0 {
		s.ratios = append(s.ratios, float64(most)*float64(up)/float64(total))
	}
	s.at(s.now+time.Second, s.measureBalance)
}

// finish computes the result.
func (s *simulation) finish() {
	for _, class := range s.params.Classes {
		c := s.classes[class.Name]
		result := ClassResult{Name: class.Name, Requests: c.requests, InAim: float64(c.inAim) / float64(max(c.requests, 1))}
		if n := len(c.times); n > 0 {
			slices.Sort(c.times)
			result.P50, result.P99 = c.times[n/2], c.times[n*99/100]
		}
		s.result.Classes = append(s.result.Classes, result)
	}
	for _, r := range s.ratios {
		s.result.BusiestToMean += r / float64(len(s.ratios))
	}
}

// newFleet returns the fleet of a router in the zone with all engines listed.
func (s *simulation) newFleet(zone int) *amrpool.Fleet {
	f := amrpool.New(
		amrpool.WithAvailabilityZone(zoneName(zone)),
		amrpool.WithCacheTokens(func(string) int { return s.params.Engine.MemoryTokens }),
	)
	for _, e := range s.engines {
		f.UpdateServer(amrpool.Listing{
			Name: e.name, Pool: pool, Address: e.name, AvailabilityZone: zoneName(e.zone), Slots: e.model.Slots, Weights: map[string]int{model: 1},
		})
	}
	var stores []amrroute.CacheStore
	for _, e := range s.stores {
		stores = append(stores, amrroute.CacheStore{Name: e.name, Address: e.name, AvailabilityZone: zoneName(e.zone)})
	}
	f.SetStores(stores)
	return f
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

// poolRequest returns the request in the terms of package amrpool.
func (q *request) poolRequest() amrpool.Request {
	return amrpool.Request{
		Pool: pool, Model: model, Parts: q.ids, PromptTokens: q.promptTokens, OutputTokens: q.outputTokens,
		MaxWait: q.class.Aim, Urgent: q.class.Priority == 0,
	}
}
