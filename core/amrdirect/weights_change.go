package amrdirect

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrorder"
)

const (
	// announceDelay is the time in which the other routers learn that a server
	// is about to load weights and in which requests already sent to it arrive.
	announceDelay = 40 * time.Millisecond

	// minConcurrentLoads and concurrentLoadShare limit how many engines load
	// weights at the same time: the share of the engines that serve the model,
	// but at least the minimum. Engines that load together share the bandwidth
	// of the weights' source, so more of them would make each load take longer.
	minConcurrentLoads  = 3
	concurrentLoadShare = 0.2

	// loadCapacity is the total weight of the semaphore that limits concurrent
	// loads. Each load acquires the weight that unitsPerLoad returns.
	loadCapacity = 1000

	// maxDrainWait is the maximum time that a change waits for requests to
	// complete, and drainPoll is the interval between reports in that time.
	maxDrainWait = 400 * time.Millisecond
	drainPoll    = 80 * time.Millisecond

	// loadPoll is the interval between reports of a server that loads weights.
	loadPoll = 100 * time.Millisecond

	// changeTimeout limits the time of one server's change; a change that takes
	// longer fails and is planned again. resendInterval is the time after which
	// an order that had no effect is sent again.
	changeTimeout  = 8 * time.Second
	resendInterval = 1200 * time.Millisecond
)

// errLeaseLost reports that this router no longer holds the rollout lease, so
// that it must not give orders.
var errLeaseLost = errors.New("rollout lease is not held")

// runChange changes the weights of one server, logs the outcome and ends the
// change.
func (r *rollout) runChange(ctx context.Context, c plannedChange) {
	start := r.boot.Now()
	r.advance(c, amrorder.ChangeAnnounced)
	weights, err := r.loadTarget(ctx, c)
	now := r.boot.Now()
	if err != nil {
		r.log.Warn("change of weights ended without success, it is planned anew", "server", c.server.Name, "model", c.model, "after", now.Sub(start), "err", err)
	} else {
		r.fleet.ObserveVersion(c.server.Name, c.model, weights)
		r.log.Info("change of weights done", "server", c.server.Name, "model", c.model, "weights", weights, "after", now.Sub(start))
	}
	r.mu.Lock()
	change := r.changes[c.server.Name]
	if err == nil {
		change.Version = weights
	}
	r.queueEnded(c.server.Name, change, err == nil)
	r.mu.Unlock()
	r.finish(now, c, err == nil)
}

// loadTarget waits until the server is idle or maxDrainWait has passed, orders
// it to load the target version of the weights and waits until it holds them.
// It returns the version that the server holds then.
func (r *rollout) loadTarget(ctx context.Context, c plannedChange) (weights int, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := r.sleep(ctx, announceDelay); err != nil {
		return 0, err
	}
	report, err := r.awaitIdle(ctx, c)
	if err != nil {
		return 0, err
	}
	r.advance(c, amrorder.ChangeReady)
	if err := r.loadSlots.Acquire(ctx, c.units); err != nil {
		return 0, err
	}
	defer r.loadSlots.Release(c.units)
	r.advance(c, amrorder.ChangeLoading)
	if report, err = r.report(ctx, c); err != nil {
		return 0, err
	}
	target := r.fleet.Target(c.model)
	ordered := time.Time{}
	for report.Version[c.model] < target || report.Loading {
		if !report.Loading && r.boot.Now().Sub(ordered) >= resendInterval {
			target = r.fleet.Target(c.model)
			ordered = r.boot.Now()
			if err := r.order(ctx, c, target, report); err != nil {
				return 0, err
			}
		}
		if err := r.sleep(ctx, loadPoll); err != nil {
			return 0, err
		}
		if report, err = r.report(ctx, c); err != nil {
			return 0, err
		}
	}
	return report.Version[c.model], nil
}

// awaitIdle waits until the server has no running or waiting requests, for at
// most maxDrainWait, and returns the last report. In mode FinishRequests it
// does not wait because the engine itself completes its requests before it
// loads.
func (r *rollout) awaitIdle(ctx context.Context, c plannedChange) (EngineReport, error) {
	start := r.boot.Now()
	for {
		report, err := r.report(ctx, c)
		switch {
		case err == nil:
			r.advance(c, amrorder.ChangeAnswered)
		case ctx.Err() == nil:
			r.advance(c, amrorder.ChangeUnanswered)
		}
		if err != nil || r.mode == FinishRequests || report.Running+report.Waiting == 0 || r.boot.Now().Sub(start) >= maxDrainWait {
			return report, err
		}
		if err := r.sleep(ctx, drainPoll); err != nil {
			return report, err
		}
	}
}

// report returns the state that the server's engine reports.
func (r *rollout) report(ctx context.Context, c plannedChange) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := r.clock.Now()
	report, err := r.deps.Engines.Report(ctx, c.server.Address, c.server.Name)
	if err == nil && r.fleet.ObserveSignals(r.clock.Now(), sentAt, c.server.Name, report.Signals) {
		r.log.Info("signal of a backend server in its report", "server", c.server.Name, "leaving", report.Signals.Leaving)
	}
	return report, err
}

// order orders the server to load the target version. It returns nil for an
// order that was refused or whose outcome is unknown: the next report shows the
// outcome, and an engine that accepted the order does not accept another one
// with the same count of accepted orders.
func (r *rollout) order(ctx context.Context, c plannedChange, target int, report EngineReport) error {
	fence, err := r.permit()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = r.deps.Engines.ChangeWeights(ctx, c.server.Address, WeightsOrder{
		Server:   c.server.Name,
		Model:    c.model,
		Version:  target,
		Mode:     r.mode,
		Holder:   r.host,
		Fence:    fence,
		Accepted: report.Accepted,
	}, func() error {
		// The process may have been paused since the order was created.
		current, err := r.permit()
		if err == nil && current != fence {
			err = errLeaseLost
		}
		return err
	})
	r.recordOrder(c.server.Name)
	r.orders.WithLabelValues(orderResult(err)).Inc()
	r.log.Info("order to load weights", "server", c.server.Name, "model", c.model, "weights", target, "fence", fence, "accepted-before", report.Accepted, "running", report.Running, "err", err)
	if errorx.IsOfType(err, OrderOutcomeUnknown) || errorx.IsOfType(err, OrderRefused) {
		return nil
	}
	return err
}

// permit returns the fencing token of the rollout lease, or errLeaseLost if this
// router must not give orders now.
func (r *rollout) permit() (fence uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fence, ok := r.lease.Held(r.boot.Now())
	if !ok {
		return 0, errLeaseLost
	}
	return fence, nil
}

// sleep waits for the duration. It returns the error of ctx if ctx ends before.
func (r *rollout) sleep(ctx context.Context, d time.Duration) error {
	timer := r.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// unitsPerLoad returns the share of loadCapacity that one load acquires where
// the given number of engines serve the model.
func unitsPerLoad(engines int) int64 {
	return loadCapacity / int64(concurrentLoads(engines))
}

// concurrentLoads returns how many engines may load weights at the same time where the
// given number of engines serve the model.
func concurrentLoads(engines int) int {
	return max(minConcurrentLoads, int(concurrentLoadShare*float64(engines)))
}
