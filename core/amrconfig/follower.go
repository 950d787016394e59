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
	// Time between two looks at the list of peers, and while the process has no
	// records yet.
	membersInterval = time.Second
	startInterval   = 50 * time.Millisecond

	// Time for one call beyond the time that a peer may wait.
	callTimeout = time.Second

	// Time for reading the store. What was read by then is kept.
	readTimeout = 5 * time.Second
)

// Peers calls other processes for records.
type Peers interface {
	// Pull returns what the peer has above the revision. The peer answers
	// when it has something, and at the latest after wait.
	Pull(ctx context.Context, from Peer, above uint64, wait time.Duration) (Delta, error)
}

// Follower keeps a process at the newest records. It never goes back to a
// lower revision. It is safe for concurrent use.
type Follower struct {
	store  *Store
	clock  clockwork.Clock
	self   Peer
	seed   uint64
	peers  Peers
	list   func() []Peer
	events chan Event

	mu      sync.Mutex
	core    *Core
	recent  recent
	changed chan struct{} // Closed when the records change.
	whole   wholeCache
}

type wholeCache struct {
	revision uint64
	data     []byte
}

// NewFollower returns a follower of the store. Without options it follows the
// store alone.
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
	f.core = NewCore(f.self.Name, f.self.AvailabilityZone, rand.New(rand.NewPCG(f.seed, 0)))
	f.store = store.forZone(f.self.AvailabilityZone)
	return f
}

// FollowerOption sets a property of a follower.
type FollowerOption func(*Follower)

// WithSelf sets the name, the address and the availability zone of the process.
func WithSelf(self Peer) FollowerOption {
	return func(f *Follower) { f.self = self }
}

// WithPeers sets the way to other processes and the list of those that live.
func WithPeers(peers Peers, list func() []Peer) FollowerOption {
	return func(f *Follower) { f.peers, f.list = peers, list }
}

// WithFollowerSeed sets the seed of what the follower does by chance.
func WithFollowerSeed(seed uint64) FollowerOption {
	return func(f *Follower) { f.seed = seed }
}

// Current returns the newest records known.
func (f *Follower) Current() amrrecord.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Set()
}

// Ready reports whether the records are new enough to serve by.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Ready(f.clock.Now())
}

// Age returns the time since the records were known to be the newest.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Age(f.clock.Now())
}

// IsReader reports whether the process reads the head for others.
func (f *Follower) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.IsReader(f.clock.Now())
}

// Heard notes that another process has seen the revision.
func (f *Follower) Heard(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.hear(f.clock.Now(), revision)
}

// Pull returns what is above the revision, for another process. When there is
// nothing it waits for a change, at most for wait.
func (f *Follower) Pull(ctx context.Context, above uint64, wait time.Duration) (Delta, error) {
	timeout := f.clock.NewTimer(wait)
	defer timeout.Stop()
	for {
		f.mu.Lock()
		newer, changed := f.core.Set().Revision() > above, f.changed
		f.mu.Unlock()
		if newer {
			return f.delta(above)
		}
		select {
		case <-ctx.Done():
			return Delta{}, ctx.Err()
		case <-timeout.Chan():
			return f.delta(above)
		case <-changed:
		}
	}
}

// Run follows the records until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.loop(ctx, g) })
	return g.Wait()
}

func (f *Follower) loop(ctx context.Context, g *errgroup.Group) error {
	var members time.Time
	for event := Event(Tick{}); ; {
		now := f.clock.Now()
		interval := f.membersInterval()
		if now.Sub(members) >= interval {
			members = now
			f.act(ctx, g, Members{Peers: f.listPeers()})
		}
		next := f.act(ctx, g, event)
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

func (f *Follower) membersInterval() time.Duration {
	if f.Current().Revision() == 0 {
		return startInterval
	}
	return membersInterval
}

// act lets the core handle the event, starts what it asks for and returns when
// it wants the next event at the latest.
func (f *Follower) act(ctx context.Context, g *errgroup.Group, event Event) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	actions := f.core.Handle(now, event)
	set := f.core.Set()
	if set.Revision() > f.recent.revision() {
		f.recent = f.recent.with(set)
		close(f.changed)
		f.changed = make(chan struct{})
	}
	for _, action := range actions {
		g.Go(func() error {
			event := f.perform(ctx, action, set)
			select {
			case f.events <- event:
			case <-ctx.Done():
			}
			return nil
		})
	}
	return f.core.Next(now)
}

// perform does what the action asks for, beginning with the set.
func (f *Follower) perform(ctx context.Context, action Action, set amrrecord.Set) Event {
	switch a := action.(type) {
	case ReadStore:
		ctx, cancel := clockwork.WithTimeout(ctx, f.clock, readTimeout)
		defer cancel()
		began := f.clock.Now()
		f.store.saw(set)
		newest, err := f.store.Load(ctx)
		return StoreRead{Began: began, Set: newest, Err: err}
	case Pull:
		next, age, err := f.pull(ctx, a.From, set, a.Wait)
		return Pulled{From: a.From, Set: next, Age: age, Err: err}
	case TakeSnapshot:
		next, _, err := f.pull(ctx, a.From, set, 0)
		return SnapshotTaken{From: a.From, Set: next, Err: err}
	default:
		return Tick{}
	}
}

func (f *Follower) pull(ctx context.Context, from Peer, set amrrecord.Set, wait time.Duration) (amrrecord.Set, time.Duration, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.clock, wait+callTimeout)
	defer cancel()
	delta, err := f.peers.Pull(ctx, from, set.Revision(), wait)
	if err != nil {
		return set, 0, err
	}
	next, err := delta.Apply(set)
	return next, delta.Age, err
}

func (f *Follower) listPeers() []Peer {
	if f.list == nil {
		return []Peer{f.self}
	}
	return f.list()
}

// delta returns what is above the revision now.
func (f *Follower) delta(above uint64) (Delta, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.core.Set()
	d := Delta{Revision: set.Revision(), Age: f.core.Age(f.clock.Now())}
	switch {
	case set.Revision() <= above:
		return d, nil
	case f.recent.reaches(above):
		var err error
		d.Data, err = f.recent.data(above)
		return d, err
	case above == 0 || d.Age > freshFor:
		return f.wholeDelta(d, set)
	default:
		return d, TooOld.New("revision %d is older than what this process keeps; read the table", above)
	}
}

// wholeDelta completes the delta with all records. It keeps the data for the
// next process that starts.
func (f *Follower) wholeDelta(d Delta, set amrrecord.Set) (Delta, error) {
	if f.whole.revision != set.Revision() {
		data, err := wholeOf(set)
		if err != nil {
			return d, err
		}
		f.whole = wholeCache{set.Revision(), data}
	}
	d.Data = f.whole.data
	return d, nil
}
