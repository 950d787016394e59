package amrdirect

import (
	"context"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrpool"
)

// identities knows whether servers are the incarnations that are listed, from the list if that
// is current, and else from their own reports. It implements amrforward.Identities.
type identities struct {
	lists   amrorigin.Store
	servers *amrfollow.Follower
	fleet   *amrpool.Fleet
	engines EngineClient
}

// Serves reports whether the chosen server is still the listed incarnation.
func (i *identities) Serves(ctx context.Context, c *amrpool.Choice) bool {
	if c.Started.IsZero() {
		return true // The platform does not tell incarnations.
	}
	if i.lists.ConfirmLists(ctx) != nil {
		return i.reports(ctx, c)
	}
	listed, ok := i.fleet.Listing(c.Name)
	return ok && listed.Started.Equal(c.Started)
}

// Began reports whether the chosen server had the software of its listing at the time, which
// is earlier. That is so if it still is the same incarnation, or a current list tells of the
// same software, or it was the listed one in a time without a gap.
func (i *identities) Began(ctx context.Context, c *amrpool.Choice, at time.Time) bool {
	if c.Started.IsZero() {
		return true
	}
	if i.lists.ConfirmLists(ctx) != nil {
		return i.servers.WasContinuous(at) || i.reports(ctx, c)
	}
	listed, ok := i.fleet.Listing(c.Name)
	return ok && listed.Software == c.Software || i.servers.WasContinuous(at)
}

// reports reports whether the chosen server itself says that it is the listed incarnation.
func (i *identities) reports(ctx context.Context, c *amrpool.Choice) bool {
	ctx, cancel := context.WithTimeout(ctx, amrorigin.LookupTimeout)
	defer cancel()
	report, err := i.engines.Report(ctx, c.Address, c.Name)
	return err == nil && report.Started.Equal(c.Started)
}
