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
	stored   map[int]int      // Leading shared parts in the store, by version.
	homes    []*server        // By shared part; nil until asked for.
	sources  map[int]*sources // Servers to fetch parts from, by version.
}

// untold returns the tokens of the prompt whose place other routers are not
// told.
func (p *prompt) untold() int {
	tokens := p.tokens
	for _, part := range p.parts[:p.shared] {
		if part.Tokens >= toldTokens {
			tokens -= part.Tokens
		}
	}
	return max(tokens, 0)
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
		sources:  make(map[int]*sources),
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
		if depth := p.freshDepth(now, s); depth > 0 && s.evidence(now) < doubtful {
			p.addSource(version, holder{server: s, depth: depth, rank: s.rank(p.keys[len(p.keys)-1])})
		}
	}
	return p
}

// freshDepth returns how many leading shared parts the server used a moment
// ago.
func (p *prompt) freshDepth(now time.Time, s *server) int {
	return min(s.parts.freshDepth(now.Add(-peerFresh), p.keys), p.shared)
}

// fetchable returns how many leading shared parts the server can fetch.
func (p *prompt) fetchable(s *server) int {
	depth := p.stored[s.version[p.model]]
	if source := p.source(s); source.server != nil {
		depth = max(depth, source.depth)
	}
	return depth
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
