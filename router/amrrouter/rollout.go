package amrrouter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrmember"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
)

const (
	rolloutTick   = 100 * time.Millisecond
	leaseTimeout  = time.Second // For one read or write of the lease.
	reportsAtOnce = 32          // Sidecars that are asked for their weights.
)

// rollouts brings the backend servers of each deployment to the versions of
// its record. A router becomes a candidate for a deployment's lease when it
// knows of a backend server that holds another version.
type rollouts struct {
	clock      clockwork.Clock
	log        *slog.Logger
	table      amrplatform.Table
	gates      *gates
	membership *membership
	current    func() amrrecord.Set
	holder     string
	ttl        time.Duration
	timeout    time.Duration // For one order.

	running map[string]*rollout // By deployment.
	reached map[string]string   // Goal by deployment that some holder reached.
	calls   errgroup.Group
	results chan func() // Outcomes of calls, to be taken in by run.
}

// rollout is the candidacy and the plan for one deployment.
type rollout struct {
	deployment string
	goal       string
	lease      amrorder.Lease
	plan       amrorder.Rollout
	heldSince  time.Time // Zero while the lease is not held.
	swept      bool      // Every backend server was asked for its state since then.
	sweeping   bool
}

// run works on the rollouts until ctx is done.
func (r *rollouts) run(ctx context.Context) error {
	r.running = make(map[string]*rollout)
	r.reached = make(map[string]string)
	r.results = make(chan func())
	ticker := r.clock.NewTicker(rolloutTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.calls.Wait()
		case take := <-r.results:
			take()
		case <-ticker.Chan():
			r.tick(ctx)
		}
	}
}

// call runs f and takes in its outcome on the goroutine of run.
func (r *rollouts) call(ctx context.Context, f func() (take func())) {
	r.calls.Go(func() error {
		take := f()
		select {
		case r.results <- take:
		case <-ctx.Done():
		}
		return nil
	})
}

func (r *rollouts) tick(ctx context.Context) {
	set := r.current()
	view := r.membership.view(set)
	for _, deployment := range view.Deployments() {
		spec, ok := set.Deployment(deployment)
		if !ok || len(spec.Versions) == 0 {
			continue
		}
		servers := servers(view, deployment)
		if active := r.candidacy(deployment, spec, servers); active != nil {
			r.step(ctx, active, spec, view, servers)
		}
	}
}

// candidacy returns the candidacy for the deployment's lease, or nil when there
// is nothing to do. The router is a candidate when it knows of a backend server
// that should hold another version, and when the versions of the record are
// new to it.
func (r *rollouts) candidacy(deployment string, spec amrrecord.Deployment, servers []amrorder.Server) *rollout {
	if active := r.running[deployment]; active != nil {
		return active
	}
	goal := goalOf(spec, len(servers))
	wanted := amrorder.RolloutNeeded(spec.Versions, servers)
	if !wanted && r.reached[deployment] == goal {
		return nil
	}
	options := []amrorder.LeaseOption{amrorder.WithGoal(goal)}
	if wanted {
		options = append(options, amrorder.WithReachedGoalIgnored())
	}
	active := &rollout{
		deployment: deployment,
		goal:       goal,
		lease:      amrorder.NewLease(r.clock.Now(), deployment, r.holder, r.ttl, options...),
	}
	r.running[deployment] = active
	return active
}

// goalOf identifies the state that a rollout works towards.
func goalOf(spec amrrecord.Deployment, servers int) string {
	return fmt.Sprintf("%d %v", servers, spec.Versions)
}

// step moves one rollout on.
func (r *rollouts) step(ctx context.Context, active *rollout, spec amrrecord.Deployment, view amrmember.View, servers []amrorder.Server) {
	now := r.clock.Now()
	if goal := goalOf(spec, len(servers)); goal != active.goal {
		active.goal = goal
		active.lease.SetGoal(goal)
	}
	r.act(ctx, active, active.lease.Apply(now, amrorder.LeaseTick{}))
	fence, held := active.lease.Held(now)
	if !held {
		active.heldSince, active.swept = time.Time{}, false
		if active.lease.Resigned() {
			r.reached[active.deployment] = active.goal
			delete(r.running, active.deployment)
		}
		return
	}
	if active.heldSince.IsZero() {
		active.heldSince = now
		r.log.Info("rollout-lease", "deployment", active.deployment, "fence", fence)
	}
	if !active.swept {
		r.sweep(ctx, active, view)
		return
	}
	if active.lease.TookOver() && now.Sub(active.heldSince) < r.timeout {
		return // Loads of the holder before may still go on.
	}
	loads := active.plan.Plan(now, spec.Versions, servers)
	for _, load := range loads {
		r.order(ctx, active, load, fence)
	}
	if active.plan.Loading() == 0 && !amrorder.RolloutNeeded(spec.Versions, servers) {
		r.log.Info("rollout-finished", "deployment", active.deployment)
		active.lease.Resign()
	}
}

// act carries out what the lease asks for.
func (r *rollouts) act(ctx context.Context, active *rollout, action amrorder.LeaseAction) {
	if action == nil {
		return
	}
	r.call(ctx, func() func() {
		event := r.perform(ctx, action)
		return func() { r.act(ctx, active, active.lease.Apply(r.clock.Now(), event)) }
	})
}

func (r *rollouts) perform(ctx context.Context, action amrorder.LeaseAction) amrorder.LeaseEvent {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, leaseTimeout)
	defer cancel()
	switch a := action.(type) {
	case amrorder.ReadLease:
		item, err := r.table.Get(ctx, a.Key)
		return amrorder.LeaseRead{Item: item, Err: err}
	case amrorder.WriteLease:
		return amrorder.LeaseWritten{Err: r.table.Commit(ctx, a.Txn)}
	default:
		return amrorder.LeaseTick{}
	}
}

// sweep asks every backend server of the deployment for its state.
func (r *rollouts) sweep(ctx context.Context, active *rollout, view amrmember.View) {
	if active.sweeping {
		return
	}
	active.sweeping = true
	members := append(append([]*amrmember.Member(nil), view.Eligible(active.deployment)...), view.Excluded(active.deployment)...)
	r.call(ctx, func() func() {
		var reports errgroup.Group
		reports.SetLimit(reportsAtOnce)
		for _, m := range members {
			reports.Go(func() error {
				ctx, cancel := clockwork.WithTimeout(ctx, r.clock, probeTimeout)
				defer cancel()
				if !r.membership.report(ctx, m.Name, m.Address) {
					r.membership.failed(m.Name, true)
				}
				return nil
			})
		}
		_ = reports.Wait()
		return func() { active.sweeping, active.swept = false, true }
	})
}

// order sends one order and takes in its outcome.
func (r *rollouts) order(ctx context.Context, active *rollout, load amrorder.Load, fence uint64) {
	r.log.Info("rollout-load", "deployment", active.deployment, "backend-server", load.Server, "weights", load.Weights, "fence", fence)
	r.call(ctx, func() func() {
		outcome, err := r.send(ctx, active.deployment, load, fence)
		return func() {
			now := r.clock.Now()
			switch outcome {
			case amrorder.OutcomeBusy, amrorder.OutcomeFloorUnknown, amrorder.OutcomeStaleFence:
				active.plan.Postpone(now, load)
			default:
				active.plan.Finish(now, load, err)
			}
			r.log.Info("rollout-loaded", "deployment", active.deployment, "backend-server", load.Server,
				"weights", load.Weights, "outcome", string(outcome), "error", err)
		}
	})
}

func (r *rollouts) send(ctx context.Context, deployment string, load amrorder.Load, fence uint64) (amrorder.Outcome, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, r.timeout)
	defer cancel()
	member, ok := r.membership.view(r.current()).Member(deployment, load.Server)
	if !ok {
		return amrorder.OutcomeFailed, errors.New("the backend server has no record any more")
	}
	reply, err := r.gates.client(ctx, member.Address).Order(ctx, &amrgate.OrderRequest{
		Kind:       amrorder.KindLoadWeights,
		Value:      load.Weights,
		Deployment: deployment,
		Fence:      fence,
		Holder:     r.holder,
	})
	if err != nil {
		return amrorder.OutcomeFailed, err
	}
	r.membership.report(ctx, member.Name, member.Address)
	outcome := amrorder.Outcome(reply.GetOutcome())
	if outcome == amrorder.OutcomeFailed {
		err = errors.New(reply.GetMessage())
	}
	return outcome, err
}

// servers returns the deployment's backend servers for the planner. Those
// drained by record are left as they are.
func servers(view amrmember.View, deployment string) []amrorder.Server {
	var all []amrorder.Server
	for _, m := range view.Eligible(deployment) {
		all = append(all, server(m))
	}
	for _, m := range view.Excluded(deployment) {
		if m.Exclusion != amrmember.DrainedByRecord {
			all = append(all, server(m))
		}
	}
	return all
}

func server(m *amrmember.Member) amrorder.Server {
	return amrorder.Server{
		Name:             m.Name,
		AvailabilityZone: m.AvailabilityZone,
		Weights:          m.WeightsVersion,
		Ready:            m.Exclusion == amrmember.Eligible,
		Reachable:        m.Exclusion == amrmember.Eligible || m.Exclusion == amrmember.NotReady,
		Reported:         m.SidecarIncarnation != "",
	}
}
