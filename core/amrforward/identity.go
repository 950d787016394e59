package amrforward

import (
	"context"
	"time"

	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
)

// Identities knows whether servers are the incarnations that are listed. A server may have
// started again under its name with another version of its software, and the list may not
// tell yet. The methods may block for some milliseconds.
type Identities interface {
	// Serves reports whether the chosen server is still the listed incarnation.
	Serves(ctx context.Context, c *amrpool.Choice) bool

	// Begins reports whether a stream that the chosen server has just begun is sure to have
	// begun at the software of its listing, as far as can be told at once.
	Begins(ctx context.Context, c *amrpool.Choice) bool

	// Began reports whether the chosen server had the software of its listing at the
	// time, which is earlier.
	Began(ctx context.Context, c *amrpool.Choice, at time.Time) bool
}

// WithIdentities sets what knows the incarnations of servers. By default they are taken for
// those that are listed.
func WithIdentities(i Identities) Option {
	return func(f *Forwarder) { f.identities = i }
}

// listedIdentities takes all servers for the incarnations that are listed.
type listedIdentities struct{}

func (listedIdentities) Serves(context.Context, *amrpool.Choice) bool           { return true }
func (listedIdentities) Begins(context.Context, *amrpool.Choice) bool           { return true }
func (listedIdentities) Began(context.Context, *amrpool.Choice, time.Time) bool { return true }

// mayGoOnAt reports whether the stream of the request, if one has begun, may go on at the
// chosen server.
func (x *exchange) mayGoOnAt(ctx context.Context, choice *amrpool.Choice) bool {
	if x.software == 0 {
		return true
	}
	if x.f.identities.Serves(ctx, choice) {
		return x.originHolds(ctx)
	}
	x.f.log.Warn("cannot confirm that a server is the listed incarnation; a stream does not go on there", "id", x.request.ID, "server", choice.Name, "software", choice.Software)
	return false
}

// checkBeginning returns a refusal if the stream began in this answer at a server that may
// have had other software than the one recorded. Then it goes on nowhere.
func (x *exchange) checkBeginning(ctx context.Context) *refusal {
	if x.began == nil || !x.withdrawn && x.f.identities.Began(ctx, x.began, x.beganAt) {
		return nil
	}
	x.withdraw()
	return x.refusal(amrreason.EngineLost, 0, "the software version that began the stream is not known")
}

// withdraw records that it is not certain which software began the stream, unless that was
// done before.
func (x *exchange) withdraw() {
	if x.withdrawn {
		return
	}
	x.withdrawn = true
	x.f.origins.Withdraw(x.stream(), x.pool)
	x.f.log.Warn("cannot confirm which software began a stream; it goes on nowhere", "id", x.request.ID, "server", x.began.Name, "software", x.began.Software)
}
