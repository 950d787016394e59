package amrsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrsite"
)

const (
	routerMemory = 112 << 20 // Memory of a router in bytes, that of the smallest hosts.

	slowCallerCount  = 40                     // Number of callers of a router that read slowly.
	floodEvents      = 500                    // Number of large events in each of their answers: 16 MB.
	slowReadBytes    = 16 << 10               // Number of bytes that such a caller reads at once, if it reads at all.
	slowReadInterval = 50 * time.Millisecond  // Time between two reads.
	memoryInterval   = 50 * time.Millisecond  // Time between two looks at the memory of a router.
	minSlowTime      = 2 * time.Second        // Shortest time for which callers read slowly.
	slownessInterval = 100 * time.Millisecond // Time between two changes of the noise.
	minSlowness      = 0.6                    // Multiple of the usual time that the work of the fastest engine takes,
	slownessSpread   = 0.8                    // and the range above that.
	noiseShare       = 0.15                   // Share of the time in which an engine is noiseFactor times slower.
	noiseFactor      = 2.5

	fullMemoryRequests = 100                    // Number of large requests sent at once: 850,000 tokens.
	fullMemoryTokens   = "8000,500"             // 8.5% of an engine's memory, as the long prompts of deployment R.
	fullMemoryInterval = 200 * time.Millisecond // Time until the next ones.
)

// slowEngines gives each engine another speed, with noise, for the duration.
func (s *site) slowEngines(f fault) {
	random := rand.New(rand.NewPCG(uint64(f.At), uint64(f.Server)))
	usual := make([]float64, len(s.servers))
	for i := range usual {
		usual[i] = minSlowness + slownessSpread*random.Float64()
	}
	for range int((minSlowTime + f.Length) / slownessInterval) {
		for i, b := range s.servers {
			slowness := usual[i]
			if random.Float64() < noiseShare {
				slowness *= noiseFactor
			}
			if b.Model != "" {
				b.SetSlowness(slowness)
			}
		}
		s.clock.Sleep(slownessInterval)
	}
	for _, b := range s.servers {
		b.SetSlowness(0)
	}
}

// readSlowly lets callers of the router read large answers slowly, every other one not at
// all, for minSlowTime and the duration. It checks the memory of the router, and that the
// router still answers other callers.
func (s *site) readSlowly(r *router, f fault) {
	ctx, cancel := context.WithTimeout(context.Background(), minSlowTime+f.Length)
	defer cancel()
	begin := s.clock.Now()
	var group errgroup.Group
	for i := range slowCallerCount {
		request := amrsite.Request{
			ID: fmt.Sprintf("slow-%d-%d", begin.UnixNano(), i), Route: amrsite.StreamRoute, Key: permanentKey, Model: modelName,
			Timeout: requestTimeout, PromptParts: "3:800", Flood: floodEvents,
		}
		group.Go(func() error { s.sendSlow(ctx, r, request, i%2 == 0); return nil })
	}
	for i := 0; ctx.Err() == nil; i++ {
		if used := r.Memory(); used > routerMemory {
			s.checker.Report("processes keep to their memory", "%s uses %d MB while callers read slowly; it may use %d MB", r.name, used>>20, routerMemory>>20)
			cancel()
		}
		s.checkAnswersOthers(r, begin, i)
		s.clock.Sleep(memoryInterval)
	}
	_ = group.Wait() // The functions return no error.
}

// checkAnswersOthers checks that a router with slow callers answers another one, perhaps by
// a refusal, unless it is disturbed otherwise.
func (s *site) checkAnswersOthers(r *router, begin time.Time, i int) {
	from := s.clock.Now().Add(-s.checker.timeLimits.settle)
	request := amrsite.Request{ID: fmt.Sprintf("beside-%d-%d", begin.UnixNano(), i), Route: amrsite.IdempotentRoute, Key: permanentKey, Timeout: requestTimeout}
	_, answer := s.sendTracked(r, request)
	now, d := s.clock.Now(), s.checker.disturbances
	if answer.Status == 0 && d.undisturbed(r.name, from, now) && d.undisturbed(otherFaults, from, now) {
		s.checker.Report("slow callers do not block others", "%s got no answer from %s", request.ID, r.name)
	}
}

// sendSlow sends the request and reads its answer slowly, or not at all, until it ends or
// ctx is done. Its answer is not checked: the router may break it off.
func (s *site) sendSlow(ctx context.Context, r *router, request amrsite.Request, reads bool) {
	s.checker.recordSend(request, r.name)
	httpRequest, err := request.NewHTTPRequest(ctx, r.callers.Address())
	if err != nil {
		panic(err) // The address is valid.
	}
	response, err := r.client.Do(httpRequest)
	if err != nil {
		return // The router is down, or ctx is done.
	}
	defer response.Body.Close()
	for err == nil && reads {
		_, err = io.CopyN(io.Discard, response.Body, slowReadBytes)
		s.clock.Sleep(slowReadInterval)
	}
	<-ctx.Done()
}

// fillMemory sends requests that together exceed the memory of all engines, to all routers
// in turn, for the duration.
func (s *site) fillMemory(f fault) {
	var group errgroup.Group
	for n := range int(1 + f.Length/fullMemoryInterval) {
		for i := range fullMemoryRequests {
			id := fmt.Sprintf("memory-%d-%d-%d", f.At, n, i)
			request := amrsite.Request{
				ID: fmt.Sprintf("%s-%d", id, s.clock.Now().UnixNano()), Route: amrsite.StreamRoute, Key: permanentKey, Model: modelName, Timeout: requestTimeout,
				PromptParts: id + ":8000", Tokens: fullMemoryTokens,
			}
			group.Go(func() error { s.send(s.routers[i%len(s.routers)], request); return nil })
		}
		s.clock.Sleep(fullMemoryInterval)
	}
	_ = group.Wait() // The functions return no error.
}

// checkMemory checks that no engine crashed because the requests in progress exceeded its
// memory, except while routers or engines were disturbed by other than a loss of routers.
func (s *site) checkMemory() {
	for _, b := range s.servers {
		for _, at := range b.MemoryCrashes() {
			if s.checker.disturbances.undisturbed(otherFaults, at.Add(-s.checker.timeLimits.settle), at) {
				s.checker.Report("memory of servers", "%s crashed at %s, because the requests that it held exceeded its memory", b.Name, at.UTC().Format("15:04:05.000"))
			}
		}
	}
}
