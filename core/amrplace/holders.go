package amrplace

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"amaranthreach.example/core/amrprompt"
)

// holdersKept is the number of holders remembered for each key.
const holdersKept = 12

// holders remembers which backend servers hold a block. It keeps the keys
// used last.
type holders struct {
	keys *simplelru.LRU[uint64, *holderList]
}

// holder is a backend server under the incarnation of its engine.
type holder struct {
	slot, epoch uint32
}

type holderList struct {
	list [holdersKept]holder // The one learned last at the front.
	n    int
}

func newHolders(keys int) *holders {
	lru, err := simplelru.NewLRU[uint64, *holderList](max(keys, 1), nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	return &holders{keys: lru}
}

// of returns the holders of the key.
func (h *holders) of(key amrprompt.Key) []holder {
	l, ok := h.keys.Get(short(key))
	if !ok {
		return nil
	}
	return l.list[:l.n]
}

// add notes that the backend server holds the blocks.
func (h *holders) add(keys []amrprompt.Key, who holder) {
	for _, k := range keys {
		h.addBlock(short(k), who)
	}
}

func (h *holders) addBlock(id uint64, who holder) {
	l, ok := h.keys.Get(id)
	if !ok {
		l = &holderList{}
		h.keys.Add(id, l)
	}
	l.add(who)
}

// drop notes that the backend server does not hold the blocks.
func (h *holders) drop(keys []amrprompt.Key, who holder) {
	for _, k := range keys {
		if l, ok := h.keys.Peek(short(k)); ok {
			l.drop(who)
		}
	}
}

func (l *holderList) add(who holder) {
	l.drop(who)
	l.n = min(l.n+1, holdersKept)
	copy(l.list[1:l.n], l.list[:l.n-1])
	l.list[0] = who
}

func (l *holderList) drop(who holder) {
	for i := range l.n {
		if l.list[i].slot == who.slot {
			copy(l.list[i:l.n-1], l.list[i+1:l.n])
			l.n--
			return
		}
	}
}

const (
	// initialTrust is the share of what hashing promises that is believed
	// before any reply.
	initialTrust = 0.5

	// trustSmoothing is the weight of a reply in the trust.
	trustSmoothing = 0.02
)

// Accepted notes that the candidate took the request, with the tokens that it
// had cached. It will hold the whole prompt.
func (p *Placer) Accepted(now time.Time, c Candidate, keys []amrprompt.Key, cachedTokens int, l Load) {
	s := p.replied(now, c, cachedTokens, l)
	if s == nil {
		return
	}
	p.holders.add(keys, s.holder())
}

// Declined notes that the candidate did not take the request, with the tokens
// that it had cached.
func (p *Placer) Declined(now time.Time, c Candidate, keys []amrprompt.Key, cachedTokens int, l Load) {
	s := p.replied(now, c, cachedTokens, l)
	if s == nil {
		return
	}
	cached := min(cachedTokens/amrprompt.TokensPerBlock, len(keys))
	p.holders.drop(keys[cached:], s.holder())
	p.holders.add(keys[:cached], s.holder())
}

func (p *Placer) replied(now time.Time, c Candidate, cachedTokens int, l Load) *server {
	s := p.byName[c.Name]
	if s == nil {
		return nil
	}
	s.settle(c)
	p.report(now, s, l)
	if promised := c.hashed - float64(c.learned); promised > 0 {
		kept := float64(cachedTokens/amrprompt.TokensPerBlock-c.learned) / promised
		p.trust += trustSmoothing * (min(max(kept, 0), 1) - p.trust)
	}
	return s
}

func (s *server) holder() holder {
	return holder{slot: s.slot, epoch: s.epoch}
}

// Stored notes blocks that a backend server has computed for other routers, by
// the first 8 bytes of their keys in little-endian order.
func (p *Placer) Stored(name string, blocks []uint64) {
	s := p.byName[name]
	if s == nil {
		return
	}
	for _, id := range blocks {
		p.holders.addBlock(id, s.holder())
	}
}
