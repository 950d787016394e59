package amrdirect

import (
	"math"
	"net/http"
	"time"

	"amaranthreach.example/core/amrcoord"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrlimit"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrpreview"
)

// WhereHandler returns a handler that answers where a request would be sent now. See package
// amrpreview.
func (r *Router) WhereHandler() http.Handler {
	return amrpreview.Handler(r.where)
}

// where returns where the request would be sent now. It sends and records nothing.
func (r *Router) where(q amrpreview.Query) amrpreview.Answer {
	a := amrpreview.Answer{Router: r.settings.Host, Certain: true}
	p := r.forward.Preview(&amrforward.Request{
		ID: q.ID, Method: http.MethodPost, Target: q.Path, Path: q.Path, Host: q.Host, Key: q.Key,
		CallerTimeout: time.Duration(q.DeadlineMS) * time.Millisecond, Arrived: r.clock.Now(),
		Model: q.Model, Parts: q.PoolParts(), PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
	})
	a.Route, a.Team, a.Pool, a.Priority = p.Route, p.Team, p.Pool, p.Priority
	if p.Refusal != nil {
		a.Refusal = refusalOf(p.Refusal)
		return a
	}
	if p.Quota != nil {
		r.addQuota(&a, p)
	}
	r.addPlacement(&a, p)
	return a
}

// addQuota adds the decision on the quota of the team.
func (r *Router) addQuota(a *amrpreview.Answer, p amrforward.Preview) {
	d, coordinator := r.quotas.peek(*p.Quota)
	if !d.Limited {
		return
	}
	a.Quota = &amrpreview.Quota{Weight: p.Quota.Weight, Unit: "requests", Credit: d.Credit, Coordinator: coordinator, Decision: amrpreview.QuotaAdmits}
	if p.Quota.InTokens {
		a.Quota.Unit = "tokens"
	}
	switch d.Result {
	case amrlimit.QuotaRefused:
		a.Quota.Decision = amrpreview.QuotaRefuses
		a.Refusal = refusalOf(p.OverQuota(d.RetryAfter))
	case amrlimit.QuotaAsked:
		a.Quota.Decision = amrpreview.QuotaCoordinatorDecides
		a.Certain = false
	}
}

// addPlacement adds the selection of the server. It is shown even if the quota allows no run.
func (r *Router) addPlacement(a *amrpreview.Answer, p amrforward.Preview) {
	e := r.placer.Explain(p.Placed, p.TimeLeft)
	switch denial := e.Outcome().Denial; {
	case e.Outcome().Server != "":
	case denial.Reason == amrpool.PartsPending:
		a.Waits = denial.Reason.String()
		p.Placed.NoPartsWait = true
		e = r.placer.Explain(p.Placed, p.TimeLeft)
	case denial.Reason == amrpool.AllChanging:
		a.Waits = denial.Reason.String()
	}
	of := e.Outcome()
	for i, g := range e.Groups {
		a.Groups = append(a.Groups, groupOf(g, i == e.Selected))
		a.Certain = a.Certain && g.Coordinator == ""
	}
	switch {
	case a.Refusal != nil:
	case of.Server == "":
		a.Refusal = refusalOf(p.Denied(of.Denial))
	default:
		a.Server = of.Server
	}
}

// refusalOf returns the refusal in the form of an answer.
func refusalOf(r *amrforward.Refusal) *amrpreview.Refusal {
	return &amrpreview.Refusal{Code: string(r.Code), Status: r.Status, RetryAfterMS: milliseconds(r.RetryAfter), Detail: r.Detail}
}

// groupOf returns the selection in a group in the form of an answer.
func groupOf(e amrcoord.GroupExplanation, selected bool) amrpreview.Group {
	g := amrpreview.Group{
		Index: e.Group.Index, Count: e.Group.Count, Coordinator: e.Coordinator, Selected: selected,
		Server: e.Server, CostMS: milliseconds(e.Cost), FetchFrom: e.FetchFrom, ByUrgency: e.ByUrgency,
	}
	if e.Server == "" {
		g.Denial = e.Denial.String()
	}
	for _, c := range e.Candidates {
		g.Candidates = append(g.Candidates, candidateOf(c, e))
	}
	return g
}

// candidateOf returns the server in the form of an answer.
func candidateOf(c amrpool.Candidate, e amrcoord.GroupExplanation) amrpreview.Candidate {
	out := amrpreview.Candidate{
		Server: c.Name, Zone: c.AvailabilityZone, Standing: c.Standing.String(), InFlight: c.InFlight, Selected: c.Name == e.Server,
	}
	if !c.Eligible {
		return out
	}
	out.Cost = &amrpreview.Cost{
		TotalMS: milliseconds(c.Cost.Total()), PromptMS: milliseconds(c.Cost.Prompt), ProgressMS: milliseconds(c.Cost.Progress),
		RequestsMS: milliseconds(c.Cost.Requests), MemoryMS: milliseconds(c.Cost.Memory), RoomMS: milliseconds(c.Cost.Room),
		ZoneMS: milliseconds(c.Cost.Zone), WeightsMS: milliseconds(c.Cost.Weights), FaultsMS: milliseconds(c.Cost.Faults),
		CachedTokens: c.CachedTokens, PrefillTokens: c.PrefillTokens, PendingTokens: c.PendingTokens,
		DuplicateTokens: c.DuplicateTokens, Fits: c.Fits,
	}
	if e.ByUrgency {
		out.Admitted = &amrpreview.Admission{Admitted: c.Admitted, WaitMS: milliseconds(c.Wait)}
		if c.WaitLimit < math.MaxInt64/2 { // Otherwise there is no limit.
			out.Admitted.WaitLimitMS = milliseconds(c.WaitLimit)
		}
		if c.Wait > 0 {
			out.Admitted.ShortOf = c.Short.String()
		}
	}
	return out
}

// milliseconds returns the duration in milliseconds, rounded to microseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond).Microseconds()) / 1000
}
