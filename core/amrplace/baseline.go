package amrplace

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrprompt"
)

// placeRoundRobin ranks the backend servers by their position in the view. Each
// request starts at the position after the one where the last request started.
func (p *Placer) placeRoundRobin(now time.Time, r Request) {
	start := p.nextStart
	p.nextStart = (p.nextStart + 1) % len(p.servers)
	for i := range p.servers {
		p.append(now, r, p.servers[(start+i)%len(p.servers)])
		if len(p.ranked) == maxCandidates {
			return
		}
	}
}

// placeByLoad ranks the backend servers by expected wait, to which each request
// in progress adds a millisecond. Remaining ties are broken at random.
func (p *Placer) placeByLoad(now time.Time, r Request) {
	p.addSample()
	for _, s := range p.candidates {
		p.append(now, r, s)
	}
	p.random.Shuffle(len(p.ranked), func(i, j int) {
		p.ranked[i], p.ranked[j] = p.ranked[j], p.ranked[i]
	})
	for i := range p.ranked {
		c := &p.ranked[i]
		s := p.byName[c.Name]
		c.Cost = c.Wait + time.Duration(s.requests+s.inFlight)*time.Millisecond
	}
	p.sortByCost()
}

// placeByHash ranks the two backend servers that rendezvous hashing of the
// prompt's first block chooses. It falls back to round-robin if both are
// excluded.
func (p *Placer) placeByHash(now time.Time, r Request) {
	var key amrprompt.Key
	if len(r.Keys) > 0 {
		key = r.Keys[0]
	}
	first, second := p.view.top(key)
	for _, i := range []int{first, second} {
		if i >= 0 {
			p.append(now, r, p.servers[i])
		}
	}
	if len(p.ranked) == 0 {
		p.placeRoundRobin(now, r)
	}
}

// placeByOracle ranks all backend servers by the cost that follows from the
// oracle's knowledge.
func (p *Placer) placeByOracle(now time.Time, r Request) {
	for _, s := range p.servers {
		if slices.Contains(r.Excluded, s.name) {
			continue
		}
		wait, blocks := p.oracle.State(s.name, r.Keys)
		cached := min(blocks*amrprompt.TokensPerBlock, r.PromptTokens)
		c := Candidate{
			Name:           s.name,
			Source:         SourceOracle,
			Wait:           wait + s.prefillTime(s.pending),
			CachedTokens:   cached,
			UncachedTokens: r.PromptTokens - cached,
		}
		c.Cost = p.cost(r.Policy, s, c)
		p.ranked = append(p.ranked, c)
	}
	p.random.Shuffle(len(p.ranked), func(i, j int) {
		p.ranked[i], p.ranked[j] = p.ranked[j], p.ranked[i]
	})
	p.sortByCost()
}

// append adds the backend server, unless it is excluded, as a candidate with no
// expected cache hits.
func (p *Placer) append(now time.Time, r Request, s *server) {
	if slices.Contains(r.Excluded, s.name) {
		return
	}
	p.ranked = append(p.ranked, Candidate{
		Name:           s.name,
		Source:         SourcePolicy,
		Wait:           p.expectedWait(now, s),
		UncachedTokens: r.PromptTokens,
	})
}
