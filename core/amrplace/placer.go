// Package amrplace decides in the router which backend server takes a request.
//
// A placer ranks the backend servers of one deployment version by cost: the
// expected wait and the time to compute what is not cached, weighted by the
// routing policy. What is cached where it knows from two sources: rendezvous
// hashing of the prompt's block keys, which needs no state, and the backend
// servers that it has learned to hold a block. The package does no input or
// output.
package amrplace

import (
	"math/rand/v2"
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrrecord"
)

const (
	// DefaultKeys is the number of block keys whose holders are remembered.
	DefaultKeys = 1 << 14

	// wholeView is the number of backend servers up to which each is a
	// candidate.
	wholeView = 32

	// absentKept is how many backend servers that left the view are
	// remembered at least, since they may return.
	absentKept = 16

	// sampled is the number of candidates drawn at random from a larger view.
	sampled = 4

	// maxCandidates is the number of candidates that a decision returns.
	maxCandidates = 8
)

// Placer chooses among the backend servers of a deployment version. It is not
// safe for concurrent use.
type Placer struct {
	zone    string
	oracle  Oracle
	random  *rand.Rand
	view    View
	slots   []*server // By slot; nil when free.
	servers []*server // By position in the view.
	byName  map[string]*server
	holders *holders
	epoch   uint32
	mean    average // Wait over the backend servers.
	trust   float64 // Share of what rendezvous hashing promises that is cached.

	decisions uint64
	scratch   []*server
	ranked    []Candidate
	next      int // Of round-robin.
}

// Option configures a Placer.
type Option func(*Placer)

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option {
	return func(p *Placer) { p.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithAvailabilityZone sets the zone of the router.
func WithAvailabilityZone(zone string) Option {
	return func(p *Placer) { p.zone = zone }
}

// WithKeys sets the number of block keys whose holders are remembered.
func WithKeys(n int) Option {
	return func(p *Placer) { p.holders = newHolders(n) }
}

// WithOracle makes the placer decide by the oracle's knowledge in place of
// its own.
func WithOracle(o Oracle) Option {
	return func(p *Placer) { p.oracle = o }
}

// Oracle knows the state of backend servers at the instant.
type Oracle interface {
	// State returns the wait of a request arriving now and how many leading
	// blocks of the prompt will be cached by then.
	State(backendServer string, keys []amrprompt.Key) (wait time.Duration, blocks int)
}

// New returns a placer without backend servers.
func New(opts ...Option) *Placer {
	p := &Placer{
		random: rand.New(rand.NewPCG(0, 0)),
		byName: make(map[string]*server),
		trust:  initialTrust,
	}
	for _, o := range opts {
		o(p)
	}
	if p.holders == nil {
		p.holders = newHolders(DefaultKeys)
	}
	return p
}

// Request is what is to be placed.
type Request struct {
	Keys         []amrprompt.Key
	PromptTokens int
	Policy       amrrecord.RoutingPolicy
	Excluded     []string // Backend servers that have refused or failed it.
	Known        []Known  // What those that declined it for its cost have said.
}

// Known is what a backend server has said of a request.
type Known struct {
	Name         string
	Wait         time.Duration // Until the prompt would be begun.
	CachedTokens int
}

// Decision is the outcome of Place. It stays valid until the next call.
type Decision struct {
	// Candidates are backend servers, the one to try first at the front.
	// They are empty when there is none.
	Candidates []Candidate

	// Bound is the cost above which the first candidate should decline; 0
	// for no bound.
	Bound time.Duration

	// WaitWeight and RecomputeWeight are the weights of the costs.
	WaitWeight, RecomputeWeight float64
}

// Candidate is a backend server that may take the request.
type Candidate struct {
	Name           string
	Source         Source
	Wait           time.Duration // Until the prompt is begun.
	CachedTokens   int           // Expected in the cache.
	UncachedTokens int           // Expected to be computed.
	Cost           time.Duration // Weighted by the policy.

	dispatched uint64 // Decision that last sent it work.

	learned int     // Blocks known to be cached.
	hashed  float64 // Blocks promised by hashing.
}

// Source says why a backend server is a candidate.
type Source string

// The sources of candidates.
const (
	SourceLearned Source = "learned" // It was seen to hold blocks of the prompt.
	SourceHash    Source = "hash"    // The keys of the prompt hash to it.
	SourceLoad    Source = "load"    // It was drawn for its load.
	SourceOracle  Source = "oracle"
	SourcePolicy  Source = "policy" // A policy that knows no caches chose it.
)

// SetView sets the backend servers. What is known of those that stay is kept,
// and for a while that of those that leave.
func (p *Placer) SetView(v View) {
	p.view = v
	for _, s := range p.slots {
		if s != nil {
			s.position = absent
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
		p.sawEngine(s, m.EngineIncarnation)
	}
	if len(p.byName) > len(v.members)+max(len(v.members), absentKept) {
		p.removeAbsent()
	}
}

func (p *Placer) add(name string) *server {
	p.epoch++
	s := &server{name: name, epoch: p.epoch, rate: defaultPrefillRate}
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

func (p *Placer) removeAbsent() {
	for i, s := range p.slots {
		if s != nil && s.position == absent {
			delete(p.byName, s.name)
			p.slots[i] = nil
		}
	}
}

// sawEngine drops what is known of the cache when the engine is another one.
func (p *Placer) sawEngine(s *server, incarnation string) {
	if incarnation == "" || incarnation == s.engine {
		return
	}
	if s.engine != "" {
		p.epoch++
		s.epoch = p.epoch
		s.known = false
	}
	s.engine = incarnation
}
