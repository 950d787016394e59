package amrload

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrfleet"
)

const (
	compareTeam       = "load" // Name of the team and its API key.
	comparePolicy     = "load"
	compareZones      = 3
	fastPrefill       = 1e9              // Tokens per second.
	fastDecode        = time.Millisecond // Time per token.
	compareBatch      = 256              // Maximum number of concurrent requests of an engine.
	compareDeadline   = time.Minute
	compareStopGrace  = 2 * time.Second
	percentileMedian  = 50
	percentileTail    = 99
	percentileExtreme = 99.9
)

// Comparison contains the results of the same load sent to engines directly, and
// sent through routers and sidecars.
type Comparison struct {
	Rate           float64 // Mean number of requests per second.
	Direct, Routed Result
}

// Compare starts a fleet of fast simulated engines in this process. At each rate, it
// sends the load to the engines directly and then through the routers. The engines
// are fast, so that the difference shows the latency that routers and sidecars add.
// Compare sets the model, the key, the rate and the URLs of the load.
func Compare(ctx context.Context, load Load, rates []float64, engines, routers int) ([]Comparison, error) {
	config := amrfleet.DefaultConfig
	config.Engines, config.Routers, config.Services = engines, routers, 0
	config.AvailabilityZones = compareZones
	config.StopGrace = compareStopGrace
	config.EngineOptions = []amrengine.Option{
		amrengine.WithPrefillRate(fastPrefill),
		amrengine.WithDecodeStep(fastDecode),
		amrengine.WithBatchLimit(compareBatch),
	}
	fleet, err := amrfleet.Start(context.WithoutCancel(ctx), config)
	if err != nil {
		return nil, err
	}
	defer fleet.Stop() //nolint:errcheck // The measurements are complete.
	if err := fleet.Apply(ctx, compareRecords(fleet)...); err != nil {
		return nil, err
	}
	load.Model = amrfleet.ModelDeployment
	load.Key = compareTeam
	var direct, routed []string
	for _, s := range fleet.Servers {
		direct = append(direct, s.URL())
	}
	for _, r := range fleet.Routers {
		routed = append(routed, r.CallersURL())
	}
	var comparisons []Comparison
	for _, rate := range rates {
		c := Comparison{Rate: rate}
		load.Rate = rate
		load.URLs = direct
		if c.Direct, err = load.Run(ctx); err != nil {
			return nil, err
		}
		load.URLs = routed
		if c.Routed, err = load.Run(ctx); err != nil {
			return nil, err
		}
		comparisons = append(comparisons, c)
	}
	return comparisons, nil
}

// compareRecords returns the records of the fleet, a team, a routing policy and a
// deployment that all teams may use.
func compareRecords(fleet *amrfleet.Fleet) []amrrecord.Record {
	digest := sha256.Sum256([]byte(compareTeam))
	return append(fleet.Records(),
		amrrecord.Record{Name: compareTeam, Spec: amrrecord.Team{KeySHA256: []string{hex.EncodeToString(digest[:])}, Weight: 1}},
		amrrecord.Record{Name: comparePolicy, Spec: amrrecord.RoutingPolicy{
			Policy:          amrrecord.PolicyCacheAware,
			RecomputeWeight: 1,
			WaitWeight:      1,
			Deadline:        compareDeadline,
		}},
		amrrecord.Record{Name: amrfleet.ModelDeployment, Spec: amrrecord.Deployment{
			Type:          amrrecord.TypeModel,
			Model:         amrfleet.ModelDeployment,
			Versions:      []amrrecord.Version{{Weights: amrfleet.InitialWeights, Share: 100}},
			RoutingPolicy: comparePolicy,
		}},
	)
}
