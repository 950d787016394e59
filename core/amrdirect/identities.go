package amrdirect

import (
	"context"
	"sync"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrpool"
)

// listLag is the longest time from the start of a server until routers list it.
const listLag = time.Second

// identities knows whether servers are the incarnations that are listed, from their own reports
// and from the list. It implements amrforward.Identities.
type identities struct {
	lists   amrorigin.Store
	servers *amrfollow.Follower
	fleet   *amrpool.Fleet
	engines EngineClient

	mu     sync.Mutex
	listed map[string]incarnation // By server.
}

// incarnation is the listed incarnation of a server.
type incarnation struct {
	started time.Time // Zero if the server is not listed any more.
	since   time.Time // Time at which the list was seen to change.
}

func newIdentities(lists amrorigin.Store, fleet *amrpool.Fleet, engines EngineClient) *identities {
	return &identities{lists: lists, fleet: fleet, engines: engines, listed: make(map[string]incarnation)}
}

// observe records the listed incarnation of the server, which is zero if it has left the list.
func (i *identities) observe(now time.Time, server string, started time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if known, ok := i.listed[server]; !ok || !known.started.Equal(started) {
		i.listed[server] = incarnation{started, now}
	}
	for name, known := range i.listed {
		if known.started.IsZero() && now.Sub(known.since) > time.Minute {
			delete(i.listed, name)
		}
	}
}

// Serves reports whether the chosen server is still the listed incarnation. If the server
// itself does not tell, a current list does.
func (i *identities) Serves(ctx context.Context, c *amrpool.Choice) bool {
	if c.Started.IsZero() {
		return true // The platform does not tell incarnations.
	}
	started, err := i.askServer(ctx, c)
	if err == nil && !started.IsZero() {
		return started.Equal(c.Started)
	}
	listed, ok := i.fleet.Listing(c.Name)
	return i.lists.ConfirmLists(ctx) == nil && ok && listed.Started.Equal(c.Started)
}

// Begins reports whether a stream that the chosen server has just begun is sure to have begun
// at the software of its listing. That is so while the list is followed. Otherwise the server is
// asked: its caller may leave, or this router end, before anybody else could.
func (i *identities) Begins(ctx context.Context, c *amrpool.Choice) bool {
	if c.Started.IsZero() || i.servers.Connected() {
		return true
	}
	started, err := i.askServer(ctx, c)
	return err == nil && started.Equal(c.Started)
}

// Began reports whether the chosen server had the software of its listing at the time, which
// is earlier. That is so if it still is the same incarnation, or a current list tells of the
// same software, or it was the listed one for long enough, in a time without a gap.
func (i *identities) Began(ctx context.Context, c *amrpool.Choice, at time.Time) bool {
	if c.Started.IsZero() {
		return true
	}
	started, err := i.askServer(ctx, c)
	if err == nil && started.Equal(c.Started) {
		return true
	}
	if i.lists.ConfirmLists(ctx) != nil {
		return i.servers.WasContinuous(at.Add(listLag))
	}
	listed, ok := i.fleet.Listing(c.Name)
	switch {
	case ok && listed.Started.Equal(c.Started):
		return err != nil || started.IsZero() // No other incarnation answers.
	case ok && listed.Software == c.Software:
		return true
	}
	return i.servers.WasContinuous(at) && i.unchangedUntil(c.Name, at.Add(listLag))
}

// unchangedUntil reports whether the listed incarnation of the server has not changed
// shortly before the time.
func (i *identities) unchangedUntil(server string, at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.listed[server].since.After(at)
}

// askServer returns when the chosen server itself says that it started; zero if it does not
// say.
func (i *identities) askServer(ctx context.Context, c *amrpool.Choice) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, amrorigin.LookupTimeout)
	defer cancel()
	report, err := i.engines.Report(ctx, c.Address, c.Name)
	return report.Started, err
}
