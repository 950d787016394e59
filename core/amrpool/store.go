package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrroute"
)

const (
	// peerPartMaxAge is the time for which parts that an engine used can be
	// fetched from it. After a longer time the engine may have evicted them.
	peerPartMaxAge = 2500 * time.Millisecond

	// maxSourceFaults is the fault score from which parts are not fetched from
	// an engine. A request that fetches from a crashed engine waits long.
	maxSourceFaults = 0.5

	// cachedPartTTL is the time after their last use for which parts are
	// assumed to be cached.
	cachedPartTTL = 5 * time.Second

	// maxStoredParts is the maximum number of parts in stores that a router
	// records.
	maxStoredParts = 16384

	// saveDelay is the time from the start of the response to a request that
	// saves parts until the parts can be fetched from the store.
	saveDelay = 50 * time.Millisecond

	// saveTimeout is the time after which the saving of parts is assumed to
	// have failed, so that another request saves them.
	saveTimeout = 2 * time.Second

	// maxPartsWait is how long other requests wait for parts after the request
	// that computes and saves them was sent, and minPartsWaitTokens is the
	// minimum number of tokens in such parts for which they wait.
	maxPartsWait       = 350 * time.Millisecond
	minPartsWaitTokens = 1000

	// storedPartTTL is the time for which parts are assumed to be in a store
	// after they were saved. saveAgainAfter is the time after which they are
	// saved again because the store may have dropped them.
	storedPartTTL  = time.Minute
	saveAgainAfter = 40 * time.Second
)

// storeIndex records which prompt parts are in the stores of cached parts.
type storeIndex struct {
	stores []amrroute.CacheStore
	parts  *simplelru.LRU[storeKey, storedPart]
}

// storeKey identifies a part in a store. Parts that different versions of the
// weights produced are different.
type storeKey struct {
	store   uint64 // Hash of the store's name.
	version int
	key     uint64 // Prefix key of the part.
}

// storedPart is the state of a part in a store.
type storedPart struct {
	saveStartedAt time.Time // Time at which a request that saves the part was sent.
	availableAt   time.Time // Time from which the part can be fetched; zero if it is not known to be saved.
}

// newStoreIndex returns an index without stores and parts.
func newStoreIndex() storeIndex {
	parts, err := simplelru.NewLRU[storeKey, storedPart](maxStoredParts, nil)
	if err != nil {
		panic(err) // Happens only for a size that is not positive.
	}
	return storeIndex{parts: parts}
}

// SetStores sets the stores of cached prompt parts.
func (f *Fleet) SetStores(stores []amrroute.CacheStore) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.stores = stores
}

// storeFor returns the store for prompts whose last shared part has the key.
// Rendezvous hashing makes all routers select the same store and spreads the
// prompts over the stores.
func (s *storeIndex) storeFor(key uint64) partStore {
	var best partStore
	for _, store := range s.stores {
		c := partStore{address: store.Address, hash: xxh3.HashString(store.Name)}
		if best.address == "" || mix(c.hash^key) > mix(best.hash^key) {
			best = c
		}
	}
	return best
}

// partStore is the store for the parts of a prompt. The zero value means that
// there is none.
type partStore struct {
	address string
	hash    uint64 // Hash of the store's name.
}

// depth returns how many leading parts are in the store.
func (s *storeIndex) depth(now time.Time, store partStore, version int, keys []uint64) int {
	if store.address == "" {
		return 0
	}
	for i, key := range keys {
		part, ok := s.parts.Peek(storeKey{store.hash, version, key})
		if !ok || part.availableAt.IsZero() || now.Before(part.availableAt) || now.Sub(part.availableAt) >= storedPartTTL {
			return i
		}
	}
	return len(keys)
}

// fetchFrom returns the address from which the selected server can fetch shared
// parts that it lacks. This is the address of a server that used them recently,
// which is returned too, or else that of the store, even if that is not known to
// have any. The address is empty if the prompt has no shared parts or there is no
// such address.
func (f *Fleet) fetchFrom(now time.Time, c candidate, p *prompt) (from *server, address string) {
	if p.shared == 0 {
		return nil, ""
	}
	source := p.source(c.server)
	if source.server != nil && source.depth > p.recentDepth(now, c.server) && source.depth >= p.stored[c.version] {
		return source.server, source.server.Address
	}
	return nil, p.store.address
}

// saveTo returns the address of the store to which the server must save the
// shared parts, and records that they are being saved. It returns an empty
// string if there is no store or no shared part, if the parts were saved less
// than saveAgainAfter ago, or if another request is saving them.
func (f *Fleet) saveTo(now time.Time, version int, p *prompt) string {
	if p.store.address == "" || p.shared == 0 {
		return ""
	}
	key := storeKey{p.store.hash, version, p.keys[p.shared-1]}
	part, ok := f.store.parts.Peek(key)
	switch {
	case ok && now.Sub(part.saveStartedAt) < saveTimeout:
		return ""
	case p.stored[version] < p.shared:
	case now.Sub(part.saveStartedAt) < saveAgainAfter:
		return ""
	default:
		part.saveStartedAt = now
		f.store.parts.Add(key, part)
		return p.store.address
	}
	for _, k := range p.keys[p.stored[version]:p.shared] {
		f.store.parts.Add(storeKey{p.store.hash, version, k}, storedPart{saveStartedAt: now})
	}
	return p.store.address
}

// partsPending reports whether the request should wait because another one is
// processing or saving shared parts, of at least minPartsWaitTokens tokens, that
// the selected server would otherwise have to process too.
func (f *Fleet) partsPending(now time.Time, c candidate, p *prompt) bool {
	if p.store.address == "" || p.shared == 0 {
		return false
	}
	have := max(min(c.work.cached, p.shared), p.fetchable(c.server))
	tokens := 0
	for i := have; i < p.shared; i++ {
		part, ok := f.store.parts.Peek(storeKey{p.store.hash, c.version, p.keys[i]})
		if ok && part.availableAt.IsZero() && now.Sub(part.saveStartedAt) < maxPartsWait || ok && now.Before(part.availableAt) {
			tokens += p.parts[i].Tokens
		}
	}
	return tokens >= minPartsWaitTokens
}

// markSaved records that the shared parts of the prompt will be available in
// the store after saveDelay.
func (s *storeIndex) markSaved(now time.Time, version int, p *prompt) {
	for _, key := range p.keys[:p.shared] {
		s.parts.Add(storeKey{p.store.hash, version, key}, storedPart{saveStartedAt: now, availableAt: now.Add(saveDelay)})
	}
}
