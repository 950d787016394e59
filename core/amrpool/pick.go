package amrpool

import (
	"slices"
	"strconv"
	"time"
)

const (
	// requestCost is what each request in progress at a server costs another:
	// steps of larger batches take longer.
	requestCost = 12 * time.Millisecond

	// slotCost is what a full set of slots of a plain service costs.
	slotCost = 200 * time.Millisecond

	// zoneCost is what a server in another availability zone costs.
	zoneCost = 5 * time.Millisecond

	// faultCost is what the evidence of one fault costs.
	faultCost = 400 * time.Millisecond

	// staleCost is what weights cost that are not the newest ones.
	staleCost = 300 * time.Millisecond

	// transferCost is what it costs to transfer a part from another engine or a
	// store, as a share of reading it: links are shared, and the part takes
	// memory like one that was read.
	transferCost = 1.0

	// againWeight is what it costs to read parts that another engine reads or
	// has read, as a multiple of the time it takes: it also takes memory from
	// parts that others need.
	againWeight = 8.0

	// fullMemory is the share of an engine's memory at which requests start to
	// preempt others, and fullCost is what such a server costs.
	fullMemory = 0.8
	fullCost   = time.Second
)

// Request is what a backend server is chosen for.
type Request struct {
	Pool         string
	Model        string // Empty for plain services.
	Parts        []Part // Of the prompt.
	PromptTokens int
	OutputTokens int
	Team         string
	Isolated     bool     // Shares no cached parts with other teams.
	Exclude      []string // Names of servers that have failed or rejected it.
	Impatient    bool     // It does not wait for parts that another request reads.

	// MaxWait bounds the time before the prompt is begun to be read while the
	// pool is overloaded; 0 for none. It does not depend on the size of the
	// prompt, so that sizes are treated alike.
	MaxWait time.Duration

	// Urgent requests are read before others, so they may come behind longer
	// queues: the less urgent yield first.
	Urgent bool
}

// shared returns how many leading parts other requests may share. The last
// part is the request's own.
func (r *Request) shared() int {
	return max(len(r.Parts)-1, 0)
}

// scope returns the text that keeps cached parts of different owners apart.
func (r *Request) scope() string {
	if r.Isolated {
		return r.Team
	}
	return ""
}

// Choice is the server chosen for a request. Its methods tell the Fleet what
// became of it; Done must be called once.
type Choice struct {
	Name      string
	Address   string
	Version   int    // Of the model's weights that the server is taken to hold; 0 where unknown.
	CacheText string // Keeps cached parts of other weights and owners apart.
	FetchFrom string // Address of a server or store that is likely to have missing parts; empty for none.
	SaveTo    string // Address of a store that is to get the parts; empty for none.

	Cached  int           // Prompt tokens taken to be cached.
	Missing int           // Prompt tokens taken to be read.
	Cost    time.Duration // By which it was chosen.

	fleet   *Fleet
	server  *server
	model   string
	prompt  *prompt
	started bool
	tokens  int
}

// Reason says why no server could be chosen.
type Reason int

// The reasons. Where servers are left out for several, the last one counts.
const (
	NoServer     Reason = iota // The pool has none that may get work.
	AllExcluded                // Those that may have failed or rejected the request.
	StaleWeights               // Those that may have weights that are too old.
	AllChanging                // Those that may are changing their weights.
	PartsPending               // Another request reads parts of the prompt just now.
	Overloaded                 // The queues of all are longer than the request may wait.
)

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	return [...]string{"no-server", "all-excluded", "stale-weights", "all-changing", "parts-pending", "overloaded"}[r]
}

// Denial says why no server could be chosen, with what decided it.
type Denial struct {
	Reason Reason
	Server string        // Of Overloaded: the server that would have been chosen,
	Wait   time.Duration // the time in which it reads what waits there, and
	Mean   time.Duration // the mean of this over the pool and the last while.
}

// String returns the denial as it appears in logs.
func (d Denial) String() string {
	if d.Reason != Overloaded {
		return d.Reason.String()
	}
	return d.Reason.String() + " server=" + d.Server +
		" wait=" + d.Wait.Round(time.Millisecond).String() + " mean-wait=" + d.Mean.Round(time.Millisecond).String()
}

// candidate is a server with what choosing it would mean.
type candidate struct {
	server  *server
	work    work
	cost    time.Duration
	version int
}

// Pick chooses a server for the request and counts the request there. It
// returns why where there is none.
func (f *Fleet) Pick(now time.Time, r Request) (*Choice, Denial) {
	f.mu.Lock()
	defer f.mu.Unlock()
	eligible, reason := f.eligible(now, r)
	if len(eligible) == 0 {
		return nil, Denial{Reason: reason}
	}
	p := f.prompt(now, r, eligible)
	best := candidate{}
	for _, s := range eligible {
		c := f.weigh(now, r, s, p)
		if best.server == nil || c.cost < best.cost {
			best = c
		}
	}
	if denial, overloaded := f.overloaded(now, r, best, eligible); overloaded {
		return nil, denial
	}
	if !r.Impatient && f.partsPending(now, best, p) {
		return nil, Denial{Reason: PartsPending}
	}
	return f.choose(now, r, best, p), Denial{}
}

// eligible returns the servers that may run the request: those in no trouble,
// or else those that were avoided for a moment.
func (f *Fleet) eligible(now time.Time, r Request) ([]*server, Reason) {
	f.removeGone(now, r.Pool)
	var good, avoided []*server
	reason := NoServer
	for _, s := range f.pools[r.Pool] {
		switch {
		case !s.usable(now):
		case slices.Contains(r.Exclude, s.Name):
			reason = max(reason, AllExcluded)
		case s.changing():
			reason = max(reason, AllChanging)
		case f.staleFor(now, s, r.Model) >= f.staleLimit:
			reason = max(reason, StaleWeights)
		case now.Before(s.avoidUntil):
			avoided = append(avoided, s)
		default:
			good = append(good, s)
		}
	}
	if len(good) > 0 {
		return good, 0
	}
	return avoided, reason
}

// staleFor returns for how long the server's weights have not been the newest.
func (f *Fleet) staleFor(now time.Time, s *server, model string) time.Duration {
	at, ok := f.targets[model].since(s.version[model])
	if !ok {
		return 0
	}
	return now.Sub(at)
}

func (f *Fleet) weigh(now time.Time, r Request, s *server, p *prompt) candidate {
	c := candidate{server: s, version: s.version[r.Model]}
	load := f.requests(now, s)
	if r.Model == "" {
		c.cost = time.Duration(float64(slotCost) * load / float64(max(s.Slots, 1)))
	} else {
		c.work = p.work(now, s)
		c.cost = f.reading(c.work.read+float64(f.pending(now, s))+c.work.again*againWeight) + time.Duration(load*float64(requestCost))
		if bound := f.cacheTokens(r.Pool); bound > 0 && s.heldTokens+r.PromptTokens > int(fullMemory*float64(bound)) {
			c.cost += fullCost
		}
	}
	if s.AvailabilityZone != f.zone {
		c.cost += zoneCost
	}
	if f.staleFor(now, s, r.Model) >= f.staleAfter {
		c.cost += staleCost
	}
	c.cost += time.Duration(s.evidence(now) * float64(faultCost))
	return c
}

// requests returns the requests in progress at the server. Those of other
// routers are estimated where they do not tell.
func (f *Fleet) requests(now time.Time, s *server) float64 {
	if inFlight, _, ok := f.elsewhere(now, s); ok {
		return float64(s.inFlight + inFlight)
	}
	return float64(s.inFlight) + s.others(now)
}

// pending returns the prompt tokens sent to the server that are not known to
// be read.
func (f *Fleet) pending(now time.Time, s *server) int {
	_, pending, _ := f.elsewhere(now, s)
	return s.pendingTokens + pending
}

// reading returns the time in which an engine reads the tokens of a prompt.
func (f *Fleet) reading(tokens float64) time.Duration {
	return time.Duration(tokens / f.rate * float64(time.Second))
}

func (f *Fleet) choose(now time.Time, r Request, c candidate, p *prompt) *Choice {
	s := c.server
	s.inFlight++
	choice := &Choice{
		Name:    s.Name,
		Address: s.Address,
		Version: c.version,
		Cost:    c.cost,
		fleet:   f,
		server:  s,
		model:   r.Model,
		prompt:  p,
	}
	if r.Model == "" {
		return choice
	}
	choice.Cached = tokensOf(r.Parts[:c.work.cached])
	choice.Missing = int(c.work.read)
	choice.CacheText = r.Model + "/" + strconv.Itoa(c.version) + "/" + r.scope()
	choice.FetchFrom = f.fetchFrom(now, c, p)
	choice.SaveTo = f.saveTo(now, c.version, p)
	choice.tokens = r.PromptTokens - choice.Cached + r.OutputTokens
	s.pendingTokens += choice.Missing
	s.heldTokens += choice.tokens
	return choice
}
