package amrplace

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthreach.example/core/amrprompt"
)

// maxHolders is the number of holders that are remembered for each key.
const maxHolders = 12

// holders is an LRU cache that maps the keys of blocks to the backend servers
// that are known to hold the block.
type holders struct {
	keys *simplelru.LRU[uint64, *holderList]
}

// holder identifies a backend server and an incarnation of its engine. The entry
// is outdated if the epoch is not the current one of the server in the slot.
type holder struct {
	slot, epoch uint32
}

// holderList is the list of the holders of a block.
type holderList struct {
	list [maxHolders]holder // The most recently learned holder is first.
	n    int                // Number of valid elements of list.
}

func newHolders(keys int) *holders {
	lru, err := simplelru.NewLRU[uint64, *holderList](max(keys, 1), nil)
	if err != nil {
		panic(err) // NewLRU fails only for sizes below 1.
	}
	return &holders{keys: lru}
}

// lookup returns the holders of the block with the key, and marks the key as
// recently used.
func (h *holders) lookup(key amrprompt.Key) []holder {
	l, ok := h.keys.Get(shortKey(key))
	if !ok {
		return nil
	}
	return l.list[:l.n]
}

// add records that the holder has the blocks with the keys.
func (h *holders) add(keys []amrprompt.Key, holder holder) {
	for _, k := range keys {
		h.addBlock(shortKey(k), holder)
	}
}

// addBlock records that the holder has the block whose shortened key is id.
func (h *holders) addBlock(id uint64, holder holder) {
	l, ok := h.keys.Get(id)
	if !ok {
		l = &holderList{}
		h.keys.Add(id, l)
	}
	l.add(holder)
}

// remove records that the holder does not have the blocks with the keys.
func (h *holders) remove(keys []amrprompt.Key, holder holder) {
	for _, k := range keys {
		if l, ok := h.keys.Peek(shortKey(k)); ok {
			l.remove(holder)
		}
	}
}

// add makes the holder the first element. It drops the last one if the list is
// full.
func (l *holderList) add(holder holder) {
	l.remove(holder)
	l.n = min(l.n+1, maxHolders)
	copy(l.list[1:l.n], l.list[:l.n-1])
	l.list[0] = holder
}

// remove removes the holder in the same slot, whatever its epoch.
func (l *holderList) remove(holder holder) {
	for i := range l.n {
		if l.list[i].slot == holder.slot {
			copy(l.list[i:l.n-1], l.list[i+1:l.n])
			l.n--
			return
		}
	}
}

const (
	// initialHashHitRate is the assumed hit rate of rendezvous hashing before
	// the first reply.
	initialHashHitRate = 0.5

	// hashHitRateSmoothing is the weight of a reply in the moving average of
	// the hit rate.
	hashHitRateSmoothing = 0.02
)

// RecordAccepted records that the candidate accepted the request, the number of
// prompt tokens that it had cached, and its load. All blocks of the prompt
// count as held by the candidate from then on.
func (p *Placer) RecordAccepted(now time.Time, c Candidate, keys []amrprompt.Key, cachedTokens int, l Load) {
	s := p.recordReply(now, c, cachedTokens, l)
	if s == nil {
		return
	}
	p.holders.add(keys, s.holder())
}

// RecordDeclined records that the candidate declined the request, the number of
// prompt tokens that it had cached, and its load. The blocks beyond those count
// as no longer held by the candidate.
func (p *Placer) RecordDeclined(now time.Time, c Candidate, keys []amrprompt.Key, cachedTokens int, l Load) {
	s := p.recordReply(now, c, cachedTokens, l)
	if s == nil {
		return
	}
	cached := min(cachedTokens/amrprompt.TokensPerBlock, len(keys))
	p.holders.remove(keys[cached:], s.holder())
	p.holders.add(keys[:cached], s.holder())
}

// recordReply records the load and the cache hits in a reply of the candidate.
// It returns the candidate's server, or nil if it is no longer known.
func (p *Placer) recordReply(now time.Time, c Candidate, cachedTokens int, l Load) *server {
	s := p.byName[c.Name]
	if s == nil {
		return nil
	}
	s.release(c)
	p.updateLoad(now, s, l)
	if predicted := c.hashedBlocks - float64(c.learnedBlocks); predicted > 0 {
		hitRate := float64(cachedTokens/amrprompt.TokensPerBlock-c.learnedBlocks) / predicted
		p.hashHitRate += hashHitRateSmoothing * (min(max(hitRate, 0), 1) - p.hashHitRate)
	}
	return s
}

func (s *server) holder() holder {
	return holder{slot: s.slot, epoch: s.epoch}
}

// RecordStored records that a backend server has computed blocks for requests
// of other routers. Each block is identified by the first 8 bytes of its key,
// as a little-endian number.
func (p *Placer) RecordStored(name string, blocks []uint64) {
	s := p.byName[name]
	if s == nil {
		return
	}
	for _, id := range blocks {
		p.holders.addBlock(id, s.holder())
	}
}
