package amrpool

import (
	"strconv"
	"time"
)

const (
	// requestCost is the cost of each request in progress at a server: an
	// engine takes longer for each step of a larger batch.
	requestCost = 12 * time.Millisecond

	// slotCost is the cost of a server of a plain service whose slots are all
	// in use.
	slotCost = 200 * time.Millisecond

	// zoneCost is the cost of a server in another availability zone.
	zoneCost = 5 * time.Millisecond

	// faultCost is the cost of a fault score of 1, which one recent fault
	// gives.
	faultCost = 400 * time.Millisecond

	// staleCost is the cost of a server that holds stale weights.
	staleCost = 300 * time.Millisecond

	// transferCost is the cost of fetching a part from another engine or a
	// store, as a multiple of the cost of processing it. It is not lower
	// because links are shared and a fetched part takes as much memory as a
	// processed one.
	transferCost = 1.0

	// duplicateWeight is the additional cost of processing parts at an engine
	// other than the preferred one for them, as a multiple of the time that it
	// takes. It is high because a second copy of the parts displaces cached
	// parts that other requests need.
	duplicateWeight = 8.0

	// memoryFullShare is the share of an engine's memory in use from which
	// requests start to preempt others, and memoryFullCost is the cost of such
	// a server.
	memoryFullShare = 0.8
	memoryFullCost  = time.Second
)

// Request describes a request for which a backend server is selected.
type Request struct {
	Pool         string
	Model        string   // Empty for plain services.
	Parts        []Part   // Parts of the prompt, in order.
	Keys         []uint64 // Prefix keys of the parts, if the parts have no IDs; see PrefixKeys.
	PromptTokens int      // Size of the whole prompt.
	OutputTokens int      // Expected number of generated tokens.
	Team         string
	TeamID       TeamID     // Identifies the team if Team is empty.
	Isolated     bool       // Whether cached parts must not be shared with other teams.
	Exclude      []string   // Names of servers that must not be selected, such as those that failed or rejected the request.
	NoPartsWait  bool       // Whether Pick must not return PartsPending.
	Software     SoftwareID // Version of the software that began the stream which the request goes on with; 0 allows any.
	Group        Group      // Placement group from which the server is selected.
	Zone         ZoneID     // Availability zone of the router that got the request; 0 is that of this router.

	// Spread is set if the prompts with the same shared parts go to several groups.
	Spread bool

	// LimitShare is the share that this router may use of the limits that servers
	// name for all routers together; 0 counts as 1. With ExcludeLimited, servers that
	// have a limit are not selected.
	LimitShare     float64
	ExcludeLimited bool

	// Uncoordinated is set if another router places the requests of the group, but does
	// not reply. This router then knows little of what the servers do.
	Uncoordinated bool

	// MemoryRights bounds the memory that this router may fill at each server, with
	// WithHardServerMemory. If it is nil, this router is taken to be the only one that selects
	// servers.
	MemoryRights *MemoryRights

	// MaxWait limits the time until the server begins with the prefill while
	// the pool is overloaded; 0 means no limit. It does not depend on the size
	// of the prompt, so that prompts of all sizes are treated alike.
	MaxWait time.Duration

	// Goal is the latency goal of a request to a plain service, which has no MaxWait.
	Goal time.Duration

	// Urgent is set for requests that engines schedule before others. Such a
	// request may be sent to a server with a longer queue, so that less urgent
	// requests are refused first.
	Urgent bool

	// Priority is the urgency from 0, the most urgent one, to 9. With admission by
	// urgency, it replaces Urgent.
	Priority int

	// TimeLeft is the time until the caller's deadline; 0 if it is unknown.
	TimeLeft time.Duration
}

// PrefixKeys returns the prefix keys of the request's parts.
func (r *Request) PrefixKeys() []uint64 {
	if r.Keys == nil && len(r.Parts) > 0 {
		r.Keys = PrefixKeys(r.Model, r.scope(), r.Parts)
	}
	return r.Keys
}

// shared returns how many leading parts other requests may have in common with
// this one. The last part always belongs to this request alone.
func (r *Request) shared() int {
	return max(len(r.Parts)-1, 0)
}

// scope returns the text that separates cached parts that must not be shared:
// the team of an isolated request, or else the empty string.
func (r *Request) scope() string {
	if r.Isolated {
		return r.Team
	}
	return ""
}

// Choice is the backend server selected for a request. The caller reports the
// progress of the request with its methods and must call Done exactly once.
type Choice struct {
	Name           string
	Address        string
	Software       string // Version of the server's software; empty if unknown.
	SoftwareID     SoftwareID
	Started        time.Time // Identifies the incarnation of the server that was listed.
	WeightsVersion int       // Version of the model's weights that the server is assumed to hold; 0 if unknown.
	CacheSalt      string    // Salt of cache keys that separates parts of different weights and isolated teams.
	FetchFrom      string    // Address of a server or store that may have missing parts; empty if there is none.
	SaveTo         string    // Address of the store to which the server must save the parts; empty if they need not be saved.

	CachedTokens  int           // Prompt tokens assumed to be cached at the server.
	PrefillTokens int           // Prompt tokens assumed to need processing, with those of fetched parts weighted by transferCost.
	Cost          time.Duration // Estimated cost; the server with the lowest cost is selected.
	WithinLimit   bool          // The server has a limit, which allows the request.

	fleet           *Fleet
	server          *server
	fetchServer     *server // Server with the address FetchFrom; nil if that is a store or empty.
	observer        Observer
	model           string
	prompt          *prompt
	selectedAt      time.Time
	pendingReleased bool // Whether PrefillTokens is no longer part of the server's pending tokens.
	maxWait         time.Duration
	tokens          int // Memory that the request takes at the server, in tokens.
	charge          charge
	capacityID      uint64        // Identifies the request in observations of its server's capacity; 0 if it is not observed.
	outputTokens    int           // Expected number of generated tokens, if it is observed.
	limitInterval   time.Duration // Time by which the request has delayed the next one to a server with a limit; 0 if another router has counted it.
}

// Reason says why no server was selected.
type Reason int

// The reasons. If servers of the pool are not eligible for different reasons,
// the last of these reasons in the list applies.
const (
	NoServer      Reason = iota // The pool has no server that accepts requests.
	AllExcluded                 // All such servers are excluded by the request.
	StaleWeights                // The weights of the remaining servers are too old.
	Paused                      // The remaining servers have asked for no requests until later, or have reached their limits.
	AllChanging                 // The remaining servers are changing their weights.
	PartsPending                // Another request is processing parts of the prompt, for which this one must wait.
	Overloaded                  // The pool is overloaded and the request would wait too long.
	ExceedsMemory               // The request is larger than the memory of any server.
)

// String returns the text of the reason in logs.
func (r Reason) String() string {
	return [...]string{"no-server", "all-excluded", "stale-weights", "paused", "all-changing", "parts-pending", "overloaded", "exceeds-memory"}[r]
}

// Denial says why no server was selected.
type Denial struct {
	Reason Reason
	Pause  time.Duration // With Paused: time until a server accepts requests again, or until the caller should come back. With Overloaded: the latter, or 0 if it is unknown.

	Limited int // With Paused: number of servers that have reached their limits, as far as this router has looked at them.

	// These fields are set only for Overloaded.
	Server   string        // Name of the server with the lowest cost.
	Wait     time.Duration // Time that the server needs to process its pending prompt tokens.
	MeanWait time.Duration // Moving average of the wait over the servers of the pool.
	Short    Shortage      // Of what the server has too little, with admission by urgency.
}

// String returns the text of the denial in logs.
func (d Denial) String() string {
	switch d.Reason {
	case Overloaded:
	case Paused:
		return d.Reason.String() + " for=" + d.Pause.Round(time.Millisecond).String() + d.limitedText()
	default:
		return d.Reason.String()
	}
	if d.Short != ShortOfNothing {
		return d.Reason.String() + " server=" + d.Server + " short-of=" + d.Short.String() +
			" wait=" + d.Wait.Round(time.Millisecond).String() + " for=" + d.Pause.Round(time.Millisecond).String()
	}
	return d.Reason.String() + " server=" + d.Server +
		" wait=" + d.Wait.Round(time.Millisecond).String() + " mean-wait=" + d.MeanWait.Round(time.Millisecond).String()
}

// limitedText returns the text of the number of servers that have reached their limits.
func (d Denial) limitedText() string {
	if d.Limited == 0 {
		return ""
	}
	return " limited=" + strconv.Itoa(d.Limited)
}

// candidate is a server with the estimated cost of selecting it.
type candidate struct {
	server  *server
	work    work
	cost    time.Duration
	version int
}

// Pick selects the server with the lowest estimated cost for the request and
// counts the request as in flight there. If there is no suitable server, it
// returns nil and the reason.
func (f *Fleet) Pick(now time.Time, r Request) (*Choice, Denial) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeGone(now, r.Pool)
	f.capacityOf(now, r.Pool)
	best, denial := f.selectServer(now, &r)
	if best.server == nil {
		return nil, denial
	}
	p := best.prompt
	choice := f.newChoice(r, best.server, best.version, best.cost, p)
	choice.selectedAt = now
	if r.Model != "" {
		choice.CachedTokens = sumTokens(r.Parts[:best.work.cached])
		choice.PrefillTokens = int(best.work.prefill)
		choice.fetchServer, choice.FetchFrom = f.fetchFrom(now, best.candidate, p)
		choice.SaveTo = f.saveTo(now, best.version, p)
	}
	predicted := f.recordAdmitted(now, &r, best.candidate, len(best.eligible))
	choice.observeSent(now, &r)
	f.count(choice, r)
	f.occupy(now, choice, &r, predicted)
	choice.countSelected(now, &r)
	choice.countLimited(now, &r)
	return choice, Denial{}
}

// selection is the server selected for a request, and what it was selected from.
type selection struct {
	candidate // Its server is nil if there is no suitable one.
	eligible  []*server
	prompt    *prompt // Nil if no server is eligible.
}

// selectServer selects the server with the lowest estimated cost for the request, or
// returns the reason why there is none. It decides both for Pick and for Explain, and
// records nothing of an admitted request.
func (f *Fleet) selectServer(now time.Time, r *Request) (selection, Denial) {
	if f.exceedsMemory(r) {
		return selection{}, Denial{Reason: ExceedsMemory}
	}
	eligible, denial := f.eligible(now, *r)
	if len(eligible) == 0 {
		return selection{}, denial
	}
	r.Keys = r.PrefixKeys() // Computed once for all servers.
	p := f.prompt(now, *r, eligible)
	best := candidate{}
	for _, s := range eligible {
		c := f.evaluate(now, r, s, p)
		if (best.server == nil || c.cost < best.cost) && f.fits(now, r, s) {
			best = c
		}
	}
	none := selection{eligible: eligible, prompt: p}
	if best.server == nil {
		return none, f.denyForMemory(now, r, f.evaluate(now, r, eligible[0], p), eligible)
	}
	best, denial, overloaded := f.admit(now, r, best, eligible, p)
	if overloaded {
		return none, denial
	}
	if !r.NoPartsWait && f.partsPending(now, best, p) {
		return none, Denial{Reason: PartsPending}
	}
	return selection{candidate: best, eligible: eligible, prompt: p}, Denial{}
}

// eligible returns the servers that may run the request. Servers that are
// temporarily avoided are returned only if there are no others. The denial is
// meaningful only if the result is empty.
func (f *Fleet) eligible(now time.Time, r Request) ([]*server, Denial) {
	var good, avoided, limited []*server
	denial := Denial{Reason: NoServer, Pause: maxPause}
	for _, s := range f.pools[r.Pool] {
		switch f.standing(now, s, &r) {
		case Good:
			good = append(good, s)
		case Avoided:
			avoided = append(avoided, s)
		case LimitReached:
			denial.Reason = max(denial.Reason, Paused)
			limited = append(limited, s)
		case Pausing:
			denial.Reason = max(denial.Reason, Paused)
			denial.Pause = min(denial.Pause, s.signals.pausedUntil.Sub(now))
		case Outdated:
			denial.Reason = max(denial.Reason, StaleWeights)
		case Changing:
			denial.Reason = max(denial.Reason, AllChanging)
		case Excluded:
			denial.Reason = max(denial.Reason, AllExcluded)
		}
	}
	if len(good) > 0 {
		return good, Denial{}
	}
	if len(avoided) == 0 && len(limited) > 0 {
		denial.Pause = min(denial.Pause, f.takeTurn(now, limited))
		denial.Limited = len(limited)
	}
	return avoided, denial
}

// staleFor returns for how long the server's weights have been outdated, or 0
// if they are the newest.
func (f *Fleet) staleFor(now time.Time, s *server, model string) time.Duration {
	at, ok := f.targets[model].supersededAt(s.version[model])
	if !ok {
		return 0
	}
	return now.Sub(at)
}

// evaluate estimates the cost of running the request at the server.
func (f *Fleet) evaluate(now time.Time, r *Request, s *server, p *prompt) candidate {
	c := candidate{server: s, version: s.version[r.Model]}
	if r.Model != "" {
		c.work = p.work(now, s)
	}
	c.cost = f.costOf(now, r, s, c.work).Total()
	return c
}

// requests returns the number of requests in flight at the server. It estimates
// those that this router neither sent nor placed.
func (f *Fleet) requests(now time.Time, s *server) float64 {
	return float64(s.inFlight) + s.otherRequests(now)
}

// newChoice returns the choice of the server for the request.
func (f *Fleet) newChoice(r Request, s *server, version int, cost time.Duration, p *prompt) *Choice {
	choice := &Choice{
		Name:           s.Name,
		Address:        s.Address,
		Software:       s.Software,
		SoftwareID:     s.software,
		Started:        s.Started,
		WeightsVersion: version,
		Cost:           cost,
		fleet:          f,
		server:         s,
		model:          r.Model,
		prompt:         p,
		maxWait:        r.MaxWait,
	}
	if r.Model != "" {
		choice.CacheSalt = r.Model + "/" + strconv.Itoa(version) + "/" + r.scope()
	}
	return choice
}

// count counts the request as in flight at the chosen server.
func (f *Fleet) count(c *Choice, r Request) {
	s := c.server
	s.inFlight++
	if r.Model == "" {
		return
	}
	c.tokens = r.PromptTokens - c.CachedTokens + r.OutputTokens
	s.pendingTokens += c.PrefillTokens
	s.heldTokens += c.tokens
}
