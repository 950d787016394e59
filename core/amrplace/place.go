package amrplace

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrrecord"
)

const (
	// zoneDelay is what a backend server in another availability zone costs.
	zoneDelay = 500 * time.Microsecond

	// requestCost is what each request in progress costs one that has nothing
	// to compute.
	requestCost = time.Millisecond

	// leastMargin is how much a candidate may at least cost above the next
	// before it declines.
	leastMargin = 10 * time.Millisecond

	// marginShare is the margin as a share of the next candidate's cost.
	marginShare = 0.1

	// secondShare is what the second backend server of a key is promised to
	// hold of what the first is.
	secondShare = 0.5

	// evictionWeight is the weight of recomputing where nothing waits: what is
	// computed twice also evicts what others need.
	evictionWeight = 1.5

	// congestionWait is the mean wait that adds the policy's weight of
	// recomputing once more, and maxCongestion bounds the increase.
	congestionWait = 100 * time.Millisecond
	maxCongestion  = 2.0

	// deepestHashed is the number of depths, from the deepest, at which keys
	// are hashed to backend servers.
	deepestHashed = 10
)

// Place ranks the backend servers for the request.
func (p *Placer) Place(now time.Time, r Request) Decision {
	p.decisions++
	p.scratch = p.scratch[:0]
	p.ranked = p.ranked[:0]
	if len(p.servers) == 0 {
		return Decision{}
	}
	switch {
	case p.oracle != nil:
		p.placeByOracle(now, r)
	case r.Policy.Policy == amrrecord.PolicyRoundRobin:
		p.placeInTurn(now, r)
	case r.Policy.Policy == amrrecord.PolicyLeastLoaded:
		p.placeByLoad(now, r)
	case r.Policy.Policy == amrrecord.PolicyPrefixHash:
		p.placeByHash(now, r)
	default:
		return p.placeByCost(now, r)
	}
	return p.decision()
}

func (p *Placer) decision() Decision {
	return Decision{Candidates: p.ranked[:min(len(p.ranked), maxCandidates)]}
}

func (p *Placer) placeByCost(now time.Time, r Request) Decision {
	p.addLearned(r.Keys)
	p.addHashed(r.Keys)
	p.addByLoad()
	for _, s := range p.scratch {
		if slices.Contains(r.Excluded, s.name) {
			continue
		}
		p.ranked = append(p.ranked, p.candidate(now, r, s))
	}
	p.sortByCost()
	d := p.decision()
	d.WaitWeight, d.RecomputeWeight = p.weights(r.Policy)
	if len(d.Candidates) > 1 {
		next := d.Candidates[1].Cost
		d.Bound = next + max(leastMargin, time.Duration(marginShare*float64(next)))
	}
	return d
}

func (p *Placer) sortByCost() {
	slices.SortFunc(p.ranked, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.dispatched, b.dispatched))
	})
}

// mark makes the backend server a candidate of this decision and reports
// whether it was none before.
func (p *Placer) mark(s *server, source Source) bool {
	if s.mark == p.decisions {
		return false
	}
	s.mark, s.source, s.learned, s.hashed = p.decisions, source, 0, 0
	p.scratch = append(p.scratch, s)
	return true
}

// addLearned adds the backend servers known to hold blocks of the prompt.
func (p *Placer) addLearned(keys []amrprompt.Key) {
	for depth := len(keys); depth > 0; depth-- {
		for _, h := range p.holders.of(keys[depth-1]) {
			s := p.slots[h.slot]
			if s == nil || s.epoch != h.epoch || s.position == absent {
				continue
			}
			if p.mark(s, SourceLearned) {
				s.learned = depth
			}
		}
	}
}

// addHashed adds the two backend servers that the keys at some depths of the
// prompt hash to, the deepest first.
func (p *Placer) addHashed(keys []amrprompt.Key) {
	hashed := 0
	for depth := len(keys); depth > 0 && hashed < deepestHashed; depth-- {
		if depth != len(keys) && !hashedDepth(depth) {
			continue
		}
		hashed++
		first, second := p.view.top(keys[depth-1])
		p.addHome(first, float64(depth))
		p.addHome(second, secondShare*float64(depth))
	}
}

func (p *Placer) addHome(position int, promise float64) {
	if position < 0 {
		return
	}
	s := p.servers[position]
	p.mark(s, SourceHash)
	s.hashed = max(s.hashed, promise)
}

// hashedDepth reports whether keys at the depth are hashed: at 1, 2, 3, 4, 6,
// 8, 12, 16 and so on. The depths do not depend on the prompt's length, so
// that prompts which share a beginning share backend servers.
func hashedDepth(depth int) bool {
	power := 1 << (bits.Len(uint(depth)) - 1)
	return depth == power || depth == power+power/2
}

// addByLoad adds all backend servers of a small view, and some at random of a
// large one.
func (p *Placer) addByLoad() {
	if len(p.servers) <= wholeView {
		for _, s := range p.servers {
			p.mark(s, SourceLoad)
		}
		return
	}
	for range sampled {
		p.mark(p.servers[p.random.IntN(len(p.servers))], SourceLoad)
	}
}

func (p *Placer) candidate(now time.Time, r Request, s *server) Candidate {
	blocks := float64(s.learned)
	if s.hashed > blocks {
		blocks += p.trust * (s.hashed - blocks)
	}
	cached := min(int(blocks*amrprompt.TokensPerBlock), r.PromptTokens)
	c := Candidate{
		Name:           s.name,
		Source:         s.source,
		Wait:           p.expectedWait(now, s),
		CachedTokens:   cached,
		UncachedTokens: r.PromptTokens - cached,
		dispatched:     s.dispatched,
		learned:        s.learned,
		hashed:         s.hashed,
	}
	for _, k := range r.Known {
		if k.Name == s.name {
			c.Wait, c.CachedTokens, c.UncachedTokens = k.Wait, k.CachedTokens, r.PromptTokens-k.CachedTokens
			c.learned, c.hashed = 0, 0
		}
	}
	c.Cost = p.cost(r.Policy, s, c)
	return c
}

func (p *Placer) cost(policy amrrecord.RoutingPolicy, s *server, c Candidate) time.Duration {
	wait, recompute := p.weights(policy)
	cost := time.Duration(wait*float64(c.Wait) + recompute*float64(s.compute(c.UncachedTokens)))
	if c.UncachedTokens == 0 {
		cost += time.Duration(s.requests+s.inFlight) * requestCost
	}
	if p.zone != "" && s.zone != p.zone {
		cost += zoneDelay
	}
	return cost
}

// weights returns the weights of waiting and of recomputing. A policy that
// sets neither weighs them alike. Where requests wait, recomputing also makes
// others wait longer, so it weighs more with the mean wait.
func (p *Placer) weights(policy amrrecord.RoutingPolicy) (wait, recompute float64) {
	wait, recompute = policy.WaitWeight, policy.RecomputeWeight
	if wait == 0 && recompute == 0 {
		wait, recompute = 1, 1
	}
	congestion := float64(p.mean.value) / float64(congestionWait)
	return wait, recompute * (evictionWeight + min(congestion, maxCongestion))
}
