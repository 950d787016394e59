package amrconfig

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrrecord"
)

const pollInterval = 500 * time.Millisecond

// Follower keeps a process at the newest records. It never goes back to a
// lower revision.
type Follower struct {
	store   *Store
	clock   clockwork.Clock
	current atomic.Pointer[amrrecord.Set]
}

// NewFollower returns a follower of the store.
func NewFollower(store *Store) *Follower {
	f := &Follower{store: store, clock: store.clock}
	f.current.Store(&amrrecord.Set{})
	return f
}

// Current returns the newest records known.
func (f *Follower) Current() amrrecord.Set {
	return *f.current.Load()
}

// Run follows the head until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		if set, err := f.store.Load(ctx); err == nil {
			f.Offer(set)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.clock.After(pollInterval):
		}
	}
}

// Offer takes the set when it is newer than the current one, and reports
// whether it did.
func (f *Follower) Offer(set amrrecord.Set) bool {
	for {
		current := f.current.Load()
		if set.Revision() <= current.Revision() {
			return false
		}
		if f.current.CompareAndSwap(current, &set) {
			return true
		}
	}
}
