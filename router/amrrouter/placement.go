package amrrouter

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrmember"
	"amaranthreach.example/core/amrplace"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrrecord"
)

const (
	// minLoadInterval is the shortest time between two loads that a sidecar
	// attaches to chunks for this router.
	minLoadInterval = 50 * time.Millisecond

	// loadMessageBytes is the size of a load on a chunk.
	loadMessageBytes = 48

	// loadBytesPerSecond is the share of the router's bandwidth for control
	// messages that loads on chunks may use.
	loadBytesPerSecond = 1500

	// maxStoredBlocksPerLoad is the largest number of stored blocks that a load
	// may list. Stored blocks are those that the backend server has cached for
	// requests of other routers.
	maxStoredBlocksPerLoad = 8

	// maxServersForStoredBlocks is the number of backend servers of a deployment
	// up to which loads list stored blocks. With more servers, a router learns
	// of too few blocks for the list to be useful.
	maxServersForStoredBlocks = 128

	// placementWeightUpdateInterval is the time between two updates of a placement
	// weight that grows after the return of its backend server.
	placementWeightUpdateInterval = time.Second

	// maxPlacerVersions is the number of versions of a deployment's weights that
	// have a placer at the same time.
	maxPlacerVersions = 8
)

// candidate is a backend server that a request can be dispatched to.
type candidate struct {
	name    string
	address string
	cost    time.Duration      // Estimated cost of the request there.
	placed  amrplace.Candidate // The candidate as the placer returned it.
}

// plan is the result of placing a request.
type plan struct {
	candidates      []candidate   // The best first.
	costBound       time.Duration // Cost above which the first candidate should decline; 0 for no bound.
	maxStoredBlocks int           // Maximum number of stored blocks that a load may list.

	waitWeight, recomputeWeight float64 // Weights of the wait and of the recomputed tokens in the cost.
}

// placement selects backend servers for requests. It holds one amrplace.Placer for
// each deployment and version of its weights, and passes the clock and the
// members to it. It is safe for concurrent use.
type placement struct {
	clock   clockwork.Clock
	options []amrplace.Option
	viewOf  func(amrrecord.Set) amrmember.View

	mu         sync.Mutex
	placers    map[string]map[string]*placer // By deployment, then by version of the weights.
	dispatches map[string]int                // Number of dispatches in progress, by backend server.
}

// placer is an amrplace.Placer for the backend servers of a deployment that hold
// one version of the weights.
type placer struct {
	*amrplace.Placer

	viewGeneration uint64            // Generation of the members that the placer was last given.
	refreshAt      time.Time         // Time of the next update of growing placement weights; zero if none grows.
	addresses      map[string]string // Of the sidecars, by backend server.
}

// newPlacement returns the placement of the router with the name in the
// availability zone. The function viewOf returns the state of the backend servers
// under the records.
func newPlacement(
	clock clockwork.Clock, name, zone string, viewOf func(amrrecord.Set) amrmember.View, options []amrplace.Option,
) *placement {
	all := []amrplace.Option{amrplace.WithSeed(xxh3.HashString(name)), amrplace.WithAvailabilityZone(zone)}
	return &placement{
		clock:      clock,
		options:    append(all, options...),
		viewOf:     viewOf,
		placers:    make(map[string]map[string]*placer),
		dispatches: make(map[string]int),
	}
}

// plan ranks the backend servers for the request. It omits the excluded ones and
// uses the known costs, which servers that declined the request reported. If no
// server is left, it returns the last resort candidates.
func (p *placement) plan(q *request, excluded []string, known []amrplace.Decline) plan {
	view := p.viewOf(q.records)
	p.mu.Lock()
	defer p.mu.Unlock()
	placer := p.placer(view, q.deployment, q.weights)
	decision := placer.Place(p.clock.Now(), amrplace.Request{
		Keys:         q.blockKeys,
		PromptTokens: amrprompt.CountTokens(q.prompt),
		Policy:       q.policy,
		Excluded:     excluded,
		Declines:     known,
	})
	result := plan{costBound: decision.MaxCost, waitWeight: decision.WaitWeight, recomputeWeight: decision.RecomputeWeight}
	if len(placer.addresses) <= maxServersForStoredBlocks {
		result.maxStoredBlocks = maxStoredBlocksPerLoad
	}
	for _, c := range decision.Candidates {
		result.candidates = append(result.candidates, candidate{
			name:    c.Name,
			address: placer.addresses[c.Name],
			cost:    c.Cost,
			placed:  c,
		})
	}
	if len(result.candidates) == 0 {
		result.candidates = lastResortCandidates(view, q, excluded)
	}
	return result
}

// lastResortCandidates returns the backend servers that this router has ejected or
// believes not to be ready. Its information may be out of date; their sidecars
// have the current state and decline a request that they cannot serve.
func lastResortCandidates(view amrmember.View, q *request, excluded []string) []candidate {
	var all []candidate
	for _, m := range view.Excluded(q.deployment) {
		mayServe := m.Exclusion == amrmember.Ejected || m.Exclusion == amrmember.NotReady
		if mayServe && mayHoldWeights(m, q.weights) && !slices.Contains(excluded, m.Name) {
			all = append(all, candidate{name: m.Name, address: m.Address, placed: amrplace.Candidate{Name: m.Name}})
		}
	}
	return all
}

// mayHoldWeights reports whether the backend server holds the version of the
// weights. It returns true if either of them is not known.
func mayHoldWeights(m *amrmember.Member, weights string) bool {
	return m.WeightsVersion == "" || weights == "" || m.WeightsVersion == weights
}

// placer returns the placer for the version of the deployment's weights, after
// updating its members if they changed or a growing placement weight is due for an
// update. If there is no placer for the version and the deployment already has
// maxPlacerVersions of them, it discards these. The caller must hold p.mu.
func (p *placement) placer(view amrmember.View, deployment, weights string) *placer {
	existing := p.placers[deployment][weights]
	if existing == nil {
		existing = &placer{Placer: amrplace.New(p.options...)}
		if p.placers[deployment] == nil || len(p.placers[deployment]) >= maxPlacerVersions {
			p.placers[deployment] = make(map[string]*placer)
		}
		p.placers[deployment][weights] = existing
	}
	viewGeneration := view.Generation(deployment)
	now := p.clock.Now()
	refreshDue := !existing.refreshAt.IsZero() && !now.Before(existing.refreshAt)
	if existing.addresses != nil && existing.viewGeneration == viewGeneration && !refreshDue {
		return existing
	}
	existing.viewGeneration = viewGeneration
	existing.refreshAt = time.Time{}
	existing.addresses = make(map[string]string)
	var members []amrplace.Member
	for _, m := range view.Eligible(deployment) {
		if !mayHoldWeights(m, weights) {
			continue
		}
		existing.addresses[m.Name] = m.Address
		weight := m.Weight(now, amrmember.DefaultLimits())
		if weight < 1 {
			existing.refreshAt = now.Add(placementWeightUpdateInterval)
		}
		members = append(members, amrplace.Member{
			Name:              m.Name,
			AvailabilityZone:  m.AvailabilityZone,
			EngineIncarnation: m.EngineIncarnation,
			Weight:            weight,
		})
	}
	existing.SetView(amrplace.NewView(members))
	return existing
}

// recordDispatched records that the request is dispatched to the candidate. It
// must be followed by a call of recordAccepted, recordDeclined or
// recordNoReply, and by one of attemptEnded.
func (p *placement) recordDispatched(q *request, c candidate) {
	p.forEachPlacer(q.deployment, func(placer *placer) { placer.RecordDispatched(c.placed) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatches[c.name]++
}

// attemptEnded records the end of an attempt at the backend server.
func (p *placement) attemptEnded(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dispatches[server]--; p.dispatches[server] <= 0 {
		delete(p.dispatches, server)
	}
}

// recordAccepted records that the candidate accepted the request.
func (p *placement) recordAccepted(q *request, c candidate, accepted *amrgate.Accepted, load *amrgate.Load) {
	p.forEachPlacer(q.deployment, func(placer *placer) {
		placer.RecordAccepted(p.clock.Now(), c.placed, q.blockKeys, int(accepted.GetCachedTokens()), newPlacementLoad(load))
	})
}

// recordDeclined records that the candidate declined the request.
func (p *placement) recordDeclined(q *request, c candidate, declined *amrgate.Declined, load *amrgate.Load) {
	p.forEachPlacer(q.deployment, func(placer *placer) {
		placer.RecordDeclined(p.clock.Now(), c.placed, q.blockKeys, int(declined.GetCachedTokens()), newPlacementLoad(load))
	})
}

// recordNoReply records that the candidate neither accepted nor declined the
// request.
func (p *placement) recordNoReply(q *request, c candidate) {
	p.forEachPlacer(q.deployment, func(placer *placer) { placer.RecordNoReply(c.placed) })
}

// recordLoad records the load in a reply of the backend server. It ignores a
// nil load.
func (p *placement) recordLoad(deployment, name string, load *amrgate.Load) {
	if load == nil {
		return
	}
	p.forEachPlacer(deployment, func(placer *placer) {
		placer.RecordLoad(p.clock.Now(), name, newPlacementLoad(load))
		placer.RecordStored(name, load.GetStored())
	})
}

// recordBlocks records the load of a backend server and the list of cached
// blocks that it holds, for every version of the deployment's weights.
func (p *placement) recordBlocks(set amrrecord.Set, deployment, name string, reply *amrgate.ReportReply) {
	view := p.viewOf(set)
	spec, _ := set.Deployment(deployment)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, version := range spec.Versions {
		placer := p.placer(view, deployment, version.Weights)
		placer.RecordLoad(p.clock.Now(), name, newPlacementLoad(reply.GetLoad()))
		placer.RecordStored(name, reply.GetHeld())
	}
}

// forEachPlacer calls f for each placer of the deployment while it holds p.mu.
func (p *placement) forEachPlacer(deployment string, f func(*placer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placer := range p.placers[deployment] {
		f(placer)
	}
}

// loadInterval returns the shortest time between two loads that a sidecar attaches
// to chunks. It grows with the number of backend servers that have dispatches in
// progress, so that all their loads together stay below loadBytesPerSecond.
func (p *placement) loadInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := time.Duration(len(p.dispatches)) * loadMessageBytes * time.Second / loadBytesPerSecond
	return max(interval, minLoadInterval)
}

// newPlacementLoad converts a load message.
func newPlacementLoad(load *amrgate.Load) amrplace.Load {
	return amrplace.Load{
		EngineIncarnation: load.GetEngineIncarnation(),
		Wait:              time.Duration(load.GetWaitMs()) * time.Millisecond,
		WaitingTokens:     int(load.GetWaitingTokens()),
		Running:           int(load.GetRunning()),
		Queued:            int(load.GetQueued()),
		BatchLimit:        int(load.GetBatchLimit()),
		PrefillRate:       float64(load.GetPrefillTokensPerSecond()),
	}
}
