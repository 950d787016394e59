package amrreplay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrrecord"
)

// racingOperators is the number of operators that change a record concurrently.
const racingOperators = 4

// storeRetryInterval is the time, in trace time, between attempts to load the
// records while the store is down.
const storeRetryInterval = 100 * time.Millisecond

// unexpectedRaceOutcome is the type of the error if the number of racing
// operators that succeed is not one.
var unexpectedRaceOutcome = namespace.NewType("bad-race")

// rollOutWeights changes the weights version in the records of all models.
func (p *playback) rollOutWeights(ctx context.Context, weights string) error {
	var changed []amrrecord.Record
	for _, record := range p.records() {
		if deployment, ok := record.Spec.(amrrecord.Deployment); ok {
			deployment.Versions = []amrrecord.Version{{Weights: weights, Share: 100}}
			record.Spec = deployment
			changed = append(changed, record)
		}
	}
	_, err := p.fleet.ConfigStore().Apply(ctx, newChange(changed...))
	return err
}

// raceOperators changes the routing policy concurrently from several operators
// that all start from the same revision. It returns an error unless exactly one
// change succeeds. Only one race runs at a time, since a change by one race
// would make all changes of another conflict.
func (p *playback) raceOperators(ctx context.Context) error {
	p.raceMu.Lock()
	defer p.raceMu.Unlock()
	set, err := p.fleet.ConfigStore().Load(ctx)
	for err != nil {
		p.sleepTraceTime(ctx, storeRetryInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		set, err = p.fleet.ConfigStore().Load(ctx)
	}
	policy, _ := set.RoutingPolicy(routingPolicyName)
	var succeeded atomic.Int64
	var group errgroup.Group
	for range racingOperators {
		update := policy
		p.raceChanges++
		// Every operator writes a different value.
		update.Deadline += time.Duration(p.raceChanges) * time.Millisecond
		change := newChange(amrrecord.Record{Name: routingPolicyName, Spec: update})
		change.Base = set.Revision()
		group.Go(func() error {
			_, err := p.fleet.ConfigStore().Apply(ctx, change)
			if errorx.IsOfType(err, amrconfig.Conflict) {
				return nil
			}
			succeeded.Add(1)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if succeeded.Load() != 1 {
		return unexpectedRaceOutcome.New("%d concurrent changes from one revision succeeded instead of one", succeeded.Load())
	}
	return nil
}

// newChange returns a change that puts the records, as made by an operator
// during a fault.
func newChange(records ...amrrecord.Record) amrconfig.Change {
	return amrconfig.Change{Put: records, Author: "replay", SourceAddress: "stand-in", Reason: "fault"}
}
