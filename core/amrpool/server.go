package amrpool

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// loadReportHorizon is the age at which a backend server's report of its
	// load no longer says anything about the requests of other routers.
	loadReportHorizon = 1500 * time.Millisecond

	// faultHalfLife is the time in which the fault score decays to half.
	faultHalfLife = 4 * time.Second

	// maxFaults is the maximum fault score. It limits how long a server that
	// has recovered is penalized, so that the server is soon tried again.
	maxFaults = 4.0

	// faultRetention is the share of the fault score that remains after a
	// complete response.
	faultRetention = 0.7

	// rejectedBackoff is the time for which a server that rejected a request
	// for lack of capacity is avoided.
	rejectedBackoff = 300 * time.Millisecond

	// unreachableBackoff is the time for which a server that does not accept
	// connections is avoided.
	unreachableBackoff = 500 * time.Millisecond
)

// Listing is the entry of a backend server in the platform's list.
type Listing struct {
	Name             string
	Pool             string
	Address          string // IP address and port.
	AvailabilityZone string
	Slots            int            // Number of requests that the server runs concurrently.
	Software         string         // Version of the server's software, not of the weights; there is no order between versions. Empty if the platform does not provide it.
	Draining         bool           // Whether the server accepts no new requests.
	Started          time.Time      // Start of this incarnation of the server; zero if the platform does not provide it.
	Weights          map[string]int // Version of the weights by model.
}

// Load is the load that a backend server reports.
type Load struct {
	Running int // Number of running requests.
	Waiting int // Number of queued requests.
	Slots   int // Number of requests that the server runs concurrently.

	// Pace is how long work takes on the server's host at this moment, relative to the
	// usual time; 0 if the server does not report it.
	Pace float64
}

// ServerID identifies a backend server in messages between routers. It is a hash of
// the server's name. Two servers with the same ID would only make the choice of a
// server less efficient.
type ServerID uint32

// IDOf returns the ID of the named server.
func IDOf(name string) ServerID {
	return ServerID(xxh3.HashString(name))
}

// server is the state of a backend server as far as the router knows it.
type server struct {
	Listing
	id       ServerID
	hash     uint64             // Hash of the name, for rendezvous hashing.
	groups   int                // Number of groups for which group was computed; 0 if it was not.
	group    int                // Index of its placement group.
	goneAt   time.Time          // Time from which the server counts as gone; zero unless it was removed or replaced.
	software SoftwareID         // ID of Listing.Software.
	zone     ZoneID             // ID of Listing.AvailabilityZone.
	signals  incarnationSignals // What this incarnation told about itself.
	version  map[string]int     // Version of the weights by model.
	change   WeightsChange      // Change of weights that is planned or in progress; the zero value if there is none.

	changeUntil time.Time // Time until which change keeps requests away; zero for no limit.

	// Of the requests that this router sent or placed for other routers:
	inFlight      int // Requests in flight.
	pendingTokens int // Prompt tokens that are not known to be processed.
	heldTokens    int // Memory that the requests in flight take, in tokens.

	load           Load      // Last report of the server itself.
	loadAt         time.Time // Time of load; zero if there is none.
	inFlightAtLoad int       // inFlight at loadAt.
	faults         float64   // Fault score at faultsAt.
	faultsAt       time.Time
	avoidUntil     time.Time // Time until which other servers are preferred.
	answeredAt     time.Time // Time of the last beginning of a response; zero if there was none.

	// Of a server with a limit:
	nextDue     time.Time // Time at which the next request is due; see withinLimit.
	nextTurn    time.Time // Time at which the next caller is told to come back.
	announcedAt time.Time // Time at which the limit was last announced to other routers.

	parts     *partCache
	occupancy occupancy
}

// newServer returns the server of the listing, with memory for cacheTokens
// tokens.
func newServer(l Listing, cacheTokens int, signals signalMemory) *server {
	s := &server{
		id:      IDOf(l.Name),
		hash:    xxh3.HashString(l.Name),
		version: make(map[string]int),
		parts:   newPartCache(cacheTokens),
	}
	s.updateListing(l, signals)
	return s
}

// updateListing replaces the listing. It ignores older versions of the weights
// than those known of this incarnation because listings may be out of date. For
// the same reason an incarnation that was draining or leaving remains so.
func (s *server) updateListing(l Listing, signals signalMemory) {
	if s.Name != "" && !l.Started.Equal(s.Started) {
		s.reset()
	}
	s.signals = signals.of(s.id, l.Started)
	if l.Draining {
		s.signals.leaving = true
		signals.put(s.id, s.signals)
	}
	s.Listing = l
	s.software, s.zone = SoftwareIDOf(l.Software), ZoneIDOf(l.AvailabilityZone)
	s.goneAt = time.Time{}
	for model, version := range l.Weights {
		s.observeVersion(model, version)
	}
}

// reset discards the state of the previous incarnation.
func (s *server) reset() {
	s.version = make(map[string]int)
	s.parts.clear()
	s.faults = 0
	s.avoidUntil, s.answeredAt = time.Time{}, time.Time{}
	s.loadAt = time.Time{}
	s.change = WeightsChange{}
	s.occupancy.slots, s.occupancy.tokens, s.occupancy.accuracy = drain{}, drain{}, accuracy{}
	s.nextDue, s.nextTurn, s.announcedAt = time.Time{}, time.Time{}, time.Time{}
}

// observeVersion records a version of a model's weights unless the server is
// known to hold the same or a newer one. New weights invalidate all cached
// parts.
func (s *server) observeVersion(model string, version int) {
	if version <= s.version[model] {
		return
	}
	s.version[model] = version
	s.parts.clear()
}

// acceptsRequests reports whether the server may get new requests.
func (s *server) acceptsRequests(now time.Time) bool {
	return !s.signals.leaving && !s.isGone(now)
}

// isGone reports whether the server counts as gone: either its grace time after
// its removal from the list has passed, or another server answered at its
// address.
func (s *server) isGone(now time.Time) bool {
	return !s.goneAt.IsZero() && !now.Before(s.goneAt)
}

// otherRequests estimates from the server's last report the number of requests in
// flight there that this router neither sent nor placed. The estimate decreases
// linearly with the age of the report.
func (s *server) otherRequests(now time.Time) float64 {
	if s.loadAt.IsZero() {
		return 0
	}
	age := now.Sub(s.loadAt)
	if age >= loadReportHorizon {
		return 0
	}
	otherRequests := float64(max(0, s.load.Running+s.load.Waiting-s.inFlightAtLoad))
	return otherRequests * (1 - age.Seconds()/loadReportHorizon.Seconds())
}

// faultScore returns the number of recent faults, with exponentially decreasing
// weight.
func (s *server) faultScore(now time.Time) float64 {
	if s.faults == 0 {
		return 0
	}
	halfLives := now.Sub(s.faultsAt).Seconds() / faultHalfLife.Seconds()
	return s.faults * math.Exp2(-halfLives)
}

// addFault adds a fault of the given weight to the fault score.
func (s *server) addFault(now time.Time, weight float64) {
	s.faults = min(maxFaults, s.faultScore(now)+weight)
	s.faultsAt = now
}

// reduceFaults reduces the fault score after a complete response.
func (s *server) reduceFaults(now time.Time) {
	s.faults = s.faultScore(now) * faultRetention
	s.faultsAt = now
}

// avoid makes selection prefer other servers until the given time. It never
// shortens the time.
func (s *server) avoid(until time.Time) {
	if until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// rank returns the rendezvous hash of the server and the key. Among several
// servers, the one with the highest rank is the preferred one for the key.
func (s *server) rank(key uint64) uint64 {
	return mix(s.hash ^ key)
}

// mix applies the 64-bit finalizer of MurmurHash3, which makes each bit of x
// affect all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
