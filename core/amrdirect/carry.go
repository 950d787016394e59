package amrdirect

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// settleTime is the time in which routers hear that a server is about to
	// change its weights, and requests on their way to it arrive.
	settleTime = 40 * time.Millisecond

	// minLoads and loadShare give the number of engines that load at once, as a
	// number and as a share of those that serve the model. More would share the
	// same source of weights, and each would take longer.
	minLoads  = 3
	loadShare = 0.2

	// loadUnits is the whole of which each load takes a part.
	loadUnits = 1000

	// drainLimit is how long a change waits for the running requests, and
	// drainPoll the time between two looks.
	drainLimit = 400 * time.Millisecond
	drainPoll  = 80 * time.Millisecond

	// loadPoll is the time between two looks at a server that loads.
	loadPoll = 100 * time.Millisecond

	// carryLimit is the longest time of one server's change before it is
	// planned anew, and resendAfter the time after which an order that was not
	// carried out is given again.
	carryLimit  = 8 * time.Second
	resendAfter = 1200 * time.Millisecond
)

// errLeaseLost says that orders may no longer be given.
var errLeaseLost = errors.New("the lease of orders is not held")

// carry changes the weights of one server and reports how that ended.
func (r *rollout) carry(ctx context.Context, b begin) {
	start := r.boot.Now()
	weights, err := r.change(ctx, b)
	now := r.boot.Now()
	if err != nil {
		r.log.Warn("change of weights ended without success, it is planned anew", "server", b.server.Name, "model", b.model, "after", now.Sub(start), "err", err)
	} else {
		r.fleet.SawVersion(r.clock.Now(), b.server.Name, b.model, weights)
		r.tellDone(b.server.Name, b.model, weights)
		r.log.Info("change of weights done", "server", b.server.Name, "model", b.model, "weights", weights, "after", now.Sub(start))
	}
	r.finish(now, b, err == nil)
}

// change waits until the server has little to do, orders it to load the newest
// weights and waits until it holds them.
func (r *rollout) change(ctx context.Context, b begin) (weights int, err error) {
	ctx, cancel := context.WithTimeout(ctx, carryLimit)
	defer cancel()
	if err := r.pause(ctx, settleTime); err != nil {
		return 0, err
	}
	report, err := r.drain(ctx, b)
	if err != nil {
		return 0, err
	}
	if err := r.loads.Acquire(ctx, b.part); err != nil {
		return 0, err
	}
	defer r.loads.Release(b.part)
	if report, err = r.report(ctx, b); err != nil {
		return 0, err
	}
	target := r.fleet.Target(b.model)
	ordered := time.Time{}
	for report.Version[b.model] < target || report.Loading {
		if !report.Loading && r.boot.Now().Sub(ordered) >= resendAfter {
			target = r.fleet.Target(b.model)
			ordered = r.boot.Now()
			if err := r.order(ctx, b, target, report); err != nil {
				return 0, err
			}
		}
		if err := r.pause(ctx, loadPoll); err != nil {
			return 0, err
		}
		if report, err = r.report(ctx, b); err != nil {
			return 0, err
		}
	}
	return report.Version[b.model], nil
}

// drain waits until nothing runs at the server, for a while.
func (r *rollout) drain(ctx context.Context, b begin) (EngineReport, error) {
	start := r.boot.Now()
	for {
		report, err := r.report(ctx, b)
		if err != nil || r.mode == Finish || report.Running+report.Waiting == 0 || r.boot.Now().Sub(start) >= drainLimit {
			return report, err
		}
		if err := r.pause(ctx, drainPoll); err != nil {
			return report, err
		}
	}
}

func (r *rollout) report(ctx context.Context, b begin) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.ports.Orders.Report(ctx, b.server.Address, b.server.Name)
}

// order gives the order. One whose outcome is unknown is not an error: the
// next report tells, and no order after it has the same count.
func (r *rollout) order(ctx context.Context, b begin, target int, report EngineReport) error {
	r.mu.Lock()
	fence, ok := r.lease.Held(r.boot.Now())
	r.mu.Unlock()
	if !ok {
		return errLeaseLost
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.ports.Orders.ChangeWeights(ctx, b.server.Address, WeightsOrder{
		Server:   b.server.Name,
		Model:    b.model,
		Version:  target,
		Mode:     r.mode,
		Host:     r.host,
		Fence:    fence,
		Accepted: report.Accepted,
	})
	r.orders.WithLabelValues(orderResult(err)).Inc()
	r.log.Info("order to load weights", "server", b.server.Name, "model", b.model, "weights", target, "fence", fence, "accepted-before", report.Accepted, "running", report.Running, "err", err)
	if errorx.IsOfType(err, OrderUnknown) || errorx.IsOfType(err, OrderRefused) {
		return nil
	}
	return err
}

// pause waits for the duration, or returns the error of ctx.
func (r *rollout) pause(ctx context.Context, d time.Duration) error {
	timer := r.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// loadPart returns the part of loadUnits that one load takes, so that only as
// many engines of the number load at once as may.
func loadPart(engines int) int64 {
	return loadUnits / int64(max(minLoads, int(loadShare*float64(engines))))
}
