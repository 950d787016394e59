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

const (
	prepareAhead     = 64 // Requests whose bodies are made before they are due.
	flushTokens      = 8
	progressInterval = 5 * time.Second
	deadline         = 10 * time.Minute // Of the trace.
	orderTTL         = time.Second      // Of the trace, as the times below.
	orderTimeout     = 2 * time.Second
	orderSettle      = 500 * time.Millisecond
	routingPolicy    = "replayed"
)

// play is one run of the trace through a fleet.
type play struct {
	policy   string
	requests []amrtrace.Request
	settings settings
	fleet    *amrfleet.Fleet
	caller   *caller
	begin    time.Time
	calls    []call
	killed   errgroup.Group         // Processes that were killed and have not ended.
	racing   sync.Mutex             // Held while operators race.
	races    int                    // Changes by racing operators so far.
	failing  map[string]*sync.Mutex // By process: held while it fails, so that faults of one come one after the other.
}

// startPlay starts a fleet with the records that the trace needs.
func startPlay(ctx context.Context, r *Replay, policy string) (*play, error) {
	p := &play{policy: policy, requests: r.requests, settings: r.settings, calls: make([]call, len(r.requests))}
	config, truth := p.fleetConfig(), &oracle{}
	if policy == PolicyOmniscient {
		config.RouterOptions = append(config.RouterOptions, amrrouter.WithPlacerOptions(amrplace.WithOracle(truth)))
	}
	var err error
	p.fleet, err = amrfleet.Start(context.WithoutCancel(ctx), config)
	if err != nil {
		return nil, err
	}
	truth.watch(p.fleet)
	p.failing = make(map[string]*sync.Mutex)
	for _, r := range p.fleet.Routers {
		p.failing[r.Name()] = &sync.Mutex{}
	}
	for _, s := range p.fleet.Servers {
		p.failing[s.Name] = &sync.Mutex{}
	}
	if err := p.fleet.Apply(ctx, p.records()...); err != nil {
		p.stop()
		return nil, err
	}
	p.caller = newCaller(p.settings.clock, p.fleet.Routers, 2*p.settings.scaled(deadline))
	return p, nil
}

func (p *play) fleetConfig() amrfleet.Config {
	c := amrfleet.DefaultConfig
	c.Engines = p.settings.engines
	c.Routers = p.settings.routers
	c.Services = 0
	c.TimeScale = p.settings.timeScale
	c.Log = p.settings.log
	c.StopGrace = p.settings.scaled(deadline) // A planned stop cuts no request.
	c.RouterOptions = append(c.RouterOptions, amrrouter.WithOrderTimes(p.settings.scaled(orderTTL), p.settings.scaled(orderTimeout)))
	c.SidecarOptions = append(c.SidecarOptions, amrsidecar.WithOrderSettle(p.settings.scaled(orderSettle)))
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

// records returns the teams and deployments that the trace names, the routing
// policy and the backend servers, which the deployments share out.
func (p *play) records() []amrrecord.Record {
	policy := amrrecord.Policy(p.policy)
	if p.policy == PolicyOmniscient {
		policy = amrrecord.PolicyCacheAware
	}
	records := []amrrecord.Record{{Name: routingPolicy, Spec: amrrecord.RoutingPolicy{
		Policy:          policy,
		RecomputeWeight: p.settings.recomputeWeight,
		WaitWeight:      p.settings.waitWeight,
		Deadline:        p.settings.scaled(deadline),
	}}}
	var teams, models []string
	for _, r := range p.requests {
		if !slices.Contains(teams, r.Team) {
			teams = append(teams, r.Team)
			records = append(records, amrrecord.Record{Name: r.Team, Spec: amrrecord.Team{KeySHA256: []string{keyDigest(r.Team)}, Weight: 1}})
		}
		if !slices.Contains(models, r.Model) {
			models = append(models, r.Model)
			records = append(records, amrrecord.Record{Name: r.Model, Spec: amrrecord.Deployment{
				Type:          amrrecord.TypeModel,
				Model:         r.Model,
				Versions:      []amrrecord.Version{{Weights: amrfleet.Weights, Share: 100}},
				RoutingPolicy: routingPolicy,
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

func (p *play) stop() {
	if p.caller != nil {
		p.caller.close()
	}
	_ = p.fleet.Stop()
	_ = p.killed.Wait()
}

// run sends all requests and waits for their answers.
func (p *play) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sends := make(chan amrpace.Send, prepareAhead)
	p.begin = p.settings.clock.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.prepare(ctx, sends) })
	group.Go(func() error { return p.inject(ctx) })
	group.Go(func() error { return p.report(ctx) })
	group.Go(func() error {
		defer cancel() // Ends the injection of faults and the progress.
		return amrpace.Run(ctx, p.settings.clock, sends)
	})
	return group.Wait()
}

// prepare makes the bodies of requests before they are due.
func (p *play) prepare(ctx context.Context, sends chan<- amrpace.Send) error {
	defer close(sends)
	now := func() time.Duration { return p.settings.clock.Since(p.begin) }
	for i, r := range p.requests {
		body, c := newRequestBody(r), &p.calls[i]
		c.due = p.settings.scaled(r.At)
		send := amrpace.Send{Due: p.begin.Add(c.due), Do: func() { p.caller.call(ctx, body, c, now) }}
		select {
		case sends <- send:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// report writes progress now and then.
func (p *play) report(ctx context.Context) error {
	amrtick.Every(ctx, p.settings.clock, progressInterval, func() {
		elapsed := p.settings.unscaled(p.settings.clock.Since(p.begin))
		fmt.Fprintf(p.settings.progress, "policy=%s trace-time=%s of=%s\n", p.policy, elapsed.Round(time.Second), p.requests[len(p.requests)-1].At.Round(time.Second))
	})
	return nil
}

func (s settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.timeScale)
}

func (s settings) unscaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.timeScale)
}

func teamKey(team string) string {
	return "key-of-" + team
}

func keyDigest(team string) string {
	sum := sha256.Sum256([]byte(teamKey(team)))
	return hex.EncodeToString(sum[:])
}
