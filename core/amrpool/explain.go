package amrpool

import (
	"cmp"
	"slices"
	"time"
)

// Explanation tells where a request would be sent now, and why.
type Explanation struct {
	Server         string // Name; empty if the request would not be sent.
	WeightsVersion int
	FetchFrom      string // Address of the server or store from which parts would be fetched; empty if there is none.
	Cost           time.Duration
	Excess         time.Duration // Part of Cost beyond that at an idle server; see Choice.Excess.
	Denial         Denial        // Why the request would not be sent, if Server is empty.
	ByUrgency      bool          // The pool admits requests by urgency.
	Candidates     []Candidate   // Servers of the placement group: first those that may be selected, by cost.
}

// Candidate is a server of an Explanation.
type Candidate struct {
	Name             string
	AvailabilityZone string
	Standing         Standing
	InFlight         float64 // Requests in flight; those of other routers are estimated.

	// Eligible is set if the server may be selected. Only then are the fields below set.
	Eligible        bool
	Cost            Cost
	CachedTokens    int     // Prompt tokens assumed to be cached.
	PrefillTokens   float64 // Prompt tokens to process or fetch.
	DuplicateTokens float64 // Those of them that another server should rather process.
	PendingTokens   int     // Prompt tokens of other requests that are not known to be processed.
	Fits            bool    // The server's memory holds the request.

	// Only if the pool admits requests by urgency.
	Wait      time.Duration // Expected wait until the server begins with the request.
	WaitLimit time.Duration // Longest wait with which the request is admitted.
	Short     Shortage      // What the wait is for.
	Admitted  bool
}

// Explain returns where Pick would send the request now, and why. It changes nothing.
func (f *Fleet) Explain(now time.Time, r Request) Explanation {
	e := f.explanation(now, r)
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Standing, b.Standing), cmp.Compare(a.Cost.Total(), b.Cost.Total()))
	})
	return e
}

// explanation is Explain with the candidates in any order.
func (f *Fleet) explanation(now time.Time, r Request) Explanation {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.explain(now, r.Pool)()
	best, denial := f.selectServer(now, &r)
	e := Explanation{ByUrgency: f.byUrgency(r.Pool)}
	if best.server == nil {
		e.Denial = denial
	} else {
		e.Server, e.WeightsVersion, e.Cost = best.server.Name, best.version, best.cost
		e.Excess = f.excess(best.server, best.cost, int(best.work.prefill))
		if r.Model != "" {
			_, e.FetchFrom = f.fetchFrom(now, best.candidate, best.prompt)
		}
	}
	e.Candidates = f.explainCandidates(now, &r, best)
	return e
}

// explain lets nothing be recorded until the returned function is called. The learned
// capacity of the pool counts as of now.
func (f *Fleet) explain(now time.Time, pool string) (end func()) {
	f.explaining = true
	c := f.capacities[pool]
	if c == nil {
		return func() { f.explaining = false }
	}
	before, restore := c.now, c.learned.Freeze()
	f.capacityOf(now, pool)
	return func() {
		restore()
		c.now = before
		f.explaining = false
	}
}

// explainCandidates returns the servers of the request's group as candidates. Those that
// may be selected all have the same standing.
func (f *Fleet) explainCandidates(now time.Time, r *Request, best selection) []Candidate {
	var d *groupDemand // Nil unless the pool admits requests by urgency.
	if f.byUrgency(r.Pool) {
		d = f.demandOf(now, r)
	}
	var candidates []Candidate
	for _, s := range f.pools[r.Pool] {
		c := Candidate{Name: s.Name, AvailabilityZone: s.AvailabilityZone, Standing: f.standing(now, s, r), InFlight: f.requests(now, s)}
		if c.Standing == OtherGroup {
			continue
		}
		if len(best.eligible) > 0 && c.Standing == f.standing(now, best.eligible[0], r) {
			f.explainCost(now, r, s, best, d, &c)
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// explainCost sets what the candidate, which may be selected, is compared by.
func (f *Fleet) explainCost(now time.Time, r *Request, s *server, best selection, d *groupDemand, c *Candidate) {
	c.Eligible = true
	evaluated := f.evaluate(now, r, s, best.prompt)
	w := evaluated.work
	c.Cost = f.costOf(now, r, s, w)
	c.CachedTokens = sumTokens(r.Parts[:w.cached])
	c.PrefillTokens, c.DuplicateTokens, c.PendingTokens = w.prefill, w.duplicate, s.pendingTokens
	c.Fits = f.fits(now, r, s)
	if d != nil {
		a := f.decide(now, r, evaluated, d, len(best.eligible))
		c.Wait, c.WaitLimit, c.Short, c.Admitted = a.wait.time, a.limit, a.wait.short, a.admitted
	}
}

// ExplainGroups returns the placement groups that GroupsOf would return. It changes nothing.
func (f *Fleet) ExplainGroups(now time.Time, r *Request) (first, second Group) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.explaining = true
	defer func() { f.explaining = false }()
	return f.groupsOf(now, r)
}

// ExplainGroupCount returns the number that GroupCount would return. It changes nothing.
func (f *Fleet) ExplainGroupCount(now time.Time, pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.explaining = true
	defer func() { f.explaining = false }()
	return len(f.weightsOf(now, pool).servers)
}
