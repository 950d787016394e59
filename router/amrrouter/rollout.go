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
	rolloutTickInterval        = 100 * time.Millisecond
	leaseRequestTimeout        = time.Second // Of one read or write of the lease.
	maxConcurrentStateRequests = 32          // Calls to sidecars.
)

// rolloutManager orders the backend servers of each deployment to load the versions
// of the weights that the deployment's record lists. Only the router that holds
// the deployment's lease gives orders. A router becomes a candidate for the lease
// when it knows of a backend server that should load another version, or does not
// know that a rollout has reached the goal of the record. Only the goroutine of run
// uses rollouts and reachedGoals.
type rolloutManager struct {
	clock          clockwork.Clock
	log            *slog.Logger
	table          amrplatform.Table
	sidecarConns   *connPool
	membership     *membership
	currentRecords func() amrrecord.Set
	holder         string // Name of this process in leases and orders.
	leaseTTL       time.Duration
	timeout        time.Duration // Of one order.

	rollouts     map[string]*rollout // Candidacies by deployment.
	reachedGoals map[string]string   // Last goal that a holder of the lease reached, by deployment.
	calls        errgroup.Group
	completions  chan func() // Functions that apply the outcomes of calls, for the goroutine of run.
}

// rollout is the candidacy for the rollout lease of a deployment and the plan for it.
type rollout struct {
	deployment       string
	goal             string
	lease            amrorder.Lease
	plan             amrorder.Rollout
	heldSince        time.Time // Zero while the lease is not held.
	statesRequested  bool      // The states of all backend servers were requested since heldSince.
	requestingStates bool
}

// run runs the rollouts until ctx is done.
func (r *rolloutManager) run(ctx context.Context) error {
	r.rollouts = make(map[string]*rollout)
	r.reachedGoals = make(map[string]string)
	r.completions = make(chan func())
	ticker := r.clock.NewTicker(rolloutTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.calls.Wait()
		case applyOutcome := <-r.completions:
			applyOutcome()
		case <-ticker.Chan():
			r.tick(ctx)
		}
	}
}

// runAsync runs f on a goroutine of its own and the function that f returns on the
// goroutine of run, so that calls do not block run and their outcomes are applied
// without locks.
func (r *rolloutManager) runAsync(ctx context.Context, f func() (applyOutcome func())) {
	r.calls.Go(func() error {
		applyOutcome := f()
		select {
		case r.completions <- applyOutcome:
		case <-ctx.Done():
		}
		return nil
	})
}

// tick advances the rollout of each deployment.
func (r *rolloutManager) tick(ctx context.Context) {
	set := r.currentRecords()
	view := r.membership.view(set)
	for _, deployment := range view.Deployments() {
		spec, ok := set.Deployment(deployment)
		if !ok || len(spec.Versions) == 0 {
			continue
		}
		servers := servers(view, deployment)
		if active := r.activeRollout(deployment, spec, servers); active != nil {
			r.advance(ctx, active, spec, view, servers)
		}
	}
}

// activeRollout returns the rollout of the deployment, and starts one if it is
// needed. It returns nil if there is nothing to do. A rollout is needed if a
// backend server is known that should hold another version, or if no rollout is
// known to have reached the goal of the record.
func (r *rolloutManager) activeRollout(deployment string, spec amrrecord.Deployment, servers []amrorder.RolloutServer) *rollout {
	if active := r.rollouts[deployment]; active != nil {
		return active
	}
	goal := rolloutGoal(spec, len(servers))
	wanted := amrorder.RolloutNeeded(spec.Versions, servers)
	if !wanted && r.reachedGoals[deployment] == goal {
		return nil
	}
	options := []amrorder.LeaseOption{amrorder.WithGoal(goal)}
	if wanted {
		options = append(options, amrorder.WithReachedGoalIgnored())
	}
	active := &rollout{
		deployment: deployment,
		goal:       goal,
		lease:      amrorder.NewLease(r.clock.Now(), deployment, r.holder, r.leaseTTL, options...),
	}
	r.rollouts[deployment] = active
	return active
}

// rolloutGoal returns a string that identifies the goal of a rollout: the versions
// of the record and the number of backend servers.
func rolloutGoal(spec amrrecord.Deployment, servers int) string {
	return fmt.Sprintf("%d %v", servers, spec.Versions)
}

// advance takes the next step of a rollout. It applies for the lease or renews it.
// While it is held, the router requests the states of all backend servers, gives
// the orders that the plan returns, and resigns the lease when none are needed.
func (r *rolloutManager) advance(ctx context.Context, active *rollout, spec amrrecord.Deployment, view amrmember.View, servers []amrorder.RolloutServer) {
	now := r.clock.Now()
	if goal := rolloutGoal(spec, len(servers)); goal != active.goal {
		active.goal = goal
		active.lease.SetGoal(goal)
	}
	r.performLeaseAction(ctx, active, active.lease.Apply(now, amrorder.LeaseTick{}))
	fence, held := active.lease.Held(now)
	if !held {
		active.heldSince, active.statesRequested = time.Time{}, false
		if active.lease.Resigned() {
			r.reachedGoals[active.deployment] = active.goal
			delete(r.rollouts, active.deployment)
		}
		return
	}
	if active.heldSince.IsZero() {
		active.heldSince = now
		r.log.Info("rollout lease acquired", "deployment", active.deployment, "fence", fence)
	}
	if !active.statesRequested {
		r.requestStates(ctx, active, view)
		return
	}
	if active.lease.TookOver() && now.Sub(active.heldSince) < r.timeout {
		return // Orders of the previous holder may still be running.
	}
	loads := active.plan.Plan(now, spec.Versions, servers)
	for _, load := range loads {
		r.startOrder(ctx, active, load, fence)
	}
	if active.plan.Loading() == 0 && !amrorder.RolloutNeeded(spec.Versions, servers) {
		r.log.Info("rollout finished", "deployment", active.deployment)
		active.lease.Resign()
	}
}

// performLeaseAction executes the action of the lease, if it is not nil, and the
// actions that follow from its outcome.
func (r *rolloutManager) performLeaseAction(ctx context.Context, active *rollout, action amrorder.LeaseAction) {
	if action == nil {
		return
	}
	r.runAsync(ctx, func() func() {
		event := r.callTable(ctx, action)
		return func() { r.performLeaseAction(ctx, active, active.lease.Apply(r.clock.Now(), event)) }
	})
}

// callTable executes the action of the lease on the table and returns its outcome.
func (r *rolloutManager) callTable(ctx context.Context, action amrorder.LeaseAction) amrorder.LeaseEvent {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, leaseRequestTimeout)
	defer cancel()
	switch a := action.(type) {
	case amrorder.ReadLease:
		item, err := r.table.Get(ctx, a.Key)
		if badItem := amrorder.CheckLease(item); err == nil && badItem != nil {
			r.log.Warn("cannot decode the rollout lease; it counts as free, check which process wrote it", "key", a.Key, "version", item.Version, "err", badItem)
		}
		return amrorder.LeaseRead{Item: item, Err: err}
	case amrorder.WriteLease:
		return amrorder.LeaseWritten{Err: r.table.Commit(ctx, a.Txn)}
	default:
		return amrorder.LeaseTick{}
	}
}

// requestStates requests the state of every backend server of the deployment. It
// does nothing if such requests are in progress.
func (r *rolloutManager) requestStates(ctx context.Context, active *rollout, view amrmember.View) {
	if active.requestingStates {
		return
	}
	active.requestingStates = true
	members := append(append([]*amrmember.Member(nil), view.Eligible(active.deployment)...), view.Excluded(active.deployment)...)
	r.runAsync(ctx, func() func() {
		var reports errgroup.Group
		reports.SetLimit(maxConcurrentStateRequests)
		for _, m := range members {
			reports.Go(func() error {
				ctx, cancel := clockwork.WithTimeout(ctx, r.clock, probeTimeout)
				defer cancel()
				if !r.membership.requestState(ctx, m.Name, m.Address) {
					r.membership.recordFailure(m.Name, true)
				}
				return nil
			})
		}
		_ = reports.Wait()
		return func() { active.requestingStates, active.statesRequested = false, true }
	})
}

// startOrder sends an order to load weights and passes its outcome to the plan.
func (r *rolloutManager) startOrder(ctx context.Context, active *rollout, load amrorder.LoadOrder, fence uint64) {
	r.log.Info("load of weights ordered", "deployment", active.deployment, "backend-server", load.Server, "weights", load.Weights, "fence", fence)
	r.runAsync(ctx, func() func() {
		outcome, err := r.sendOrder(ctx, active.deployment, load, fence)
		return func() {
			now := r.clock.Now()
			switch outcome {
			case amrorder.OutcomeBusy, amrorder.OutcomeFloorUnknown, amrorder.OutcomeStaleFence:
				active.plan.Postpone(now, load)
			default:
				active.plan.Finish(now, load, err)
			}
			r.log.Info("load of weights ended", "deployment", active.deployment, "backend-server", load.Server,
				"weights", load.Weights, "outcome", string(outcome), "error", err)
		}
	})
}

// sendOrder sends an order to the sidecar of the backend server and waits for its
// outcome. The error is not nil if the outcome is amrorder.OutcomeFailed.
func (r *rolloutManager) sendOrder(ctx context.Context, deployment string, load amrorder.LoadOrder, fence uint64) (amrorder.OrderOutcome, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, r.timeout)
	defer cancel()
	member, ok := r.membership.view(r.currentRecords()).Member(deployment, load.Server)
	if !ok {
		return amrorder.OutcomeFailed, errors.New("backend server no longer has a record")
	}
	reply, err := r.sidecarConns.client(ctx, member.Address).Order(ctx, &amrgate.OrderRequest{
		Kind:       amrorder.KindLoadWeights,
		Value:      load.Weights,
		Deployment: deployment,
		Fence:      fence,
		Holder:     r.holder,
	})
	if err != nil {
		return amrorder.OutcomeFailed, err
	}
	r.membership.requestState(ctx, member.Name, member.Address)
	outcome := amrorder.OrderOutcome(reply.GetOutcome())
	if outcome == amrorder.OutcomeFailed {
		err = errors.New(reply.GetMessage())
	}
	return outcome, err
}

// servers returns the deployment's backend servers for the plan. It omits those
// that are drained by record, which a rollout does not change.
func servers(view amrmember.View, deployment string) []amrorder.RolloutServer {
	var all []amrorder.RolloutServer
	for _, m := range view.Eligible(deployment) {
		all = append(all, newServer(m))
	}
	for _, m := range view.Excluded(deployment) {
		if m.Exclusion != amrmember.DrainedByRecord {
			all = append(all, newServer(m))
		}
	}
	return all
}

// newServer returns the state of a backend server for the plan.
func newServer(m *amrmember.Member) amrorder.RolloutServer {
	return amrorder.RolloutServer{
		Name:             m.Name,
		AvailabilityZone: m.AvailabilityZone,
		Weights:          m.WeightsVersion,
		Ready:            m.Exclusion == amrmember.Eligible,
		Reachable:        m.Exclusion == amrmember.Eligible || m.Exclusion == amrmember.NotReady,
		Reported:         m.SidecarIncarnation != "",
	}
}
