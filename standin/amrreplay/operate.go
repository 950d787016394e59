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

// racingOperators is how many operators change a record at the same moment.
const racingOperators = 4

// operatorPause is the time after which an operator tries again while the store
// is down.
const operatorPause = 100 * time.Millisecond

var badRace = namespace.NewType("bad-race")

// rollOut names another version of the weights in the records of the models.
func (p *play) rollOut(ctx context.Context, weights string) error {
	var changed []amrrecord.Record
	for _, record := range p.records() {
		if deployment, ok := record.Spec.(amrrecord.Deployment); ok {
			deployment.Versions = []amrrecord.Version{{Weights: weights, Share: 100}}
			record.Spec = deployment
			changed = append(changed, record)
		}
	}
	_, err := p.fleet.Store().Apply(ctx, change(changed...))
	return err
}

// raceOperators lets operators change the routing policy on the same base, and
// fails unless exactly one of them succeeds. Races come one after the other, as
// the winner of one would change the base of the other.
func (p *play) raceOperators(ctx context.Context) error {
	p.racing.Lock()
	defer p.racing.Unlock()
	set, err := p.fleet.Store().Load(ctx)
	for err != nil {
		p.wait(ctx, operatorPause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		set, err = p.fleet.Store().Load(ctx)
	}
	policy, _ := set.RoutingPolicy(routingPolicy)
	var won atomic.Int64
	var group errgroup.Group
	for range racingOperators {
		mine := policy
		p.races++
		mine.Deadline += time.Duration(p.races) * time.Millisecond // No two write the same.
		c := change(amrrecord.Record{Name: routingPolicy, Spec: mine})
		c.Base = set.Revision()
		group.Go(func() error {
			_, err := p.fleet.Store().Apply(ctx, c)
			if errorx.IsOfType(err, amrconfig.Conflict) {
				return nil
			}
			won.Add(1)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if won.Load() != 1 {
		return badRace.New("%d operators changed the record on one base, not one", won.Load())
	}
	return nil
}

func change(records ...amrrecord.Record) amrconfig.Change {
	return amrconfig.Change{Put: records, Who: "replay", From: "stand-in", Reason: "fault"}
}
