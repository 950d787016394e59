package amrpool

import (
	"time"

	"github.com/zeebo/xxh3"
)

// prompt is the prompt of a request with what is known of its parts.
type prompt struct {
	parts  []Part
	tokens int // Of the whole prompt.
	keys   []uint64
	shared int // Leading parts that other requests may have too.
	store  chosenStore

	eligible []*server
	version  int // Newest weights among the eligible servers.
	model    string
	stored   map[int]int     // Leading shared parts in the store, by version.
	homes    []*server       // By shared part; nil until asked for.
	fresh    map[*server]int // Leading shared parts that each server used a moment ago.
}

// work is what a server would have to do for a prompt.
type work struct {
	cached int     // Leading parts that it has.
	read   float64 // Tokens to be read, transfers counted by their time.
	again  float64 // Tokens of them that another server reads or has read.
}

// prompt returns the prompt of the request with what is known of its parts.
func (f *Fleet) prompt(now time.Time, r Request, eligible []*server) *prompt {
	p := &prompt{
		parts:    r.Parts,
		tokens:   r.PromptTokens,
		keys:     chain(xxh3.HashString(r.Model+"\x00"+r.scope()), r.Parts),
		shared:   r.shared(),
		eligible: eligible,
		model:    r.Model,
		stored:   make(map[int]int),
		fresh:    make(map[*server]int),
	}
	if r.Model == "" {
		return p
	}
	if p.shared > 0 {
		p.store = f.store.choose(p.keys[p.shared-1])
	}
	for _, s := range eligible {
		version := s.version[r.Model]
		p.version = max(p.version, version)
		if _, ok := p.stored[version]; !ok {
			p.stored[version] = f.store.depth(now, p.store, version, p.keys[:p.shared])
		}
		p.fresh[s] = min(s.parts.freshDepth(now.Add(-peerFresh), p.keys), p.shared)
	}
	return p
}

// fetchable returns how many leading shared parts the server can fetch.
func (p *prompt) fetchable(s *server) int {
	depth := p.stored[s.version[p.model]]
	if source := p.source(s); source != nil {
		depth = max(depth, p.fresh[source])
	}
	return depth
}

// source returns the server from which another one fetches parts best: with
// the same weights and the most parts, in its availability zone where there is
// one. It returns nil where none has any.
func (p *prompt) source(to *server) *server {
	var best *server
	for _, s := range p.eligible {
		if s == to || p.fresh[s] == 0 || s.version[p.model] != to.version[p.model] {
			continue
		}
		if best == nil || p.fresh[s] > p.fresh[best] || p.fresh[s] == p.fresh[best] && p.nearer(to, s, best) {
			best = s
		}
	}
	return best
}

// nearer reports whether a is better to fetch from than b.
func (p *prompt) nearer(to, a, b *server) bool {
	if near := a.AvailabilityZone == to.AvailabilityZone; near != (b.AvailabilityZone == to.AvailabilityZone) {
		return near
	}
	last := p.keys[len(p.keys)-1] // Spreads the transfers over equal sources.
	return a.rank(last) > b.rank(last)
}

// work returns what the server would have to do for the prompt.
func (p *prompt) work(now time.Time, s *server) work {
	w := work{cached: min(s.parts.freshDepth(now.Add(-cachedFor), p.keys), len(p.keys))}
	have := min(w.cached, p.shared)
	fetchable := max(have, p.fetchable(s))
	fetched := tokensOf(p.parts[have:fetchable])
	unread := tokensOf(p.parts[fetchable:p.shared])
	own := max(0, p.tokens-tokensOf(p.parts[:p.shared]))
	if w.cached > p.shared {
		own = 0
	}
	w.read = float64(own) + float64(unread) + transferCost*float64(fetched)
	if unread > 0 && p.home(fetchable) != s {
		w.again = float64(unread)
	}
	return w
}

// home returns the server that all routers prefer for reading the part, among
// those with the newest weights.
func (p *prompt) home(part int) *server {
	if p.homes == nil {
		p.homes = make([]*server, p.shared)
	}
	if p.homes[part] != nil {
		return p.homes[part]
	}
	for _, s := range p.eligible {
		if s.version[p.model] < p.version {
			continue
		}
		if p.homes[part] == nil || s.rank(p.keys[part]) > p.homes[part].rank(p.keys[part]) {
			p.homes[part] = s
		}
	}
	return p.homes[part]
}
