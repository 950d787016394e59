package amrforward

import (
	"context"
	"time"

	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrroute"
)

// maxOriginAge is the age from which the origin of a stream is looked up again before the stream
// goes on.
const maxOriginAge = 20 * time.Millisecond

// resumable reports whether the request is for a stream that may go on at another server.
func (x *exchange) resumable() bool {
	return x.route.Kind == amrroute.Stream && x.route.Resumable
}

// stream identifies the stream of the request: that which it takes up, or its own.
func (x *exchange) stream() amrorigin.Stream {
	if x.request.LastEventID != "" && x.request.Resumes != "" {
		return amrorigin.StreamOf(x.request.Resumes)
	}
	return amrorigin.StreamOf(x.request.ID)
}

// findOrigin finds the software version of the server that began the stream which the
// request takes up. It returns a refusal if no router can tell.
func (x *exchange) findOrigin(ctx context.Context) *refusal {
	if x.request.LastEventID == "" || !x.resumable() {
		return nil
	}
	origin, certainty := x.f.origins.Find(ctx, x.stream(), x.pool)
	x.originAt = x.f.clock.Now()
	x.f.log.Info("stream is taken up", "id", x.request.ID, "resumes", x.request.Resumes, "after-event", x.request.LastEventID, "origin", certainty.String(), "software-id", uint32(origin.Software))
	if certainty == amrorigin.Unknown {
		return x.refusal(amrreason.UnknownStream, noServerRetry, "nobody knows the origin of the stream")
	}
	if pool, ok := x.targetPool(origin.Pool); ok {
		x.pool, x.software = pool, origin.Software
	}
	return nil
}

// originHolds reports whether the origin of a stream that the request takes up is still known.
// Another router may have withdrawn it while the request waited for a server.
func (x *exchange) originHolds(ctx context.Context) bool {
	if x.originAt.IsZero() || x.f.clock.Since(x.originAt) < maxOriginAge {
		return true
	}
	origin, certainty := x.f.origins.Find(ctx, x.stream(), x.pool)
	x.originAt = x.f.clock.Now()
	if certainty != amrorigin.Unknown && origin.Software == x.software {
		return true
	}
	x.f.log.Warn("the origin of a stream has changed; it does not go on", "id", x.request.ID, "resumes", x.request.Resumes, "origin", certainty.String())
	return false
}

// targetPool returns the name of the pool if requests of the route may go to it. If not,
// the route has been changed since the stream began.
func (x *exchange) targetPool(id amrorigin.PoolID) (string, bool) {
	for _, target := range x.route.Targets {
		if amrorigin.PoolIDOf(target.Pool) == id {
			return target.Pool, true
		}
	}
	return "", false
}

// recordOrigin records which software version begins the stream, immediately before the
// caller gets the first event of the present server.
func (x *exchange) recordOrigin(ctx context.Context) {
	if x.software == 0 {
		x.software = x.choice.SoftwareID
		x.began, x.beganAt = x.choice, x.begunAt
		if !x.f.identities.Begins(ctx, x.choice) {
			x.withdraw()
			return
		}
	}
	x.f.origins.Begin(x.stream(), x.pool, x.software)
}
