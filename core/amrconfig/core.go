package amrconfig

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrrecord"
)

const (
	// InForceBound is the time within which an accepted change is in force.
	InForceBound = 10 * time.Second

	pollInterval = 600 * time.Millisecond // Of the head, by a reader.
	pullWait     = 2 * time.Second        // For which a peer may wait with its answer.
	pullGap      = 200 * time.Millisecond // Between an answer and the next pull.

	// Time after which a process that got no word of the newest revision
	// reads the head itself.
	freshFor = 4 * time.Second

	directSpread   = 2 * time.Second // Over which direct reads are spread.
	directInterval = 2 * time.Second // Between the direct reads of a process.
	maxInterval    = 8 * time.Second // Between reads of a store that fails.
	avoidFor       = 5 * time.Second // After a peer failed or had old news.
	startSpread    = time.Second     // Over which the first reads after a start are spread.

	snapshotSources  = 4 // Peers asked for a snapshot at once.
	snapshotInterval = 250 * time.Millisecond
)

// Core decides when a process reads the records from where. It does no I/O and
// is not safe for concurrent use.
type Core struct {
	self   string
	zone   string
	random *rand.Rand

	set       amrrecord.Set
	peers     []Peer
	slot      int64     // For which readers is valid; -1 for none.
	readers   []Peer    // Of all availability zones.
	confirmed time.Time // When the revision was last known to be the newest.
	started   time.Time
	heard     uint64
	heardAt   time.Time // When a revision above the current one was first heard of.
	lapsed    bool

	reading      bool
	nextRead     time.Time
	failures     int
	pulling      bool
	nextPull     time.Time
	avoid        map[string]time.Time // Until when peers are not asked.
	snapshots    int                  // In flight.
	nextSnapshot time.Time
}

// NewCore returns the core of the process of the given name, which decides by
// chance where the order does not matter.
func NewCore(self, zone string, random *rand.Rand) *Core {
	return &Core{
		self:   self,
		zone:   zone,
		random: random,
		set:    amrrecord.Set{}.WithAvailabilityZone(zone),
		slot:   -1,
		avoid:  map[string]time.Time{},
	}
}

// Set returns the newest records known.
func (c *Core) Set() amrrecord.Set {
	return c.set
}

// Age returns the time since the records were known to be the newest.
func (c *Core) Age(now time.Time) time.Duration {
	return now.Sub(c.confirmed)
}

// Ready reports whether the process may serve: it has the records, and no
// other process has had newer ones for longer than InForceBound.
func (c *Core) Ready(now time.Time) bool {
	loaded := c.set.Revision() > 0 || !c.confirmed.IsZero()
	behind := c.heard > c.set.Revision() && now.Sub(c.heardAt) > InForceBound
	return loaded && !behind
}

// Handle takes in the event and returns what is to be done.
func (c *Core) Handle(now time.Time, e Event) []Action {
	if c.started.IsZero() {
		c.start(now)
	}
	switch e := e.(type) {
	case Tick:
	case Members:
		c.peers = e.Peers
		c.slot = -1
		maps.DeleteFunc(c.avoid, func(_ string, until time.Time) bool { return now.After(until) })
	case StoreRead:
		c.storeRead(now, e)
	case Pulled:
		c.pulled(now, e)
	case SnapshotTaken:
		c.snapshots--
		if e.Err == nil {
			c.adopt(e.Set)
		}
	case Heard:
		c.hear(now, e.Revision)
	}
	return c.act(now)
}

// Next returns when the core wants the next Tick at the latest.
func (c *Core) Next(now time.Time) time.Time {
	next := now.Add(pollInterval)
	for _, t := range []time.Time{c.nextRead, c.nextPull} {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	return next
}

func (c *Core) start(now time.Time) {
	c.started = now
	c.nextRead = now.Add(c.spread(startSpread))
	c.nextPull = now
	c.nextSnapshot = now
}

// adopt takes the set when it is newer. The revision never falls.
func (c *Core) adopt(set amrrecord.Set) {
	if set.Revision() > c.set.Revision() {
		c.set = set.WithAvailabilityZone(c.zone)
	}
}

func (c *Core) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

func (c *Core) storeRead(now time.Time, e StoreRead) {
	c.reading = false
	if e.Err != nil {
		c.failures++
		backoff := min(pollInterval<<min(c.failures, 5), maxInterval)
		c.nextRead = now.Add(backoff/2 + c.spread(backoff/2))
		return
	}
	c.failures = 0
	c.adopt(e.Set)
	c.confirm(e.Began)
}

func (c *Core) pulled(now time.Time, e Pulled) {
	c.pulling = false
	c.nextPull = now.Add(pullGap)
	if e.Err == nil {
		c.adopt(e.Set)
	}
	if e.Err == nil && e.Age <= InForceBound {
		c.confirm(now.Add(-e.Age))
	}
	if e.Err != nil || e.Age > freshFor {
		c.avoid[e.From.Name] = now.Add(avoidFor)
	}
}

func (c *Core) hear(now time.Time, revision uint64) {
	if revision > max(c.heard, c.set.Revision()) {
		if c.heard <= c.set.Revision() {
			c.heardAt = now
		}
		c.heard = revision
	}
}

// IsReader reports whether the process reads the head for others.
func (c *Core) IsReader(now time.Time) bool {
	if slot := slotOf(now); slot != c.slot {
		c.slot, c.readers = slot, readers(c.peers, slot)
	}
	return slices.ContainsFunc(c.readers, func(p Peer) bool { return p.Name == c.self })
}

// act returns the reads that are due.
func (c *Core) act(now time.Time) []Action {
	var actions []Action
	isReader := c.IsReader(now)
	if c.set.Revision() == 0 && c.confirmed.IsZero() {
		actions = c.takeSnapshots(now)
	}
	if c.readDue(now, isReader) {
		c.reading = true
		actions = append(actions, ReadStore{})
	}
	if !c.pulling && !now.Before(c.nextPull) && (!isReader || c.Age(now) > freshFor) {
		if from, ok := c.source(now); ok {
			c.pulling = true
			actions = append(actions, Pull{From: from, Above: c.set.Revision(), Wait: c.pullWait(now)})
		}
	}
	return actions
}

// readDue reports whether the store is to be read now and plans the next read.
func (c *Core) readDue(now time.Time, isReader bool) bool {
	lapsed := c.Age(now) > freshFor || c.behind(now)
	if !isReader && lapsed && !c.lapsed && !c.confirmed.IsZero() && c.failures == 0 {
		c.nextRead = now.Add(c.spread(directSpread))
	}
	c.lapsed = lapsed
	if c.reading || now.Before(c.nextRead) || (!isReader && !lapsed) {
		return false
	}
	interval := directInterval
	if isReader {
		interval = pollInterval
	}
	c.nextRead = now.Add(interval - interval/10 + c.spread(interval/5))
	return true
}

// behind reports whether a newer revision has been known elsewhere for longer
// than it takes on the usual way.
func (c *Core) behind(now time.Time) bool {
	return c.heard > c.set.Revision() && now.Sub(c.heardAt) > freshFor/2
}

// pullWait returns how long a peer may wait with its answer. The first answer
// is wanted at once.
func (c *Core) pullWait(now time.Time) time.Duration {
	if c.Age(now) > freshFor || c.behind(now) {
		return 0
	}
	return pullWait
}

// source returns the peer to pull from: a reader of the own availability zone
// that answered before, or one of another.
func (c *Core) source(now time.Time) (Peer, bool) {
	var own, others []Peer
	for _, p := range c.readers {
		switch {
		case p.Name == c.self || now.Before(c.avoid[p.Name]):
		case p.AvailabilityZone == c.zone:
			own = append(own, p)
		default:
			others = append(others, p)
		}
	}
	choice := own
	if len(choice) == 0 {
		choice = others
	}
	if len(choice) == 0 {
		return Peer{}, false
	}
	return choice[xxh3.HashString(c.self)%uint64(len(choice))], true
}

// takeSnapshots asks a few peers, routers first, for what they have.
func (c *Core) takeSnapshots(now time.Time) []Action {
	if c.snapshots > 0 || now.Before(c.nextSnapshot) {
		return nil
	}
	c.nextSnapshot = now.Add(snapshotInterval)
	var routers []Peer
	for _, i := range c.random.Perm(len(c.peers)) {
		if p := c.peers[i]; p.Name != c.self && !p.Sidecar {
			routers = append(routers, p)
		}
	}
	var actions []Action
	for _, some := range [][]Peer{routers, SnapshotHolders(c.peers, c.zone)} {
		for _, p := range some[:min(snapshotSources/2, len(some))] {
			c.snapshots++
			actions = append(actions, TakeSnapshot{From: p})
		}
	}
	return actions
}

func (c *Core) spread(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}
