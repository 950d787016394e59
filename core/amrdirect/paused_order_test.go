package amrdirect

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrpool"
)

// pausedEngines is an EngineClient whose process is paused between the decision to
// give an order and the moment at which the order would be sent.
type pausedEngines struct {
	pause func()
	sent  int
}

func (e *pausedEngines) Report(context.Context, string, string) (EngineReport, error) {
	return EngineReport{}, nil
}

func (e *pausedEngines) ChangeWeights(_ context.Context, _ string, _ WeightsOrder, permit func() error) error {
	e.pause()
	if err := permit(); err != nil {
		return OrderRefused.Wrap(err, "not sent")
	}
	e.sent++
	return nil
}

// TestPausedOrder checks that an order is not sent if the lease has expired, or was
// lost and acquired anew, while the process was paused after the decision.
func TestPausedOrder(t *testing.T) {
	for name, test := range map[string]struct {
		pause func(boot *clockwork.FakeClock, lease *amrorder.FollowedLease)
		sent  int
	}{
		"no pause": {func(*clockwork.FakeClock, *amrorder.FollowedLease) {}, 1},
		"expired":  {func(boot *clockwork.FakeClock, _ *amrorder.FollowedLease) { boot.Advance(leaseTTL) }, 0},
		"acquired anew": {func(boot *clockwork.FakeClock, lease *amrorder.FollowedLease) {
			lease.SetEra(boot.Now(), 2)
			txn, _ := lease.AcquireTxn(boot.Now(), nil)
			lease.TxnDone(boot.Now(), txn, 2, 1, nil)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boot := clockwork.NewFakeClock()
			lease := amrorder.NewFollowedLease(boot.Now(), leaseKey, "own", "own-1", leaseTTL)
			txn, ok := lease.AcquireTxn(boot.Now(), nil)
			is.True(ok)
			lease.TxnDone(boot.Now(), txn, 0, 1, nil)
			engines := &pausedEngines{pause: func() { test.pause(boot, lease) }}
			r := newTestRollout(0)
			r.deps.Engines, r.boot, r.lease, r.orders = engines, boot, lease, newOrderCounter()
			_ = r.order(t.Context(), plannedChange{server: amrpool.State{Listing: amrpool.Listing{Name: "e1"}}, model: "m1"}, 2, EngineReport{})
			is.Equal(engines.sent, test.sent)
		})
	}
}
