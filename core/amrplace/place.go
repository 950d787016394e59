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
	// crossZoneCost is the additional cost of a backend server in another
	// availability zone.
	crossZoneCost = 500 * time.Microsecond

	// requestCost is the cost that each request in progress adds for a request
	// whose prompt is fully cached.
	requestCost = time.Millisecond

	// minDeclineMargin is the smallest amount by which the cost of the first
	// candidate may exceed that of the second before the first should decline.
	minDeclineMargin = 10 * time.Millisecond

	// declineMarginShare is the same margin as a share of the cost of the
	// second candidate. The larger margin counts.
	declineMarginShare = 0.1

	// secondHashShare is the predicted number of cached blocks on the second
	// backend server for a key, relative to that on the first.
	secondHashShare = 0.5

	// evictionWeight is the factor of the policy's weight of recomputing when
	// no requests wait. It exceeds 1 because storing a second copy of a block
	// evicts blocks that other requests need.
	evictionWeight = 1.5

	// congestionWait is the mean wait at which the factor of the weight of
	// recomputing has grown by 1. maxCongestion limits its growth.
	congestionWait = 100 * time.Millisecond
	maxCongestion  = 2.0

	// maxHashedDepths is the largest number of depths, beginning with the
	// deepest, at which the prompt's keys are hashed to backend servers.
	maxHashedDepths = 10
)

// Place ranks the backend servers for the request that arrives at time now. The
// decision has no candidates if the view is empty or all are excluded.
func (p *Placer) Place(now time.Time, r Request) Decision {
	p.decisions++
	p.candidates = p.candidates[:0]
	p.ranked = p.ranked[:0]
	if len(p.servers) == 0 {
		return Decision{}
	}
	switch {
	case p.oracle != nil:
		p.placeByOracle(now, r)
	case r.Policy.Policy == amrrecord.PolicyRoundRobin:
		p.placeRoundRobin(now, r)
	case r.Policy.Policy == amrrecord.PolicyLeastLoaded:
		p.placeByLoad(now, r)
	case r.Policy.Policy == amrrecord.PolicyPrefixHash:
		p.placeByHash(now, r)
	default:
		return p.placeByCost(now, r)
	}
	return p.newDecision()
}

// newDecision returns a decision with the first of the ranked candidates.
func (p *Placer) newDecision() Decision {
	return Decision{Candidates: p.ranked[:min(len(p.ranked), maxCandidates)]}
}

// placeByCost ranks the candidates by the weighted cost of waiting and
// recomputing, and sets the cost above which the first should decline.
func (p *Placer) placeByCost(now time.Time, r Request) Decision {
	p.addLearned(r.Keys)
	p.addHashed(r.Keys)
	p.addSample()
	for _, s := range p.candidates {
		if slices.Contains(r.Excluded, s.name) {
			continue
		}
		p.ranked = append(p.ranked, p.candidate(now, r, s))
	}
	p.sortByCost()
	d := p.newDecision()
	d.WaitWeight, d.RecomputeWeight = p.weights(r.Policy)
	if len(d.Candidates) > 1 {
		next := d.Candidates[1].Cost
		d.MaxCost = next + max(minDeclineMargin, time.Duration(declineMarginShare*float64(next)))
	}
	return d
}

// sortByCost sorts the candidates by cost. Among candidates with the same cost,
// the one that was sent a request the longest time ago comes first, if their
// lastDispatch is set.
func (p *Placer) sortByCost() {
	slices.SortFunc(p.ranked, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.lastDispatch, b.lastDispatch))
	})
}

// addCandidate makes the backend server a candidate of the current decision. It
// reports whether the server was not a candidate before.
func (p *Placer) addCandidate(s *server, source Source) bool {
	if s.decision == p.decisions {
		return false
	}
	s.decision, s.source, s.learnedBlocks, s.hashedBlocks = p.decisions, source, 0, 0
	p.candidates = append(p.candidates, s)
	return true
}

// addLearned adds the backend servers that are known to hold blocks of the
// prompt. It goes from the last block to the first, so that each server gets the
// largest number of leading blocks.
func (p *Placer) addLearned(keys []amrprompt.Key) {
	for depth := len(keys); depth > 0; depth-- {
		for _, h := range p.holders.lookup(keys[depth-1]) {
			s := p.slots[h.slot]
			if s == nil || s.epoch != h.epoch || s.position == notInView {
				continue
			}
			if p.addCandidate(s, SourceLearned) {
				s.learnedBlocks = depth
			}
		}
	}
}

// addHashed adds, for the last key of the prompt and for each key at a hashed
// depth, the two backend servers that rank highest in rendezvous hashing of the
// key. It begins with the deepest key and uses at most maxHashedDepths keys.
func (p *Placer) addHashed(keys []amrprompt.Key) {
	hashedDepths := 0
	for depth := len(keys); depth > 0 && hashedDepths < maxHashedDepths; depth-- {
		if depth != len(keys) && !isHashedDepth(depth) {
			continue
		}
		hashedDepths++
		first, second := p.view.top(keys[depth-1])
		p.addHashTarget(first, float64(depth))
		p.addHashTarget(second, secondHashShare*float64(depth))
	}
}

// addHashTarget adds the backend server at the position in the view with a
// predicted number of cached blocks. A negative position is ignored.
func (p *Placer) addHashTarget(position int, blocks float64) {
	if position < 0 {
		return
	}
	s := p.servers[position]
	p.addCandidate(s, SourceHash)
	s.hashedBlocks = max(s.hashedBlocks, blocks)
}

// isHashedDepth reports whether keys at the depth are hashed. The depths are 1,
// 2, 3, 4, 6, 8, 12, 16 and so on. They do not depend on the length of the
// prompt, so that prompts with a common prefix share backend servers.
func isHashedDepth(depth int) bool {
	power := 1 << (bits.Len(uint(depth)) - 1)
	return depth == power || depth == power+power/2
}

// addSample adds all backend servers of a small view, or a random sample of a
// large one.
func (p *Placer) addSample() {
	if len(p.servers) <= maxFullScan {
		for _, s := range p.servers {
			p.addCandidate(s, SourceLoad)
		}
		return
	}
	for range randomCandidates {
		p.addCandidate(p.servers[p.random.IntN(len(p.servers))], SourceLoad)
	}
}

// candidate returns the candidate for the backend server, with its expected wait,
// cache hits and cost. If the server has declined the same request, the values in
// its answer replace the estimates.
func (p *Placer) candidate(now time.Time, r Request, s *server) Candidate {
	blocks := float64(s.learnedBlocks)
	if s.hashedBlocks > blocks {
		blocks += p.hashHitRate * (s.hashedBlocks - blocks)
	}
	cached := min(int(blocks*amrprompt.TokensPerBlock), r.PromptTokens)
	c := Candidate{
		Name:           s.name,
		Source:         s.source,
		Wait:           p.expectedWait(now, s),
		CachedTokens:   cached,
		UncachedTokens: r.PromptTokens - cached,
		lastDispatch:   s.lastDispatch,
		learnedBlocks:  s.learnedBlocks,
		hashedBlocks:   s.hashedBlocks,
	}
	for _, decline := range r.Declines {
		if decline.Name == s.name {
			c.Wait, c.CachedTokens, c.UncachedTokens = decline.Wait, decline.CachedTokens, r.PromptTokens-decline.CachedTokens
			c.learnedBlocks, c.hashedBlocks = 0, 0
		}
	}
	c.Cost = p.cost(r.Policy, s, c)
	return c
}

// cost returns the weighted cost of sending the request to the candidate.
func (p *Placer) cost(policy amrrecord.RoutingPolicy, s *server, c Candidate) time.Duration {
	wait, recompute := p.weights(policy)
	cost := time.Duration(wait*float64(c.Wait) + recompute*float64(s.prefillTime(c.UncachedTokens)))
	if c.UncachedTokens == 0 {
		cost += time.Duration(s.requests+s.inFlight) * requestCost
	}
	if p.zone != "" && s.zone != p.zone {
		cost += crossZoneCost
	}
	return cost
}

// weights returns the weights of waiting and of recomputing: those of the policy,
// or 1 for both if it sets neither. The weight of recomputing is multiplied by a
// factor that grows with the mean wait, because recomputing then delays waiting
// requests as well.
func (p *Placer) weights(policy amrrecord.RoutingPolicy) (wait, recompute float64) {
	wait, recompute = policy.WaitWeight, policy.RecomputeWeight
	if wait == 0 && recompute == 0 {
		wait, recompute = 1, 1
	}
	congestion := float64(p.mean.value) / float64(congestionWait)
	return wait, recompute * (evictionWeight + min(congestion, maxCongestion))
}
