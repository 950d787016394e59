package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthreach.example/core/amrroute"
)

const (
	// peerFresh is how long ago an engine must have used parts at most to be
	// asked for them: later they may be evicted.
	peerFresh = 2 * time.Second

	// cachedFor is how long after their last use parts are taken to be cached.
	cachedFor = 8 * time.Second

	// maxStored bounds the parts in the store that a router remembers.
	maxStored = 16384

	// storeDelay is the time from the answer to a request whose parts are saved
	// until they can be fetched.
	storeDelay = 50 * time.Millisecond

	// saveTimeout is the time after which parts that were to be saved are saved
	// again by another request.
	saveTimeout = 2 * time.Second

	// storedFor is how long parts are taken to be in the store.
	storedFor = 15 * time.Second
)

// storeParts remembers which parts are in the stores of cached parts.
type storeParts struct {
	stores []amrroute.CacheStore
	parts  *simplelru.LRU[storeKey, storedPart]
}

// storeKey names a part made under a version of the weights.
type storeKey struct {
	version int
	key     uint64
}

// storedPart says when a part was to be saved and when it was.
type storedPart struct {
	saving time.Time
	stored time.Time // Zero until it is known to be in the store.
}

func newStoreParts() storeParts {
	parts, err := simplelru.NewLRU[storeKey, storedPart](maxStored, nil)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return storeParts{parts: parts}
}

// SetStores sets the stores of cached prompt parts.
func (f *Fleet) SetStores(stores []amrroute.CacheStore) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.stores = stores
}

// storeAddress returns the address of the store to use, or "".
func (f *Fleet) storeAddress() string {
	for _, s := range f.store.stores {
		if s.AvailabilityZone == f.zone {
			return s.Address
		}
	}
	if len(f.store.stores) > 0 {
		return f.store.stores[0].Address
	}
	return ""
}

// depth returns how many leading parts are in the store.
func (s *storeParts) depth(now time.Time, version int, keys []uint64) int {
	if len(s.stores) == 0 {
		return 0
	}
	for i, key := range keys {
		part, ok := s.parts.Peek(storeKey{version, key})
		if !ok || part.stored.IsZero() || now.Before(part.stored) || now.Sub(part.stored) >= storedFor {
			return i
		}
	}
	return len(keys)
}

// fetchFrom returns the address from which the chosen server can fetch shared
// parts that it lacks: of a server that used them a moment ago, or else of the
// store.
func (f *Fleet) fetchFrom(now time.Time, c candidate, p *prompt) string {
	if p.shared == 0 {
		return ""
	}
	source := p.deepest
	if source != c.server && source.version[p.model] == c.version && p.fresh[source] > max(p.stored[c.version], p.fresh[c.server]) {
		return source.Address
	}
	return f.storeAddress()
}

// saveTo returns the address of the store that is to get the parts, or "".
func (f *Fleet) saveTo(now time.Time, version int, p *prompt) string {
	address := f.storeAddress()
	if address == "" || p.shared == 0 || p.stored[version] == p.shared {
		return ""
	}
	key := storeKey{version, p.keys[p.shared-1]}
	if part, ok := f.store.parts.Peek(key); ok && now.Sub(part.saving) < saveTimeout {
		return ""
	}
	f.store.parts.Add(key, storedPart{saving: now})
	return address
}

// saved notes that the shared parts are in the store soon.
func (s *storeParts) saved(now time.Time, version int, keys []uint64) {
	for _, key := range keys {
		s.parts.Add(storeKey{version, key}, storedPart{saving: now, stored: now.Add(storeDelay)})
	}
}
