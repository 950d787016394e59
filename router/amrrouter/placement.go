package amrrouter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrplace"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrrecord"
)

const (
	// shortestReportInterval is the least time between loads that a sidecar
	// attaches to the chunks of one answer.
	shortestReportInterval = 50 * time.Millisecond

	// loadBytes is the size of a load on the wire.
	loadBytes = 128

	// reportBytesPerSecond is what loads on chunks may take of a router's
	// budget for control.
	reportBytesPerSecond = 1500

	// storedPerReply is how many blocks stored for other routers a reply may
	// tell of.
	storedPerReply = 8

	// toldFleet is the number of backend servers up to which replies tell of
	// stored blocks. In a larger fleet a router hears of too few to profit.
	toldFleet = 128
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
}

// placement chooses backend servers. It is the shell of one placer for each
// deployment.
type placement struct {
	clock   clockwork.Clock
	options []amrplace.Option
	streams atomic.Int64 // Dispatches in progress.

	mu      sync.Mutex
	placers map[string]*placer
}

// placer is the placer of a deployment, with its view as of a revision.
type placer struct {
	*amrplace.Placer

	revision  uint64
	addresses map[string]string
}

func newPlacement(clock clockwork.Clock, name, zone string, options []amrplace.Option) *placement {
	all := []amrplace.Option{amrplace.WithSeed(xxh3.HashString(name)), amrplace.WithAvailabilityZone(zone)}
	return &placement{clock: clock, options: append(all, options...), placers: make(map[string]*placer)}
}

// plan ranks the backend servers for the request, without the excluded ones
// and by what those that declined it have said.
func (p *placement) plan(q *request, excluded []string, known []amrplace.Known) plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	placer := p.placer(q.set, q.deployment)
	decision := placer.Place(p.clock.Now(), amrplace.Request{
		Keys:         q.keys,
		PromptTokens: amrprompt.Tokens(q.prompt),
		Policy:       q.policy,
		Excluded:     excluded,
		Known:        known,
	})
	made := plan{bound: decision.Bound}
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
	return made
}

// placer returns the placer of the deployment, with the view of the records.
func (p *placement) placer(set amrrecord.Set, deployment string) *placer {
	known := p.placers[deployment]
	if known == nil {
		known = &placer{Placer: amrplace.New(p.options...)}
		p.placers[deployment] = known
	}
	if known.addresses != nil && known.revision >= set.Revision() {
		return known
	}
	known.revision = set.Revision()
	known.addresses = make(map[string]string)
	var members []amrplace.Member
	for _, record := range set.BackendServers(deployment) {
		server, ok := record.Spec.(amrrecord.BackendServer)
		if !ok || server.Drain {
			continue
		}
		known.addresses[record.Name] = server.Address
		members = append(members, amrplace.Member{Name: record.Name, AvailabilityZone: server.AvailabilityZone})
	}
	known.SetView(amrplace.NewView(members))
	return known
}

// dispatched notes that the request goes to the candidate. A call of
// accepted, declined or unanswered must follow.
func (p *placement) dispatched(q *request, c candidate) {
	p.streams.Add(1)
	p.with(q.deployment, func(placer *placer) { placer.Dispatched(c.placed) })
}

// ended notes the end of a dispatch.
func (p *placement) ended() {
	p.streams.Add(-1)
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

func (p *placement) with(deployment string, do func(*placer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if placer := p.placers[deployment]; placer != nil {
		do(placer)
	}
}

// reportInterval returns the least time between loads on the chunks of one
// answer, so that all answers together keep to the budget.
func (p *placement) reportInterval() time.Duration {
	interval := time.Duration(p.streams.Load()) * loadBytes * time.Second / reportBytesPerSecond
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
