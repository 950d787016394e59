package amrpool

import "time"

// prompt is the prompt of a request with the known locations of its parts.
type prompt struct {
	parts  []Part
	tokens int       // Size of the whole prompt.
	keys   []uint64  // Prefix keys of the parts.
	shared int       // Number of leading parts that other requests may have in common.
	common int       // Number of leading parts that prompts of several groups may have in common.
	store  partStore // Store of the shared parts.

	eligible  []*server
	version   int // Newest version of the weights among the eligible servers.
	model     string
	stored    map[int]int      // Number of leading shared parts in the store, by version of the weights.
	preferred []*server        // Results of preferredServer by part; nil if not computed yet.
	copyTo    *server          // Server to which a copy of the shared parts is fetched at no cost; nil if there is none.
	sources   map[int]*sources // Servers from which parts can be fetched, by version of the weights.
}

// work is the processing that a prompt requires at a server.
type work struct {
	cached    int     // Number of leading parts that the server has cached.
	prefill   float64 // Tokens to process, with those of parts to fetch weighted by transferCost.
	copied    float64 // Tokens in prefill of parts that are copied to the zone of the request; see setCopyServer.
	duplicate float64 // Tokens of shared parts to process, if another server is preferred for the first of these parts; otherwise 0.
}

// locatePrompt returns the prompt of the request with its store.
func (f *Fleet) locatePrompt(r Request) *prompt {
	p := &prompt{
		parts:   r.Parts,
		tokens:  r.PromptTokens,
		keys:    r.PrefixKeys(),
		shared:  r.shared(),
		model:   r.Model,
		stored:  make(map[int]int),
		sources: make(map[int]*sources),
	}
	if p.common = p.shared - 1; r.Spread {
		p.common = p.shared
	}
	if p.shared > 0 {
		p.store = f.store.storeFor(p.keys[p.shared-1])
	}
	return p
}

// prompt returns the prompt of the request with the locations of its parts at
// the eligible servers and in the store.
func (f *Fleet) prompt(now time.Time, r Request, eligible []*server) *prompt {
	p := f.locatePrompt(r)
	p.eligible = eligible
	if r.Model == "" {
		return p
	}
	for _, s := range eligible {
		version := s.version[r.Model]
		p.version = max(p.version, version)
		if _, ok := p.stored[version]; !ok {
			p.stored[version] = f.store.depth(now, p.store, version, p.keys[:p.shared])
		}
		if depth := p.recentDepth(now, s); depth > 0 && s.faultScore(now) < maxSourceFaults {
			p.addSource(version, partSource{server: s, depth: depth, rank: s.rank(p.keys[len(p.keys)-1])})
		}
	}
	f.addCommonSources(now, p)
	f.setCopyServer(now, &r, p)
	return p
}

// recentDepth returns how many leading shared parts the server used within
// peerPartMaxAge.
func (p *prompt) recentDepth(now time.Time, s *server) int {
	return min(s.parts.recentDepth(now.Add(-peerPartMaxAge), p.keys), p.shared)
}

// fetchable returns how many leading shared parts the server can fetch from the
// store or another server.
func (p *prompt) fetchable(s *server) int {
	depth := p.stored[s.version[p.model]]
	if source := p.source(s); source.server != nil {
		depth = max(depth, source.depth)
	}
	return depth
}

// work returns the processing that the prompt requires at the server.
func (p *prompt) work(now time.Time, s *server) work {
	w := work{cached: min(s.parts.recentDepth(now.Add(-cachedPartTTL), p.keys), len(p.keys))}
	have := min(w.cached, p.shared)
	fetchable := max(have, p.fetchable(s))
	fetched := sumTokens(p.parts[have:fetchable])
	missing := sumTokens(p.parts[fetchable:p.shared])
	ownTokens := max(0, p.tokens-sumTokens(p.parts[:p.shared]))
	if w.cached > p.shared {
		ownTokens = 0
	}
	w.prefill = float64(ownTokens) + float64(missing) + transferCost*float64(fetched)
	if s == p.copyTo {
		w.copied = transferCost * float64(fetched)
	}
	if missing > 0 && p.preferredServer(fetchable) != s {
		w.duplicate = float64(missing)
	}
	return w
}

// preferredServer returns the server among those with the newest weights at
// which the part is preferably processed. Rendezvous hashing makes all routers
// prefer the same server.
func (p *prompt) preferredServer(part int) *server {
	if p.preferred == nil {
		p.preferred = make([]*server, p.shared)
	}
	if p.preferred[part] != nil {
		return p.preferred[part]
	}
	for _, s := range p.eligible {
		if s.version[p.model] < p.version {
			continue
		}
		if p.preferred[part] == nil || s.rank(p.keys[part]) > p.preferred[part].rank(p.keys[part]) {
			p.preferred[part] = s
		}
	}
	return p.preferred[part]
}
