package amrcoord

import (
	"time"

	"amaranthreach.example/core/amrpool"
)

// Explanation tells where a request would be sent now, and why.
type Explanation struct {
	Groups   []GroupExplanation // In the order in which they are asked. There is a second one only if the first is too busy or has no server.
	Selected int                // Index of the group whose server, or denial, counts.
}

// GroupExplanation is the selection in a placement group.
type GroupExplanation struct {
	amrpool.Explanation
	Group       amrpool.Group
	Coordinator string // Host of the router that decides, if that is another one; empty if this router does.
}

// Outcome returns the selection that counts.
func (e Explanation) Outcome() GroupExplanation {
	return e.Groups[e.Selected]
}

// Explain returns where Pick would send the request now, whose deadline is timeLeft from now.
// It changes nothing and sends no messages: for a group that another router coordinates, it
// names that router and explains what this one knows.
func (p *Placer) Explain(r amrpool.Request, timeLeft time.Duration) Explanation {
	r.TimeLeft = timeLeft
	if p.fleet.AdmitsByUrgency(r.Pool) {
		r.Zone = p.fleet.Zone()
	}
	now := p.clock.Now()
	if !p.coordinated(&r) {
		return Explanation{Groups: []GroupExplanation{{Explanation: p.fleet.Explain(now, r)}}}
	}
	first, second := p.explainGroups(now, &r)
	e := Explanation{Groups: []GroupExplanation{p.explainGroup(now, r, first)}}
	of := e.Groups[0].outcome()
	if first == second || !of.spills(r.MaxWait) {
		return e
	}
	e.Groups = append(e.Groups, p.explainGroup(now, r, second))
	if e.Groups[1].outcome().preferredTo(of) {
		e.Selected = 1
	}
	return e
}

// explainGroups returns the groups from which Pick would select a server.
func (p *Placer) explainGroups(now time.Time, r *amrpool.Request) (first, second amrpool.Group) {
	if grouped(r) {
		return p.fleet.ExplainGroups(now, r)
	}
	count := p.fleet.ExplainGroupCount(now, r.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return groupsAfter(p.nextGroup, count)
}

// explainGroup explains the selection in the group.
func (p *Placer) explainGroup(now time.Time, r amrpool.Request, g amrpool.Group) GroupExplanation {
	r.Group = g
	e := GroupExplanation{Group: g}
	p.mu.Lock()
	host, ok := p.ring.Coordinator(r.Pool, g, p.usable)
	if ok && host != p.host && p.messenger != nil {
		e.Coordinator = p.ring.name(host)
	}
	p.mu.Unlock()
	if e.Coordinator == "" {
		p.limitServers(&r)
		p.boundMemory(&r)
	}
	e.Explanation = p.fleet.Explain(now, r)
	return e
}

// outcome returns the outcome of the selection.
func (e GroupExplanation) outcome() outcome {
	return outcome{placed: e.Server != "", cost: e.Cost, excess: e.Excess, denial: e.Denial}
}
