package amrpool

import (
	"math"
	"time"
)

const (
	// othersHorizon is how long a report of a backend server's load says
	// anything about the requests of other routers.
	othersHorizon = 1500 * time.Millisecond

	// faultHalfLife is the time in which the evidence of faults halves.
	faultHalfLife = 4 * time.Second

	// maxFaults bounds the evidence, so that a server that recovered is tried
	// again soon.
	maxFaults = 4.0

	// faultRelief is the share of the evidence that an answer leaves.
	faultRelief = 0.7

	// busyFor is how long a server that rejected a request as full gets none.
	busyFor = 300 * time.Millisecond

	// refusedFor is the same for a server that does not accept connections.
	refusedFor = 500 * time.Millisecond
)

// Listing is a backend server as the platform lists it.
type Listing struct {
	Name             string
	Pool             string
	Address          string // IP address and port.
	AvailabilityZone string
	Slots            int // Requests that run at once.
	Draining         bool
	Started          time.Time      // Start of this incarnation; zero where the platform does not tell.
	Weights          map[string]int // Version of each model's weights.
}

// Load is what a backend server says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// server is what a router knows of a backend server.
type server struct {
	Listing
	hash    uint64
	joined  time.Time
	gone    time.Time // From when on it counts as gone; zero while it is listed.
	version map[string]int
	updated map[string]time.Time // When the version of a model last changed.
	change  Change

	inFlight      int
	pendingTokens int // Prompt tokens sent that are not known to be read.
	heldTokens    int // Tokens of requests in flight.
	filled        int // Tokens of its memory taken that other routers are still to be told of.

	told  told
	heard heardLoads

	load       Load
	loadAt     time.Time
	ownAtLoad  int
	faults     float64
	faultsAt   time.Time
	avoidUntil time.Time

	parts *partCache
}

func newServer(now time.Time, l Listing, cacheTokens int) *server {
	s := &server{
		hash:    HashOf(l.Name),
		joined:  now,
		version: make(map[string]int),
		updated: make(map[string]time.Time),
		parts:   newPartCache(cacheTokens),
	}
	s.list(now, l)
	return s
}

// list takes in a listing. Weights never go back within an incarnation,
// because lists are late.
func (s *server) list(now time.Time, l Listing) {
	if s.Name != "" && !l.Started.Equal(s.Started) {
		s.restart(now)
	}
	s.Listing = l
	s.gone = time.Time{}
	for model, version := range l.Weights {
		s.sawVersion(now, model, version)
	}
}

// restart forgets what a former incarnation held.
func (s *server) restart(now time.Time) {
	s.joined = now
	s.version = make(map[string]int)
	s.updated = make(map[string]time.Time)
	s.parts.clear()
	s.faults = 0
	s.avoidUntil = time.Time{}
	s.loadAt = time.Time{}
	s.change = Change{}
}

func (s *server) sawVersion(now time.Time, model string, version int) {
	if version <= s.version[model] {
		return
	}
	s.version[model] = version
	s.updated[model] = now
	s.parts.clear()
}

// usable reports whether the server may get new work.
func (s *server) usable(now time.Time) bool {
	return !s.Draining && !s.isGone(now)
}

func (s *server) isGone(now time.Time) bool {
	return !s.gone.IsZero() && !now.Before(s.gone)
}

// others estimates the requests of other routers in progress at the server.
func (s *server) others(now time.Time) float64 {
	if s.loadAt.IsZero() {
		return 0
	}
	age := now.Sub(s.loadAt)
	if age >= othersHorizon {
		return 0
	}
	others := float64(max(0, s.load.Running+s.load.Waiting-s.ownAtLoad))
	return others * (1 - age.Seconds()/othersHorizon.Seconds())
}

// evidence returns the weight of the faults seen lately.
func (s *server) evidence(now time.Time) float64 {
	if s.faults == 0 {
		return 0
	}
	halves := now.Sub(s.faultsAt).Seconds() / faultHalfLife.Seconds()
	return s.faults * math.Exp2(-halves)
}

func (s *server) fault(now time.Time, weight float64) {
	s.faults = min(maxFaults, s.evidence(now)+weight)
	s.faultsAt = now
}

func (s *server) relieve(now time.Time) {
	s.faults = s.evidence(now) * faultRelief
	s.faultsAt = now
}

func (s *server) avoid(until time.Time) {
	if until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// rank is the server's place in the order of homes of a key: the server with
// the highest rank is the key's home.
func (s *server) rank(key uint64) uint64 {
	return mix(s.hash ^ key)
}

// mix spreads the bits of x evenly.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
