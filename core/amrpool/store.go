package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrroute"
)

const (
	// peerFresh is how long ago an engine must have used parts at most to be
	// asked for them: later they may be evicted.
	peerFresh = 2 * time.Second

	// maxSaved bounds the saved parts that a router remembers.
	maxSaved = 16384

	// saveAgain is the time after which parts are saved again: the store may
	// have dropped them.
	saveAgain = 8 * time.Second
)

// storeParts remembers which parts were saved to the store.
type storeParts struct {
	stores []amrroute.CacheStore
	saved  *simplelru.LRU[uint64, time.Time] // When the router last asked to save, by salted key.
}

func newStoreParts() storeParts {
	saved, err := simplelru.NewLRU[uint64, time.Time](maxSaved, nil)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return storeParts{saved: saved}
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

// fetchFrom returns the address from which the chosen server can fetch shared
// parts that it lacks: of a server that used them a moment ago, or else of the
// store.
func (f *Fleet) fetchFrom(now time.Time, r Request, c candidate, eligible []*server, keys []uint64) string {
	shared := r.shared()
	if shared == 0 {
		return ""
	}
	var source *server
	depth := c.depth
	for _, s := range eligible {
		if s == c.server || s.version[r.Model] != c.version {
			continue
		}
		if d := min(s.parts.freshDepth(now.Add(-peerFresh), keys), shared); d > depth {
			source, depth = s, d
		}
	}
	if source != nil && depth == shared {
		return source.Address
	}
	return f.storeAddress()
}

// saveTo returns the address of the store that is to get the parts, or "".
func (f *Fleet) saveTo(now time.Time, r Request, keys []uint64, salt string) string {
	address := f.storeAddress()
	if address == "" || r.shared() == 0 {
		return ""
	}
	key := xxh3.HashStringSeed(salt, keys[r.shared()-1])
	if at, ok := f.store.saved.Get(key); ok && now.Sub(at) < saveAgain {
		return ""
	}
	f.store.saved.Add(key, now)
	return address
}
