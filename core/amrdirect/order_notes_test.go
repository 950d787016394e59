package amrdirect

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
)

// acceptingEngines is an EngineClient of engines that accept all orders.
type acceptingEngines struct{ EngineClient }

func (acceptingEngines) ChangeWeights(_ context.Context, _ string, _ WeightsOrder, permit func() error) error {
	return permit()
}

// leaseRow is the row of the rollout lease in a table whose clock shows the time since the
// start. Responses take the delay.
type leaseRow struct {
	clock *clockwork.FakeClock
	start time.Time
	delay time.Duration
	item  amrplatform.Item
}

func (l *leaseRow) now() time.Duration { return l.clock.Since(l.start) }

// host returns the rollout of a router that starts now.
func (l *leaseRow) host(name string) *rollout {
	r := newTestRollout(0)
	r.host, r.log, r.orders = name, slog.New(slog.DiscardHandler), newOrderCounter()
	r.boot, r.clock = l.clock, l.clock
	r.deps.Engines = acceptingEngines{}
	r.lease = amrorder.NewFollowedLease(l.clock.Now(), leaseKey, name, name+"-1", leaseTTL)
	r.handover = newHandover(l.clock.Now(), name, handoverGap)
	r.tableNow = l.now
	return r
}

// handoverGap is the minimum time between orders of two hosts in these tests.
const handoverGap = 3 * time.Second

// write writes the row as the holder of the lease. It returns false if that is another one.
func (l *leaseRow) write(r *rollout, resign bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expiry, sentAt := r.lease.Expiry(), l.clock.Now()
	note := r.note()
	acquire := r.lease.AcquireTxn
	if resign {
		acquire = r.lease.ResignTxn
	}
	txn, ok := acquire(sentAt, note.encode())
	if !ok {
		return false
	}
	l.item = amrplatform.Item{Key: leaseKey, Value: txn.Puts[0].Value, Version: l.item.Version + 1}
	reading := l.now()
	l.clock.Advance(l.delay)
	r.tableTime.observe(0, sentAt, reading)
	r.lease.TxnDone(l.clock.Now(), txn, 0, l.item.Version, nil)
	r.handover.takeOver(expiry)
	return true
}

// change lets the holder announce a change of the engine, give the order and end the change.
func (l *leaseRow) change(r *rollout, engine string) (orderedAt time.Time) {
	r.changes[engine] = amrpool.WeightsChange{Model: "m1", Version: 2}
	l.write(r, false)
	l.clock.Advance(100 * time.Millisecond)
	_ = r.order(context.Background(), plannedChange{server: amrpool.State{Listing: amrpool.Listing{Name: engine}}, model: "m1"}, 2, EngineReport{})
	orderedAt = l.clock.Now()
	l.clock.Advance(500 * time.Millisecond)
	delete(r.changes, engine)
	return orderedAt
}

// read lets the router read the row as it is now.
func (l *leaseRow) read(r *rollout) { r.observeLease(0, l.item, l.now()) }

func allowed(r *rollout, engine string) bool { return r.handover.allowed(r.boot.Now(), engine) }

// TestOrdersInNote guards against orders of two hosts to one engine within the minimum time
// when the second host has read only the last note of the first one: the history of the table
// was lost, or it has just started. Its opposite are hosts that wait for engines that nobody
// has given an order lately.
func TestOrdersInNote(t *testing.T) {
	for _, started := range []string{"before", "after"} {
		t.Run(started, func(t *testing.T) {
			is := is.New(t)
			l := &leaseRow{clock: clockwork.NewFakeClock(), delay: 400 * time.Millisecond}
			l.start = l.clock.Now().Add(-time.Hour)
			first := l.host("first")
			second := l.host("second")
			is.True(l.write(first, false))
			l.clock.Advance(5 * time.Second)
			is.True(l.write(first, false))
			l.read(second)
			orderedAt := l.change(first, "e1")
			is.True(l.write(first, true)) // The second host has not read the note that named e1.
			if started == "after" {
				second = l.host("second")
			}
			l.read(second)
			is.True(l.write(second, false)) // The lease was given up.
			is.True(allowed(second, "e2"))
			for ; l.clock.Since(orderedAt) < handoverGap; l.clock.Advance(50 * time.Millisecond) {
				is.True(!allowed(second, "e1"))
			}
			l.clock.Advance(l.delay)
			is.True(allowed(second, "e1"))
		})
	}
}

// TestOrdersOfEarlierHolder guards against a host that knows the orders of the last holder,
// but not those of the holder before: notes tell the orders of all hosts.
func TestOrdersOfEarlierHolder(t *testing.T) {
	is := is.New(t)
	l := &leaseRow{clock: clockwork.NewFakeClock(), delay: 10 * time.Millisecond}
	l.start = l.clock.Now().Add(-time.Hour)
	first, second := l.host("first"), l.host("second")
	is.True(l.write(first, false))
	l.clock.Advance(5 * time.Second)
	is.True(l.write(first, false))
	first.changes["e1"] = amrpool.WeightsChange{Model: "m1", Version: 2}
	is.True(l.write(first, false))
	l.read(second)
	l.clock.Advance(leaseTTL) // The first host is gone. It may have given the order until now.
	expiry := l.clock.Now()
	is.True(l.write(second, false))
	l.change(second, "e2")
	is.True(l.write(second, true))
	third := l.host("third")
	l.read(third)
	is.True(l.write(third, false))
	is.True(allowed(third, "e3"))
	is.True(!allowed(third, "e2"))
	l.clock.Advance(expiry.Add(handoverGap - 10*time.Millisecond).Sub(l.clock.Now()))
	is.True(!allowed(third, "e1"))
	l.clock.Advance(time.Second)
	is.True(allowed(third, "e1"))
}

// TestOrdersOfEarlierEra guards against a note that seems to tell all orders after the table
// was restored, although the rows with the orders before are lost.
func TestOrdersOfEarlierEra(t *testing.T) {
	is := is.New(t)
	l := &leaseRow{clock: clockwork.NewFakeClock()}
	l.start = l.clock.Now().Add(-time.Hour)
	first := l.host("first")
	is.True(l.write(first, false))
	l.clock.Advance(time.Minute)
	is.True(l.write(first, false))
	l.change(first, "e1")
	is.True(l.write(first, false))
	first.observeEra(2)
	is.True(allowed(first, "e1"))
	first.mu.Lock()
	note := first.note()
	first.mu.Unlock()
	second := l.host("second")
	second.handover.observeLease(l.clock.Now(), "first", second.observedOrders(note, l.now()))
	l.clock.Advance(handoverGap - time.Millisecond)
	is.True(!allowed(second, "e1"))
	l.clock.Advance(time.Millisecond)
	is.True(allowed(second, "e1"))
}
