package amrpool

import "time"

// Assignment is the server that the coordinator of a group selected for a request.
type Assignment struct {
	Server         ServerID
	WeightsVersion int
	FetchFrom      Source
	FetchServer    ServerID // With FetchFromServer.
	Save           bool     // Whether the server must save the parts to their store.
	CachedTokens   int
	PrefillTokens  int
	Cost           time.Duration
	WithinLimit    bool // The server has a limit, which allows the request.
}

// Source tells from where a server fetches parts that it lacks.
type Source int

// The sources of parts.
const (
	FetchNothing Source = iota
	FetchFromServer
	FetchFromStore
)

// Assignment returns the choice in a form that another router can use.
func (c *Choice) Assignment() Assignment {
	a := Assignment{
		Server: c.server.id, WeightsVersion: c.WeightsVersion, Save: c.SaveTo != "",
		CachedTokens: c.CachedTokens, PrefillTokens: c.PrefillTokens, Cost: c.Cost,
		WithinLimit: c.WithinLimit,
	}
	switch {
	case c.fetchServer != nil:
		a.FetchFrom, a.FetchServer = FetchFromServer, c.fetchServer.id
	case c.FetchFrom != "":
		a.FetchFrom = FetchFromStore
	}
	return a
}

// Assign counts the request as in flight at the server that a coordinator selected.
// It returns nil if this router does not know the server, or knows that it must not
// get the request.
func (f *Fleet) Assign(now time.Time, r Request, a Assignment) *Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byID[a.Server]
	if s == nil || s.Pool != r.Pool || !s.hasSoftware(&r) || !s.acceptsRequests(now) || s.paused(now) || s.changing(now) || f.staleFor(now, s, r.Model) >= f.stale.Limit {
		return nil
	}
	if s.signals.limit.exists() && !a.WithinLimit { // The coordinator does not know of the limit.
		f.announceLimitAgain(now, s, s.signals.limit)
		return nil
	}
	p := f.locatePrompt(r)
	choice := f.newChoice(r, s, a.WeightsVersion, a.Cost, p)
	choice.selectedAt = now
	choice.CachedTokens, choice.PrefillTokens, choice.WithinLimit = a.CachedTokens, a.PrefillTokens, a.WithinLimit
	switch a.FetchFrom {
	case FetchFromServer:
		if source := f.byID[a.FetchServer]; source != nil {
			choice.fetchServer, choice.FetchFrom = source, source.Address
		}
	case FetchFromStore:
		choice.FetchFrom = p.store.address
	}
	if a.Save {
		choice.SaveTo = p.store.address
	}
	f.count(choice, r)
	f.occupy(now, choice, &r, 0)
	return choice
}
