package amrsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrpace"
	"amaranthreach.example/standin/amrsite"
)

const (
	sendInterval        = 5 * time.Millisecond    // Time between the starts of two requests.
	requestTimeout      = 1500 * time.Millisecond // Timeout of each request.
	callerTimeoutMargin = 3 * time.Second         // Time after the deadline at which a caller gives up.
	maxInFlight         = 300                     // Largest number of requests in flight.
	sharedParts         = 12                      // Number of values of each prompt part that requests share.

	readinessTimeout  = time.Second            // Time after which a router that does not answer is not ready.
	readinessInterval = 200 * time.Millisecond // Time between two readiness checks of a router.
	anyRouterShare    = 0.1                    // Share of the requests that go to any router, whether it is ready or not.

	revocableShare = 0.2 // Share of the requests that use revocableKey.

	// uploadShare is the share of the requests with a body of uploadBytes, if servers
	// respond before they have read requests. The body is longer than the buffers between a
	// router and a server.
	uploadShare = 0.05
	uploadBytes = 4 << 20
)

// routes are the routes of the requests, unless the soak test names others.
var routes = []string{amrsite.NonIdempotentRoute, amrsite.IdempotentRoute, amrsite.StreamRoute, amrsite.ResumableStreamRoute}

// sendLoad sends random requests at a constant rate until ctx is done, and waits
// for their answers. The name is the prefix of the request IDs.
func (s *site) sendLoad(ctx context.Context, random *rand.Rand, name string) error {
	var group errgroup.Group
	group.SetLimit(maxInFlight)
	at := s.clock.Now()
	for n := 1; amrpace.SleepUntil(ctx, s.clock, at) == nil; n++ {
		r, request := s.randomRequest(random, fmt.Sprintf("%s-%d", name, n))
		seed := random.Uint64()
		group.Go(func() error {
			tracked, answer := s.sendTracked(r, request)
			s.takeUp(rand.New(rand.NewPCG(seed, seed)), tracked, answer)
			return nil
		})
		at = at.Add(sendInterval)
	}
	return group.Wait()
}

// randomRequest returns a random request and the router to send it to.
func (s *site) randomRequest(random *rand.Rand, id string) (*router, amrsite.Request) {
	key := permanentKey
	if random.Float64() < revocableShare {
		key = revocableKey
	}
	request := amrsite.Request{
		ID: id, Route: s.routes[random.IntN(len(s.routes))], Key: key, Model: modelName, Timeout: requestTimeout,
		PromptParts: fmt.Sprintf("%08x:800,%08x:410,%s:250", random.IntN(sharedParts), random.IntN(sharedParts), id),
	}
	if request.Route != amrsite.IdempotentRoute { // All of its requests are the same popular one.
		request.Content = "&" + id
	}
	if s.deployment.Uploads && random.Float64() < uploadShare {
		request.UploadBytes = uploadBytes
	}
	return s.pickRouter(random), request
}

// pickRouter returns a random router that is ready, as a load balancer with
// readiness checks does. If no router is ready, and for anyRouterShare of the
// requests, it returns any router.
func (s *site) pickRouter(random *rand.Rand) *router {
	var candidates []*router
	for _, r := range s.routers {
		if r.ready.Load() {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 || random.Float64() < anyRouterShare {
		candidates = s.routers
	}
	return candidates[random.IntN(len(candidates))]
}

// watchReadiness updates the readiness of the router periodically until ctx is
// done.
func (s *site) watchReadiness(ctx context.Context, r *router) {
	for ctx.Err() == nil {
		r.ready.Store(r.isReady(ctx))
		_ = amrpace.SleepUntil(ctx, s.clock, s.clock.Now().Add(readinessInterval)) // If ctx is done, the loop ends.
	}
}

// send sends a request to the router, reusing idle connections, and checks its
// answer. It reports whether the answer is complete and successful.
func (s *site) send(r *router, request amrsite.Request) bool {
	_, answer := s.sendTracked(r, request)
	return request.IsComplete(answer, streamEvents)
}

// sendTracked is like send, and returns the request as the checker tracks it and the
// answer, which is empty if there was none.
func (s *site) sendTracked(r *router, request amrsite.Request) (*trackedRequest, amrsite.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout+callerTimeoutMargin)
	defer cancel()
	tracked := s.checker.recordSend(request, r.name)
	answer, err := request.Send(ctx, r.client, r.callers.Address())
	s.checker.checkAnswer(tracked, answer, err)
	return tracked, answer
}
