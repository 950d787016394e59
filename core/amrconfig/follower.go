package amrconfig

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrrecord"
)

const (
	// Time between updates of the list of peers. It is shorter while the
	// process has no records, so that a starting process finds its peers
	// quickly.
	peerListInterval        = time.Second
	startupPeerListInterval = 50 * time.Millisecond

	// Timeout of a call to a peer, in addition to the time for which the peer
	// may delay its reply.
	callTimeout = time.Second

	// Timeout of a read of the store. A read that times out is not wasted: the
	// next one continues after the log entries that were already read.
	readTimeout = 5 * time.Second
)

// PeerClient calls other processes to obtain their records.
type PeerClient interface {
	// Pull returns the changes that the peer has since the given revision. If
	// there are none, the peer waits for a change for at most the time wait
	// and then returns an empty delta.
	Pull(ctx context.Context, from Peer, since uint64, wait time.Duration) (Delta, error)
}

// Follower keeps the records of a process up to date. The revision of its
// records never decreases. A Follower is safe for concurrent use.
type Follower struct {
	store      *Store
	clock      clockwork.Clock
	self       Peer
	seed       uint64
	peerClient PeerClient    // Nil if the follower reads only the store.
	listPeers  func() []Peer // Returns the live peers. Nil if the follower has no peers.
	events     chan Event

	mu             sync.Mutex
	state          *FollowerState
	recentSets     recentSets    // The newest sets, from which deltas for other processes are computed.
	changed        chan struct{} // Closed and replaced when the revision increases.
	fullDeltaCache cachedDelta
}

// cachedDelta is the delta data with all records at a revision.
type cachedDelta struct {
	revision uint64
	data     []byte
}

// NewFollower returns a Follower that reads from the store. Without the option
// WithPeers, it reads only from the store. The follower does nothing until Run
// is called.
func NewFollower(store *Store, opts ...FollowerOption) *Follower {
	f := &Follower{
		clock:   store.clock,
		self:    Peer{Name: "self"},
		seed:    rand.Uint64(),
		events:  make(chan Event),
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.state = NewFollowerState(f.self.Name, f.self.AvailabilityZone, rand.New(rand.NewPCG(f.seed, 0)))
	f.store = store.forZone(f.self.AvailabilityZone)
	return f
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithSelf sets the name, the address and the availability zone of the
// process.
func WithSelf(self Peer) FollowerOption {
	return func(f *Follower) { f.self = self }
}

// WithPeers sets the client for calls to other processes and the function that
// returns the live ones, which include the process itself.
func WithPeers(peerClient PeerClient, listPeers func() []Peer) FollowerOption {
	return func(f *Follower) { f.peerClient, f.listPeers = peerClient, listPeers }
}

// WithFollowerSeed sets the seed of the follower's random choices. By default,
// it is random.
func WithFollowerSeed(seed uint64) FollowerOption {
	return func(f *Follower) { f.seed = seed }
}

// Current returns the newest records that the process has.
func (f *Follower) Current() amrrecord.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Current()
}

// Ready reports whether the process may serve requests with its records. See
// FollowerState.Ready.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Ready(f.clock.Now())
}

// Age returns the time since the records were last known to be the newest.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Age(f.clock.Now())
}

// IsHeadReader reports whether the process is a head reader, which polls the
// store for the other processes of its availability zone.
func (f *Follower) IsHeadReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.IsHeadReader(f.clock.Now())
}

// ObserveRevision records that another process has seen the revision. If the
// records of this process do not reach the revision soon, the follower reads
// the store.
func (f *Follower) ObserveRevision(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.observeRevision(f.clock.Now(), revision)
}

// Pull returns the changes since the given revision, for another process. If
// there are none, it waits for a change for at most the time wait and then
// returns an empty delta. If this process no longer knows the changes since
// the revision, Pull returns all records if the other process has none or if
// the records of this process are stale, and otherwise an error of kind
// TooOld.
func (f *Follower) Pull(ctx context.Context, since uint64, wait time.Duration) (Delta, error) {
	timeout := f.clock.NewTimer(wait)
	defer timeout.Stop()
	for {
		f.mu.Lock()
		hasNewer, changed := f.state.Current().Revision() > since, f.changed
		f.mu.Unlock()
		if hasNewer {
			return f.deltaSince(since)
		}
		select {
		case <-ctx.Done():
			return Delta{}, ctx.Err()
		case <-timeout.Chan():
			return f.deltaSince(since)
		case <-changed:
		}
	}
}

// Run keeps the records up to date until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.runEventLoop(ctx, g) })
	return g.Wait()
}

// runEventLoop passes events to the state until the context ends: the list of
// peers at regular intervals, the results of actions, and ticks.
func (f *Follower) runEventLoop(ctx context.Context, g *errgroup.Group) error {
	var peersListedAt time.Time
	for event := Event(Tick{}); ; {
		now := f.clock.Now()
		interval := f.peerListInterval()
		if now.Sub(peersListedAt) >= interval {
			peersListedAt = now
			f.handleEvent(ctx, g, PeersUpdated{Peers: f.livePeers()})
		}
		next := f.handleEvent(ctx, g, event)
		timer := f.clock.NewTimer(min(next.Sub(f.clock.Now()), interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case event = <-f.events:
		case <-timer.Chan():
			event = Tick{}
		}
		timer.Stop()
	}
}

// peerListInterval returns the time until the next update of the list of
// peers.
func (f *Follower) peerListInterval() time.Duration {
	if f.Current().Revision() == 0 {
		return startupPeerListInterval
	}
	return peerListInterval
}

// handleEvent passes the event to the state, starts the actions that it
// requests in goroutines of g, and returns the time at which the state needs
// the next event at the latest. If the revision increased, it wakes the calls
// of Pull that wait for a change.
func (f *Follower) handleEvent(ctx context.Context, g *errgroup.Group, event Event) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	actions := f.state.Handle(now, event)
	set := f.state.Current()
	if set.Revision() > f.recentSets.revision() {
		f.recentSets = f.recentSets.with(set)
		close(f.changed)
		f.changed = make(chan struct{})
	}
	for _, action := range actions {
		g.Go(func() error {
			event := f.performAction(ctx, action, set)
			select {
			case f.events <- event:
			case <-ctx.Done():
			}
			return nil
		})
	}
	return f.state.NextTick(now)
}

// performAction performs the action and returns its result as an event.
// Changes received are applied to the given set.
func (f *Follower) performAction(ctx context.Context, action Action, set amrrecord.Set) Event {
	switch a := action.(type) {
	case ReadStore:
		ctx, cancel := clockwork.WithTimeout(ctx, f.clock, readTimeout)
		defer cancel()
		startedAt := f.clock.Now()
		f.store.recordNewest(set)
		newest, err := f.store.Load(ctx)
		return StoreRead{StartedAt: startedAt, Set: newest, Err: err}
	case Pull:
		next, age, err := f.pull(ctx, a.From, set, a.Wait)
		return Pulled{From: a.From, Set: next, Age: age, Err: err}
	case FetchSnapshot:
		next, _, err := f.pull(ctx, a.From, set, 0)
		return SnapshotFetched{From: a.From, Set: next, Err: err}
	default:
		return Tick{}
	}
}

// pull pulls from the peer the changes since the revision of the set. It
// returns the set with the changes applied and the age that the peer reported.
func (f *Follower) pull(ctx context.Context, from Peer, set amrrecord.Set, wait time.Duration) (amrrecord.Set, time.Duration, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.clock, wait+callTimeout)
	defer cancel()
	delta, err := f.peerClient.Pull(ctx, from, set.Revision(), wait)
	if err != nil {
		return set, 0, err
	}
	next, err := delta.Apply(set)
	return next, delta.Age, err
}

// livePeers returns the live peers including the process itself.
func (f *Follower) livePeers() []Peer {
	if f.listPeers == nil {
		return []Peer{f.self}
	}
	return f.listPeers()
}

// deltaSince returns the changes since the revision without waiting. If it no
// longer knows them, it returns all records if the other process has none or
// if its own records are stale, and otherwise an error of kind TooOld.
func (f *Follower) deltaSince(since uint64) (Delta, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.state.Current()
	d := Delta{Revision: set.Revision(), Age: f.state.Age(f.clock.Now())}
	switch {
	case set.Revision() <= since:
		return d, nil
	case f.recentSets.covers(since):
		var err error
		d.Data, err = f.recentSets.encodeSince(since)
		return d, err
	case since == 0 || d.Age > maxFreshAge:
		return f.fullDelta(d, set)
	default:
		return d, TooOld.New("revision %d is older than what this process keeps; read the table", since)
	}
}

// fullDelta returns the delta with all records as its data. It caches the
// encoding, because many processes may start at the same revision.
func (f *Follower) fullDelta(d Delta, set amrrecord.Set) (Delta, error) {
	if f.fullDeltaCache.revision != set.Revision() {
		data, err := encodeAll(set)
		if err != nil {
			return d, err
		}
		f.fullDeltaCache = cachedDelta{set.Revision(), data}
	}
	d.Data = f.fullDeltaCache.data
	return d, nil
}
