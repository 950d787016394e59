package amrreplay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrplace"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/core/amrtick"
	"amaranthreach.example/router/amrrouter"
	"amaranthreach.example/sidecar/amrsidecar"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrfleet"
	"amaranthreach.example/standin/amrpace"
	"amaranthreach.example/standin/amrtrace"
)

// The deadline, the TTL of the rollout lease and the order times are in trace
// time.
const (
	maxPreparedRequests = 64 // At most this many requests are encoded before they are due.
	flushTokens         = 8
	progressInterval    = 5 * time.Second
	requestDeadline     = 10 * time.Minute
	leaseTTL            = time.Second
	orderTimeout        = 2 * time.Second
	initialOrderDelay   = 500 * time.Millisecond
	routingPolicyName   = "replayed"
)

// playback is one replay of the trace through a fleet under one policy.
type playback struct {
	policy   string
	requests []amrtrace.Request
	settings settings
	fleet    *amrfleet.Fleet
	caller   *caller
	start    time.Time
	calls    []call
	// killedProcesses waits for processes that were killed and may still be
	// running.
	killedProcesses errgroup.Group
	raceMu          sync.Mutex // raceMu is held while operators race.
	// raceChanges counts the changes that racing operators have attempted;
	// raceMu guards it.
	raceChanges int
	// processLocks holds a mutex for each router and backend server, which
	// serializes restarts of a process.
	processLocks map[string]*sync.Mutex
}

// startPlayback starts a fleet and applies the records that the trace needs.
func startPlayback(ctx context.Context, r *Replay, policy string) (*playback, error) {
	p := &playback{policy: policy, requests: r.requests, settings: r.settings, calls: make([]call, len(r.requests))}
	config, trueState := p.fleetConfig(), &oracle{}
	if policy == PolicyOmniscient {
		config.RouterOptions = append(config.RouterOptions, amrrouter.WithPlacerOptions(amrplace.WithOracle(trueState)))
	}
	var err error
	p.fleet, err = amrfleet.Start(context.WithoutCancel(ctx), config)
	if err != nil {
		return nil, err
	}
	trueState.setFleet(p.fleet)
	p.processLocks = make(map[string]*sync.Mutex)
	for _, r := range p.fleet.Routers {
		p.processLocks[r.Name()] = &sync.Mutex{}
	}
	for _, s := range p.fleet.Servers {
		p.processLocks[s.Name] = &sync.Mutex{}
	}
	if err := p.fleet.Apply(ctx, p.records()...); err != nil {
		p.stop()
		return nil, err
	}
	p.caller = newCaller(p.settings.clock, p.fleet.Routers, 2*p.settings.wallTime(requestDeadline))
	return p, nil
}

func (p *playback) fleetConfig() amrfleet.Config {
	c := amrfleet.DefaultConfig
	c.Engines = p.settings.engines
	c.Routers = p.settings.routers
	c.Services = 0
	c.TimeScale = p.settings.timeScale
	c.Log = p.settings.log
	c.StopGrace = p.settings.wallTime(requestDeadline) // A graceful stop must not cut off any request.
	c.RouterOptions = append(c.RouterOptions, amrrouter.WithRolloutTimeouts(p.settings.wallTime(leaseTTL), p.settings.wallTime(orderTimeout)))
	c.SidecarOptions = append(c.SidecarOptions, amrsidecar.WithInitialOrderDelay(p.settings.wallTime(initialOrderDelay)))
	c.EngineOptions = []amrengine.Option{
		amrengine.WithCacheBlocks(p.settings.cacheBlocks),
		amrengine.WithDirectory(amrengine.NewDirectory()),
		amrengine.WithFlushTokens(flushTokens),
		amrengine.WithEventLoss(p.settings.eventLoss),
		amrengine.WithEventDelay(p.settings.eventDelay),
		amrengine.WithStatusLag(p.settings.statusLag),
	}
	return c
}

// records returns records for the routing policy, for the teams and deployments
// that the trace names, and for the backend servers, which are assigned to the
// deployments in turn.
func (p *playback) records() []amrrecord.Record {
	policy := amrrecord.Policy(p.policy)
	if p.policy == PolicyOmniscient {
		policy = amrrecord.PolicyCacheAware
	}
	records := []amrrecord.Record{{Name: routingPolicyName, Spec: amrrecord.RoutingPolicy{
		Policy:          policy,
		RecomputeWeight: p.settings.recomputeWeight,
		WaitWeight:      p.settings.waitWeight,
		Deadline:        p.settings.wallTime(requestDeadline),
	}}}
	var teams, models []string
	for _, r := range p.requests {
		if !slices.Contains(teams, r.Team) {
			teams = append(teams, r.Team)
			records = append(records, amrrecord.Record{Name: r.Team, Spec: amrrecord.Team{KeySHA256: []string{apiKeyDigest(r.Team)}, Weight: 1}})
		}
		if !slices.Contains(models, r.Model) {
			models = append(models, r.Model)
			records = append(records, amrrecord.Record{Name: r.Model, Spec: amrrecord.Deployment{
				Type:          amrrecord.TypeModel,
				Model:         r.Model,
				Versions:      []amrrecord.Version{{Weights: amrfleet.InitialWeights, Share: 100}},
				RoutingPolicy: routingPolicyName,
			}})
		}
	}
	for i, record := range p.fleet.Records() {
		if server, ok := record.Spec.(amrrecord.BackendServer); ok {
			server.Deployment = models[i%len(models)]
			record.Spec = server
		}
		records = append(records, record)
	}
	return records
}

// stop stops the fleet and waits until killed processes have ended.
func (p *playback) stop() {
	if p.caller != nil {
		p.caller.close()
	}
	_ = p.fleet.Stop()
	_ = p.killedProcesses.Wait()
}

// sendRequests sends all requests at their times while it injects the faults,
// and waits for the answers.
func (p *playback) sendRequests(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sends := make(chan amrpace.ScheduledSend, maxPreparedRequests)
	p.start = p.settings.clock.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.queueRequests(ctx, sends) })
	group.Go(func() error { return p.injectFaults(ctx) })
	group.Go(func() error { return p.reportProgress(ctx) })
	group.Go(func() error {
		defer cancel() // This stops the fault injection and the progress reports.
		return amrpace.Run(ctx, p.settings.clock, sends)
	})
	return group.Wait()
}

// queueRequests encodes requests before they are due and queues them for
// sending. It closes sends when it returns.
func (p *playback) queueRequests(ctx context.Context, sends chan<- amrpace.ScheduledSend) error {
	defer close(sends)
	elapsed := func() time.Duration { return p.settings.clock.Since(p.start) }
	for i, r := range p.requests {
		encoded, c := encodeRequest(r), &p.calls[i]
		c.due = p.settings.wallTime(r.At)
		send := amrpace.ScheduledSend{Due: p.start.Add(c.due), Do: func() { p.caller.call(ctx, encoded, c, elapsed) }}
		select {
		case sends <- send:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// reportProgress writes a progress line every progressInterval until ctx is
// done.
func (p *playback) reportProgress(ctx context.Context) error {
	amrtick.Every(ctx, p.settings.clock, progressInterval, func() {
		elapsed := p.settings.traceTime(p.settings.clock.Since(p.start))
		fmt.Fprintf(p.settings.progress, "policy=%s trace-time=%s of=%s\n", p.policy, elapsed.Round(time.Second), p.requests[len(p.requests)-1].At.Round(time.Second))
	})
	return nil
}

// wallTime converts a duration in trace time to wall time.
func (s settings) wallTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.timeScale)
}

// traceTime converts a duration in wall time to trace time.
func (s settings) traceTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.timeScale)
}

func teamAPIKey(team string) string {
	return "key-of-" + team
}

// apiKeyDigest returns the SHA-256 digest of the team's API key in hexadecimal,
// as the team's record holds it.
func apiKeyDigest(team string) string {
	sum := sha256.Sum256([]byte(teamAPIKey(team)))
	return hex.EncodeToString(sum[:])
}
