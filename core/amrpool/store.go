package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrroute"
)

const (
	// peerFresh is how long ago an engine must have used parts at most to be
	// asked for them: later they may be evicted.
	peerFresh = 2500 * time.Millisecond

	// doubtful is the evidence of faults with which an engine is not asked for
	// parts: a request waits long for those of an engine that is down.
	doubtful = 0.5

	// cachedFor is how long after their last use parts are taken to be cached.
	cachedFor = 5 * time.Second

	// maxStored bounds the parts in the store that a router remembers.
	maxStored = 16384

	// storeDelay is the time from the answer to a request whose parts are saved
	// until they can be fetched.
	storeDelay = 50 * time.Millisecond

	// saveTimeout is the time after which parts that were to be saved are saved
	// again by another request.
	saveTimeout = 2 * time.Second

	// readingTime is how long parts are waited for that another request reads,
	// and pendingTokens the least number of tokens that are worth it.
	readingTime   = 350 * time.Millisecond
	pendingTokens = 1000

	// storedFor is how long parts are taken to be in the store, and renewAfter
	// the time after which they are saved again in case it dropped them.
	storedFor  = time.Minute
	renewAfter = 40 * time.Second
)

// storeParts remembers which parts are in the stores of cached parts.
type storeParts struct {
	stores []amrroute.CacheStore
	parts  *simplelru.LRU[storeKey, storedPart]
}

// storeKey names a part made under a version of the weights in a store.
type storeKey struct {
	store   uint64 // Hash of the store's name.
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

// choose returns the store of the prompts whose deepest shared part has the
// key. All routers choose the same, and each store gets its share.
func (s *storeParts) choose(key uint64) chosenStore {
	var best chosenStore
	for _, store := range s.stores {
		c := chosenStore{address: store.Address, hash: xxh3.HashString(store.Name)}
		if best.address == "" || mix(c.hash^key) > mix(best.hash^key) {
			best = c
		}
	}
	return best
}

// chosenStore is the store of a prompt. The zero value is none.
type chosenStore struct {
	address string
	hash    uint64 // Of its name.
}

// depth returns how many leading parts are in the store.
func (s *storeParts) depth(now time.Time, store chosenStore, version int, keys []uint64) int {
	if store.address == "" {
		return 0
	}
	for i, key := range keys {
		part, ok := s.parts.Peek(storeKey{store.hash, version, key})
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
	source := p.source(c.server)
	if source.server != nil && source.depth > p.freshDepth(now, c.server) && source.depth >= p.stored[c.version] {
		return source.server.Address
	}
	return p.store.address
}

// saveTo returns the address of the store that is to get the parts, or "".
func (f *Fleet) saveTo(now time.Time, version int, p *prompt) string {
	if p.store.address == "" || p.shared == 0 {
		return ""
	}
	key := storeKey{p.store.hash, version, p.keys[p.shared-1]}
	part, ok := f.store.parts.Peek(key)
	switch {
	case ok && now.Sub(part.saving) < saveTimeout:
		return ""
	case p.stored[version] < p.shared:
	case now.Sub(part.saving) < renewAfter:
		return ""
	default:
		part.saving = now
		f.store.parts.Add(key, part)
		return p.store.address
	}
	for _, k := range p.keys[p.stored[version]:p.shared] {
		f.store.parts.Add(storeKey{p.store.hash, version, k}, storedPart{saving: now})
	}
	f.notify(version, p, p.stored[version], amrgossip.Reading, p.store.hash)
	return p.store.address
}

// partsPending reports whether another request reads many shared tokens just
// now that the chosen server would have to read too.
func (f *Fleet) partsPending(now time.Time, c candidate, p *prompt) bool {
	if p.store.address == "" || p.shared == 0 {
		return false
	}
	have := max(min(c.work.cached, p.shared), p.fetchable(c.server))
	tokens := 0
	for i := have; i < p.shared; i++ {
		part, ok := f.store.parts.Peek(storeKey{p.store.hash, c.version, p.keys[i]})
		if ok && part.stored.IsZero() && now.Sub(part.saving) < readingTime || ok && now.Before(part.stored) {
			tokens += p.parts[i].Tokens
		}
	}
	return tokens >= pendingTokens
}

// saved notes that the shared parts of the prompt are in its store soon.
func (s *storeParts) saved(now time.Time, version int, p *prompt) {
	for _, key := range p.keys[:p.shared] {
		s.parts.Add(storeKey{p.store.hash, version, key}, storedPart{saving: now, stored: now.Add(storeDelay)})
	}
}
