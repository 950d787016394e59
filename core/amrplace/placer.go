// Package amrplace chooses the backend server to which a router sends a request.
//
// A Placer ranks the backend servers that hold the same weights version of a
// deployment by cost: the expected wait and the time to compute the uncached
// part of the prompt, weighted by the routing policy. It estimates the cached
// part from two sources: rendezvous hashing of the keys of the prompt's blocks,
// which needs no state, and a record of the backend servers that are known to
// hold a block. The package does no I/O.
package amrplace

import (
	"math/rand/v2"
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrrecord"
)

const (
	// DefaultMaxKeys is the number of block keys whose holders are remembered
	// unless WithMaxKeys sets another one.
	DefaultMaxKeys = 1 << 14

	// maxFullScan is the largest number of backend servers in the view at which
	// all of them are candidates.
	maxFullScan = 32

	// minAbsentKept is the number of backend servers outside the view whose
	// state is always kept, because they may return.
	minAbsentKept = 16

	// randomCandidates is the number of candidates that are drawn at random
	// from a larger view.
	randomCandidates = 4

	// maxCandidates is the largest number of candidates in a decision.
	maxCandidates = 8
)

// Placer chooses among the backend servers that hold the same weights version of
// a deployment. It is not safe for concurrent use.
type Placer struct {
	zone        string
	oracle      Oracle
	random      *rand.Rand
	view        View
	slots       []*server          // By slot; nil if the slot is free.
	servers     []*server          // By position in the view.
	byName      map[string]*server // Includes servers that are not in the view.
	holders     *holders
	epoch       uint32  // Last epoch given to a server.
	mean        average // Reported waits of all backend servers.
	hashHitRate float64 // Average share of the blocks predicted by hashing that were cached.

	decisions  uint64      // Number of decisions; identifies the current one.
	candidates []*server   // Candidates of the current decision.
	ranked     []Candidate // Buffer for the candidates of a Decision.
	nextStart  int         // Position at which round-robin starts next.
}

// Option configures a Placer.
type Option func(*Placer)

// WithSeed sets the seed of the random number generator.
func WithSeed(seed uint64) Option {
	return func(p *Placer) { p.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithAvailabilityZone sets the availability zone of the router. Backend servers
// in other zones have a higher cost. Without it, zones do not matter.
func WithAvailabilityZone(zone string) Option {
	return func(p *Placer) { p.zone = zone }
}

// WithMaxKeys sets the largest number of block keys whose holders are remembered.
func WithMaxKeys(n int) Option {
	return func(p *Placer) { p.holders = newHolders(n) }
}

// WithOracle makes the placer use the exact state of the backend servers in
// place of its own estimates, whatever the routing policy. It serves as a
// baseline in simulations.
func WithOracle(o Oracle) Option {
	return func(p *Placer) { p.oracle = o }
}

// Oracle provides the exact state of backend servers in a simulation.
type Oracle interface {
	// State returns the wait of a request that arrives now, and the number of
	// leading blocks of its prompt that will be cached when the wait ends.
	State(backendServer string, keys []amrprompt.Key) (wait time.Duration, blocks int)
}

// New returns a Placer without backend servers. SetView sets them.
func New(opts ...Option) *Placer {
	p := &Placer{
		random:      rand.New(rand.NewPCG(0, 0)),
		byName:      make(map[string]*server),
		hashHitRate: initialHashHitRate,
	}
	for _, o := range opts {
		o(p)
	}
	if p.holders == nil {
		p.holders = newHolders(DefaultMaxKeys)
	}
	return p
}

// Request is a request for which Place ranks the backend servers.
type Request struct {
	Keys         []amrprompt.Key // Keys of the prompt's full blocks, in order.
	PromptTokens int
	Policy       amrrecord.RoutingPolicy
	Excluded     []string  // Backend servers that must not get the request, because they rejected it or failed.
	Declines     []Decline // Backend servers that declined the request because of its cost.
}

// Decline describes a backend server that declined a request because of its
// cost, with the values in its answer.
type Decline struct {
	Name         string
	Wait         time.Duration // Time until the backend server would begin the prompt.
	CachedTokens int           // Prompt tokens in its cache.
}

// Decision is the result of Place. It is valid until the next call of Place.
type Decision struct {
	// Candidates contains the backend servers in the order in which they should
	// be tried. It is empty if no backend server may get the request.
	Candidates []Candidate

	// MaxCost is the cost above which the first candidate should decline the
	// request. 0 means that there is no limit.
	MaxCost time.Duration

	// WaitWeight and RecomputeWeight are the weights of waiting and of
	// recomputing in the costs. They are 0 if the routing policy does not
	// compare costs.
	WaitWeight, RecomputeWeight float64
}

// Candidate is a backend server to which a request may be sent.
type Candidate struct {
	Name           string
	Source         Source
	Wait           time.Duration // Expected time until the prompt is begun.
	CachedTokens   int           // Expected number of cached prompt tokens.
	UncachedTokens int           // Expected number of prompt tokens to compute.
	Cost           time.Duration // Weighted by the policy.

	lastDispatch uint64 // The decision that last dispatched a request to it.

	learnedBlocks int     // Leading blocks that it is known to hold.
	hashedBlocks  float64 // Leading blocks that hashing predicts.
}

// Source is the reason for which a backend server is a candidate.
type Source string

// The sources of candidates.
const (
	SourceLearned Source = "learned" // It is known to hold blocks of the prompt.
	SourceHash    Source = "hash"    // The keys of the prompt are hashed to it.
	SourceLoad    Source = "load"    // It is not known to hold blocks; its load is the only reason.
	SourceOracle  Source = "oracle"  // The oracle decides.
	SourcePolicy  Source = "policy"  // A routing policy other than the cache-aware one chose it.
)

// SetView sets the backend servers among which the placer chooses. It keeps the
// state of those that remain, and also that of those that were removed, until
// they outnumber the view and exceed a minimum.
func (p *Placer) SetView(v View) {
	p.view = v
	for _, s := range p.slots {
		if s != nil {
			s.position = notInView
		}
	}
	p.servers = make([]*server, len(v.members))
	for i, m := range v.members {
		s := p.byName[m.Name]
		if s == nil {
			s = p.add(m.Name)
		}
		s.position = i
		s.zone = m.AvailabilityZone
		p.servers[i] = s
		p.updateEngine(s, m.EngineIncarnation)
	}
	if len(p.byName) > len(v.members)+max(len(v.members), minAbsentKept) {
		p.removeAbsent()
	}
}

// add returns a new server in a free slot.
func (p *Placer) add(name string) *server {
	p.epoch++
	s := &server{name: name, epoch: p.epoch, prefillRate: defaultPrefillRate}
	p.byName[name] = s
	for i, other := range p.slots {
		if other == nil {
			s.slot = uint32(i)
			p.slots[i] = s
			return s
		}
	}
	s.slot = uint32(len(p.slots))
	p.slots = append(p.slots, s)
	return s
}

// removeAbsent removes the servers that are not in the view.
func (p *Placer) removeAbsent() {
	for i, s := range p.slots {
		if s != nil && s.position == notInView {
			delete(p.byName, s.name)
			p.slots[i] = nil
		}
	}
}

// updateEngine sets the incarnation of the server's engine. If the engine has
// changed, its cache counts as empty and its load as unknown.
func (p *Placer) updateEngine(s *server, incarnation string) {
	if incarnation == "" || incarnation == s.engine {
		return
	}
	if s.engine != "" {
		p.epoch++
		s.epoch = p.epoch
		s.reported = false
	}
	s.engine = incarnation
}
