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
	sendGap     = 5 * time.Millisecond
	deadline    = 1500 * time.Millisecond
	patience    = 3 * time.Second // Beyond the deadline, after which a caller leaves.
	outstanding = 300             // Requests at once.
	prompts     = 12              // Shared first parts.

	balancePoll = 200 * time.Millisecond
	astray      = 0.1 // Share of the requests that go to any router, ready or not.

	revocableShare = 0.2 // Of the requests that use the key that is revoked now and then.
)

var routes = []string{amrsite.Once, amrsite.Find, amrsite.Tag, amrsite.Reply}

// load sends requests at a steady pace until ctx is done, and waits for their
// answers.
func (s *site) load(ctx context.Context, random *rand.Rand, name string) error {
	var group errgroup.Group
	group.SetLimit(outstanding)
	at := s.clock.Now()
	for n := 1; amrpace.SleepUntil(ctx, s.clock, at) == nil; n++ {
		r, request := s.draw(random, fmt.Sprintf("%s-%d", name, n))
		group.Go(func() error { s.send(r, request); return nil })
		at = at.Add(sendGap)
	}
	return group.Wait()
}

func (s *site) draw(random *rand.Rand, id string) (*router, amrsite.Request) {
	key := steadyKey
	if random.Float64() < revocableShare {
		key = revocableKey
	}
	return s.balance(random), amrsite.Request{
		ID: id, Route: routes[random.IntN(len(routes))], Key: key, Model: model, Deadline: deadline,
		PrefixHashes: fmt.Sprintf("%08x:800,%08x:410,%s:250", random.IntN(prompts), random.IntN(prompts), id),
	}
}

// balance returns a router as a balancer does that asks all whether they are
// ready. Some callers do not go by it.
func (s *site) balance(random *rand.Rand) *router {
	var ready []*router
	for _, r := range s.routers {
		if r.serving.Load() {
			ready = append(ready, r)
		}
	}
	if len(ready) == 0 || random.Float64() < astray {
		ready = s.routers
	}
	return ready[random.IntN(len(ready))]
}

// watch keeps asking the router whether it is ready, until ctx is done.
func (s *site) watch(ctx context.Context, r *router) {
	for ctx.Err() == nil {
		r.serving.Store(r.ready(ctx))
		_ = amrpace.SleepUntil(ctx, s.clock, s.clock.Now().Add(balancePoll)) // The loop ends with ctx.
	}
}

// send sends a request over the router's kept connections and checks its
// answer. It reports whether the answer is a whole success.
func (s *site) send(r *router, request amrsite.Request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline+patience)
	defer cancel()
	found := s.check.sending(request, r.name)
	answer, err := request.Send(ctx, r.client, r.callers.Address())
	s.check.ended(found, answer, err)
	return err == nil && request.IsComplete(answer, events)
}
