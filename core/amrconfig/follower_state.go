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
	// MaxPropagationDelay is the time within which an accepted change must be
	// in force in every process. A process that has been behind another one
	// for longer is not ready to serve requests.
	MaxPropagationDelay = 10 * time.Second

	headPollInterval = 600 * time.Millisecond // Time between reads of the head by a head reader.
	maxPullWait      = 2 * time.Second        // Longest time that a peer may delay its reply to a pull.
	pullInterval     = 200 * time.Millisecond // Time from the reply to a pull until the next pull.

	// A process whose records have not been confirmed as the newest for this
	// time reads the store itself.
	maxFreshAge = 4 * time.Second

	// Maximum random delay before the first direct read, so that processes
	// that lose their source at the same time do not read the store at the
	// same time.
	directReadJitter = 2 * time.Second

	directReadInterval = 2 * time.Second // Time between direct reads of one process.
	maxReadBackoff     = 8 * time.Second // Longest time between reads while they fail.
	peerCooldown       = 5 * time.Second // Time for which a peer is not asked after it failed or returned stale records.
	startJitter        = time.Second     // Maximum random delay before the first read after a start.

	snapshotRequests      = 4 // Peers that are asked for a snapshot at the same time.
	snapshotRetryInterval = 250 * time.Millisecond
)

// FollowerState is the state machine of a Follower: given the events of a
// process, it decides when to read the records and from which source. It does
// no I/O, and given the same events, times and random numbers it makes the same
// decisions. It is not safe for concurrent use.
//
// In each availability zone, a few routers poll the head in the store; these
// are the head readers. The other processes pull new records from a head
// reader of their zone, and read the store directly only if they receive no
// fresh records this way.
type FollowerState struct {
	name   string
	zone   string
	random *rand.Rand

	set             amrrecord.Set
	peers           []Peer
	slot            int64     // Time slot that headReaders was computed for; -1 if it must be computed again.
	headReaders     []Peer    // Head readers of all availability zones.
	confirmedAt     time.Time // Time at which the current revision was last known to be the newest.
	startedAt       time.Time
	highestObserved uint64    // Highest revision that any process is known to have seen.
	behindSince     time.Time // Time at which a revision above the current one was first observed.
	stale           bool      // Result of the staleness check in the last call of storeReadDue.

	readInFlight      bool
	nextStoreRead     time.Time
	readFailures      int
	pullInFlight      bool
	nextPull          time.Time
	avoidUntil        map[string]time.Time // Time until which each of these peers is not asked.
	snapshotsInFlight int                  // Number of FetchSnapshot actions without a result.
	nextSnapshot      time.Time
}

// NewFollowerState returns the FollowerState of the process with the given name
// in the availability zone. It uses random for jitter and for the choice
// between equivalent peers.
func NewFollowerState(name, zone string, random *rand.Rand) *FollowerState {
	return &FollowerState{
		name:       name,
		zone:       zone,
		random:     random,
		set:        amrrecord.Set{}.WithAvailabilityZone(zone),
		slot:       -1,
		avoidUntil: map[string]time.Time{},
	}
}

// Current returns the newest records that the process has.
func (s *FollowerState) Current() amrrecord.Set {
	return s.set
}

// Age returns the time since the records were last known to be the newest.
func (s *FollowerState) Age(now time.Time) time.Duration {
	return now.Sub(s.confirmedAt)
}

// Ready reports whether the process may serve requests: it has loaded the
// records, and it has not been behind another process for longer than
// MaxPropagationDelay.
func (s *FollowerState) Ready(now time.Time) bool {
	hasRecords := s.set.Revision() > 0 || !s.confirmedAt.IsZero()
	behind := s.highestObserved > s.set.Revision() && now.Sub(s.behindSince) > MaxPropagationDelay
	return hasRecords && !behind
}

// Handle processes the event and returns the actions to start. The caller
// passes the result of each action to Handle as another event.
func (s *FollowerState) Handle(now time.Time, e Event) []Action {
	if s.startedAt.IsZero() {
		s.start(now)
	}
	switch e := e.(type) {
	case Tick:
	case PeersUpdated:
		s.peers = e.Peers
		s.slot = -1
		maps.DeleteFunc(s.avoidUntil, func(_ string, until time.Time) bool { return now.After(until) })
	case StoreRead:
		s.handleStoreRead(now, e)
	case Pulled:
		s.handlePulled(now, e)
	case SnapshotFetched:
		s.snapshotsInFlight--
		if e.Err == nil {
			s.adopt(e.Set)
		}
	case RevisionObserved:
		s.observeRevision(now, e.Revision)
	}
	return s.dueActions(now)
}

// NextTick returns the time at which Handle must be called with a Tick if no
// other event occurs before.
func (s *FollowerState) NextTick(now time.Time) time.Time {
	next := now.Add(headPollInterval)
	for _, t := range []time.Time{s.nextStoreRead, s.nextPull} {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	return next
}

// start schedules the first reads of the process.
func (s *FollowerState) start(now time.Time) {
	s.startedAt = now
	s.nextStoreRead = now.Add(s.jitter(startJitter))
	s.nextPull = now
	s.nextSnapshot = now
}

// adopt replaces the current set by the given one if it has a higher revision.
// This is the only place that sets the revision, so the revision never
// decreases.
func (s *FollowerState) adopt(set amrrecord.Set) {
	if set.Revision() > s.set.Revision() {
		s.set = set.WithAvailabilityZone(s.zone)
	}
}

// confirm records that the current revision was the newest one at the given
// time.
func (s *FollowerState) confirm(asOf time.Time) {
	if asOf.After(s.confirmedAt) {
		s.confirmedAt = asOf
	}
}

// handleStoreRead processes the result of a read of the store. After an error,
// the next read is delayed by an exponential backoff with jitter.
func (s *FollowerState) handleStoreRead(now time.Time, e StoreRead) {
	s.readInFlight = false
	if e.Err != nil {
		s.readFailures++
		backoff := min(headPollInterval<<min(s.readFailures, 5), maxReadBackoff)
		s.nextStoreRead = now.Add(backoff/2 + s.jitter(backoff/2))
		return
	}
	s.readFailures = 0
	s.adopt(e.Set)
	s.confirm(e.StartedAt)
}

// handlePulled processes the result of a pull. A peer that failed or whose
// records are stale is not asked again for the time peerCooldown.
func (s *FollowerState) handlePulled(now time.Time, e Pulled) {
	s.pullInFlight = false
	s.nextPull = now.Add(pullInterval)
	if e.Err == nil {
		s.adopt(e.Set)
	}
	if e.Err == nil && e.Age <= MaxPropagationDelay {
		s.confirm(now.Add(-e.Age))
	}
	if e.Err != nil || e.Age > maxFreshAge {
		s.avoidUntil[e.From.Name] = now.Add(peerCooldown)
	}
}

// observeRevision records that some process has seen the revision.
func (s *FollowerState) observeRevision(now time.Time, revision uint64) {
	if revision > max(s.highestObserved, s.set.Revision()) {
		if s.highestObserved <= s.set.Revision() {
			s.behindSince = now
		}
		s.highestObserved = revision
	}
}

// IsHeadReader reports whether the process is a head reader at the given time.
func (s *FollowerState) IsHeadReader(now time.Time) bool {
	if slot := slotAt(now); slot != s.slot {
		s.slot, s.headReaders = slot, headReaders(s.peers, slot)
	}
	return slices.ContainsFunc(s.headReaders, func(p Peer) bool { return p.Name == s.name })
}

// dueActions returns the actions that are due.
func (s *FollowerState) dueActions(now time.Time) []Action {
	var actions []Action
	isHeadReader := s.IsHeadReader(now)
	if s.set.Revision() == 0 && s.confirmedAt.IsZero() {
		actions = s.fetchSnapshots(now)
	}
	if s.storeReadDue(now, isHeadReader) {
		s.readInFlight = true
		actions = append(actions, ReadStore{})
	}
	if !s.pullInFlight && !now.Before(s.nextPull) && (!isHeadReader || s.Age(now) > maxFreshAge) {
		if from, ok := s.pullSource(now); ok {
			s.pullInFlight = true
			actions = append(actions, Pull{From: from, Since: s.set.Revision(), Wait: s.pullWait(now)})
		}
	}
	return actions
}

// storeReadDue reports whether the store must be read now, and schedules the
// next read. Processes that are not head readers read the store only while
// their records are stale or behind.
func (s *FollowerState) storeReadDue(now time.Time, isHeadReader bool) bool {
	stale := s.Age(now) > maxFreshAge || s.isBehind(now)
	if !isHeadReader && stale && !s.stale && !s.confirmedAt.IsZero() && s.readFailures == 0 {
		s.nextStoreRead = now.Add(s.jitter(directReadJitter))
	}
	s.stale = stale
	if s.readInFlight || now.Before(s.nextStoreRead) || (!isHeadReader && !stale) {
		return false
	}
	interval := directReadInterval
	if isHeadReader {
		interval = headPollInterval
	}
	s.nextStoreRead = now.Add(interval - interval/10 + s.jitter(interval/5))
	return true
}

// isBehind reports whether another process has had a newer revision for longer
// than pulls usually take to deliver it.
func (s *FollowerState) isBehind(now time.Time) bool {
	return s.highestObserved > s.set.Revision() && now.Sub(s.behindSince) > maxFreshAge/2
}

// pullWait returns the time for which the peer may delay its reply until it
// has a newer revision. A process whose records are stale or behind, such as
// one that has just started, wants the reply immediately.
func (s *FollowerState) pullWait(now time.Time) time.Duration {
	if s.Age(now) > maxFreshAge || s.isBehind(now) {
		return 0
	}
	return maxPullWait
}

// pullSource returns the head reader to pull from. It prefers those in the
// process's own availability zone, and skips those that failed or returned
// stale records within peerCooldown. The choice among the rest depends on a
// hash of the process name, which spreads the processes over the head readers.
func (s *FollowerState) pullSource(now time.Time) (Peer, bool) {
	var own, others []Peer
	for _, p := range s.headReaders {
		switch {
		case p.Name == s.name || now.Before(s.avoidUntil[p.Name]):
		case p.AvailabilityZone == s.zone:
			own = append(own, p)
		default:
			others = append(others, p)
		}
	}
	candidates := own
	if len(candidates) == 0 {
		candidates = others
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[xxh3.HashString(s.name)%uint64(len(candidates))], true
}

// fetchSnapshots returns actions that ask some routers and some sidecars for
// all records. It returns none while earlier ones are in flight.
func (s *FollowerState) fetchSnapshots(now time.Time) []Action {
	if s.snapshotsInFlight > 0 || now.Before(s.nextSnapshot) {
		return nil
	}
	s.nextSnapshot = now.Add(snapshotRetryInterval)
	var routers []Peer
	for _, i := range s.random.Perm(len(s.peers)) {
		if p := s.peers[i]; p.Name != s.name && !p.Sidecar {
			routers = append(routers, p)
		}
	}
	var actions []Action
	for _, sources := range [][]Peer{routers, SnapshotHolders(s.peers, s.zone)} {
		for _, p := range sources[:min(snapshotRequests/2, len(sources))] {
			s.snapshotsInFlight++
			actions = append(actions, FetchSnapshot{From: p})
		}
	}
	return actions
}

// jitter returns a random duration from 0 to d.
func (s *FollowerState) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
