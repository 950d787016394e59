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
	// shortestReportInterval is the least time between loads that a sidecar
	// attaches to chunks for the router.
	shortestReportInterval = 50 * time.Millisecond

	// loadBytes is the size of a load on a chunk.
	loadBytes = 48

	// reportBytesPerSecond is what loads on chunks may take of a router's
	// budget for control.
	reportBytesPerSecond = 1500

	// storedPerReply is how many blocks stored for other routers a reply may
	// tell of.
	storedPerReply = 8

	// toldFleet is the number of backend servers up to which replies tell of
	// stored blocks. In a larger fleet a router hears of too few to profit.
	toldFleet = 128

	// weightInterval is the time between steps of a returning member's weight.
	weightInterval = time.Second

	// keptVersions is how many versions of a deployment's weights have placers.
	keptVersions = 8
)

// candidate is a backend server that may take a request.
type candidate struct {
	name    string
	address string
	cost    time.Duration
	placed  amrplace.Candidate
}

// plan is the order in which backend servers are tried.
type plan struct {
	candidates []candidate
	bound      time.Duration // Cost above which the first should decline; 0 for none.
	stored     int           // Blocks stored for others that replies may tell of.

	waitWeight, recomputeWeight float64 // Weights of the costs.
}

// placement chooses backend servers. It is the shell of one placer for each
// deployment.
type placement struct {
	clock   clockwork.Clock
	options []amrplace.Option
	members func(amrrecord.Set) amrmember.View

	mu      sync.Mutex
	placers map[string]map[string]*placer // By deployment and version of the weights.
	streams map[string]int                // Dispatches in progress by backend server.
}

// placer is the placer of a deployment's backend servers that hold a version of
// the weights.
type placer struct {
	*amrplace.Placer

	generation uint64    // Of the view of members that it has.
	refreshAt  time.Time // When the weight of a returning member has grown; zero for none.
	addresses  map[string]string
}

func newPlacement(
	clock clockwork.Clock, name, zone string, members func(amrrecord.Set) amrmember.View, options []amrplace.Option,
) *placement {
	all := []amrplace.Option{amrplace.WithSeed(xxh3.HashString(name)), amrplace.WithAvailabilityZone(zone)}
	return &placement{
		clock:   clock,
		options: append(all, options...),
		members: members,
		placers: make(map[string]map[string]*placer),
		streams: make(map[string]int),
	}
}

// plan ranks the backend servers for the request, without the excluded ones
// and by what those that declined it have said.
func (p *placement) plan(q *request, excluded []string, known []amrplace.DeclinedBy) plan {
	view := p.members(q.set)
	p.mu.Lock()
	defer p.mu.Unlock()
	placer := p.placer(view, q.deployment, q.weights)
	decision := placer.Place(p.clock.Now(), amrplace.Request{
		Keys:         q.keys,
		PromptTokens: amrprompt.Tokens(q.prompt),
		Policy:       q.policy,
		Excluded:     excluded,
		DeclinedBy:   known,
	})
	made := plan{bound: decision.MaxCost, waitWeight: decision.WaitWeight, recomputeWeight: decision.RecomputeWeight}
	if len(placer.addresses) <= toldFleet {
		made.stored = storedPerReply
	}
	for _, c := range decision.Candidates {
		made.candidates = append(made.candidates, candidate{
			name:    c.Name,
			address: placer.addresses[c.Name],
			cost:    c.Cost,
			placed:  c,
		})
	}
	if len(made.candidates) == 0 {
		made.candidates = lastResort(view, q, excluded)
	}
	return made
}

// lastResort returns the backend servers that are thought to be out. Their
// sidecars know better.
func lastResort(view amrmember.View, q *request, excluded []string) []candidate {
	var all []candidate
	for _, m := range view.Excluded(q.deployment) {
		out := m.Exclusion == amrmember.Ejected || m.Exclusion == amrmember.NotReady
		if out && mayHold(m, q.weights) && !slices.Contains(excluded, m.Name) {
			all = append(all, candidate{name: m.Name, address: m.Address, placed: amrplace.Candidate{Name: m.Name}})
		}
	}
	return all
}

// mayHold reports whether the backend server holds the version of the weights
// as far as is known.
func mayHold(m *amrmember.Member, weights string) bool {
	return m.WeightsVersion == "" || weights == "" || m.WeightsVersion == weights
}

// placer returns the placer for the deployment's weights, with the present
// members.
func (p *placement) placer(view amrmember.View, deployment, weights string) *placer {
	known := p.placers[deployment][weights]
	if known == nil {
		known = &placer{Placer: amrplace.New(p.options...)}
		if p.placers[deployment] == nil || len(p.placers[deployment]) >= keptVersions {
			p.placers[deployment] = make(map[string]*placer)
		}
		p.placers[deployment][weights] = known
	}
	generation := view.Generation(deployment)
	now := p.clock.Now()
	returned := !known.refreshAt.IsZero() && !now.Before(known.refreshAt)
	if known.addresses != nil && known.generation == generation && !returned {
		return known
	}
	known.generation = generation
	known.refreshAt = time.Time{}
	known.addresses = make(map[string]string)
	var members []amrplace.Member
	for _, m := range view.Eligible(deployment) {
		if !mayHold(m, weights) {
			continue
		}
		known.addresses[m.Name] = m.Address
		weight := m.Weight(now, amrmember.DefaultLimits())
		if weight < 1 {
			known.refreshAt = now.Add(weightInterval)
		}
		members = append(members, amrplace.Member{
			Name:              m.Name,
			AvailabilityZone:  m.AvailabilityZone,
			EngineIncarnation: m.EngineIncarnation,
			Weight:            weight,
		})
	}
	known.SetView(amrplace.NewView(members))
	return known
}

// dispatched notes that the request goes to the candidate. A call of
// accepted, declined or unanswered must follow.
func (p *placement) dispatched(q *request, c candidate) {
	p.with(q.deployment, func(placer *placer) { placer.Dispatched(c.placed) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[c.name]++
}

// ended notes the end of a dispatch.
func (p *placement) ended(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams[server]--; p.streams[server] <= 0 {
		delete(p.streams, server)
	}
}

func (p *placement) accepted(q *request, c candidate, accepted *amrgate.Accepted, load *amrgate.Load) {
	p.with(q.deployment, func(placer *placer) {
		placer.Accepted(p.clock.Now(), c.placed, q.keys, int(accepted.GetCachedTokens()), loadOf(load))
	})
}

func (p *placement) declined(q *request, c candidate, declined *amrgate.Declined, load *amrgate.Load) {
	p.with(q.deployment, func(placer *placer) {
		placer.Declined(p.clock.Now(), c.placed, q.keys, int(declined.GetCachedTokens()), loadOf(load))
	})
}

func (p *placement) unanswered(q *request, c candidate) {
	p.with(q.deployment, func(placer *placer) { placer.Failed(c.placed) })
}

// reported takes a load that came with a reply.
func (p *placement) reported(deployment, name string, load *amrgate.Load) {
	if load == nil {
		return
	}
	p.with(deployment, func(placer *placer) {
		placer.Reported(p.clock.Now(), name, loadOf(load))
		placer.Stored(name, load.GetStored())
	})
}

// learn takes the blocks that a backend server holds.
func (p *placement) learn(set amrrecord.Set, deployment, name string, reply *amrgate.ReportReply) {
	view := p.members(set)
	spec, _ := set.Deployment(deployment)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, version := range spec.Versions {
		placer := p.placer(view, deployment, version.Weights)
		placer.Reported(p.clock.Now(), name, loadOf(reply.GetLoad()))
		placer.Stored(name, reply.GetHeld())
	}
}

func (p *placement) with(deployment string, do func(*placer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placer := range p.placers[deployment] {
		do(placer)
	}
}

// reportInterval returns the least time between loads that a sidecar attaches
// to chunks, so that all sidecars together keep to the budget.
func (p *placement) reportInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := time.Duration(len(p.streams)) * loadBytes * time.Second / reportBytesPerSecond
	return max(interval, shortestReportInterval)
}

func loadOf(load *amrgate.Load) amrplace.Load {
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
