package amrorder_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrplatform"
)

const (
	followedKey = "rollout"
	followedTTL = 1500 * time.Millisecond
)

// leaseHost is a simulated host that is a candidate for the lease.
type leaseHost struct {
	name     string
	lease    *amrorder.FollowedLease
	pausedTo time.Time
	write    *amrplatform.Txn // Transaction in flight to the table; nil if there is none.
	starts   int              // Number of process starts, part of the incarnation.
}

// leaseModel simulates a table, hosts that see its changes late, and the orders
// that they send.
type leaseModel struct {
	now    time.Time
	item   amrplatform.Item
	hosts  []*leaseHost
	sender string // Host that sent the last order.
	fence  uint64 // Fencing token of the last order.
	orders int
}

// start replaces the process of the host by a new one.
func (m *leaseModel) start(h *leaseHost) {
	h.starts++
	h.write = nil
	h.lease = amrorder.NewFollowedLease(m.now, followedKey, h.name, fmt.Sprint(h.name, h.starts), followedTTL)
}

// TestFollowedLease lets hosts acquire, renew, lose and resign a lease while
// they see changes late, their writes are lost or applied without a reply, and
// they are paused or restarted. It checks that the fencing tokens of orders
// never decrease and that no two hosts use the same token. It does not check the
// time between orders of different hosts: the handover in package amrdirect is
// responsible for it.
func TestFollowedLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseModel{now: time.Unix(1000, 0)}
		for i := range rapid.IntRange(2, 3).Draw(t, "hosts") {
			h := &leaseHost{name: fmt.Sprintf("h%d", i)}
			m.hosts = append(m.hosts, h)
			m.start(h)
		}
		senders := make(map[uint64]string)
		for range 250 {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom(m.hosts).Draw(t, "host")
			if m.now.Before(h.pausedTo) {
				continue
			}
			switch rapid.SampledFrom([]string{"observe", "acquire", "acquire", "write", "write-applied", "write-lost", "reply-lost", "order", "order", "order", "pause", "restart", "resign"}).Draw(t, "step") {
			case "observe":
				h.lease.Observe(m.now, m.item)
			case "write":
				if h.write == nil {
					if txn, ok := h.lease.AcquireTxn(m.now, json.RawMessage(`{}`)); ok {
						h.write = &txn
					}
				}
			case "acquire": // The host sees the item and writes it without delay.
				h.lease.Observe(m.now, m.item)
				if txn, ok := h.lease.AcquireTxn(m.now, nil); ok && h.write == nil {
					h.write = &txn
					m.completeWrite(h, true)
				}
			case "resign":
				if h.write == nil {
					if txn, ok := h.lease.ResignTxn(m.now, nil); ok {
						h.write = &txn
					}
				}
			case "write-applied":
				m.completeWrite(h, true)
			case "reply-lost":
				m.completeWrite(h, false)
			case "write-lost":
				if h.write != nil {
					h.write = nil
					h.lease.TxnDone(m.now, 0, amrplatform.Unavailable.New("down"))
				}
			case "pause":
				h.pausedTo = m.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "pause")) * time.Millisecond)
			case "restart":
				m.start(h)
			case "order":
				fence, ok := h.lease.Held(m.now)
				if !ok {
					continue
				}
				m.orders++
				if fence < m.fence {
					t.Fatalf("%s sent an order with token %d after one with token %d from %s", h.name, fence, m.fence, m.sender)
				}
				if sender := senders[fence]; sender != "" && sender != h.name {
					t.Fatalf("token %d of %s was used by %s", fence, sender, h.name)
				}
				senders[fence] = h.name
				m.sender, m.fence = h.name, fence
			}
		}
	})
}

// completeWrite commits the transaction in flight, if any, and reports its
// result to the host. If answered is false, the host learns only that the
// outcome is unknown.
func (m *leaseModel) completeWrite(h *leaseHost, answered bool) {
	if h.write == nil {
		return
	}
	txn := *h.write
	h.write = nil
	var err error = amrplatform.Conflict.New("another version")
	if txn.Checks[0].Version == m.item.Version {
		m.item = amrplatform.Item{Key: followedKey, Value: txn.Puts[0].Value, Version: m.item.Version + 1}
		err = nil
	}
	if !answered {
		err = amrplatform.OutcomeUnknown.New("no answer")
	}
	h.lease.TxnDone(m.now, m.item.Version, err)
}

// TestFollowedLeaseTimes checks when a lease may be acquired and how long it is
// valid.
func TestFollowedLeaseTimes(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a := amrorder.NewFollowedLease(start, followedKey, "a", "a1", followedTTL)
	b := amrorder.NewFollowedLease(start, followedKey, "b", "b1", followedTTL)

	txn, ok := a.AcquireTxn(at(0), json.RawMessage(`{"x":1}`))
	is.True(ok) // The lease has never been held.
	_, ok = a.AcquireTxn(at(1), nil)
	is.True(!ok) // A write is in flight.
	a.TxnDone(at(10), 1, nil)
	fence, ok := a.Held(at(1200))
	is.True(ok)
	is.Equal(fence, uint64(1))
	_, ok = a.Held(at(1300))
	is.True(!ok) // The TTL starts before the write, and an order takes time to arrive.

	b.Observe(at(20), amrplatform.Item{Key: followedKey, Value: txn.Puts[0].Value, Version: 1})
	is.Equal(string(b.Note()), `{"x":1}`)
	_, ok = b.AcquireTxn(at(1500), nil)
	is.True(!ok) // b measures the TTL from the time at which it saw the item.
	txn, ok = b.AcquireTxn(at(1520), nil)
	is.True(ok)
	b.TxnDone(at(1530), 2, nil)
	fence, _ = b.Held(at(1530))
	is.Equal(fence, uint64(2))

	a.Observe(at(1540), amrplatform.Item{Key: followedKey, Value: txn.Puts[0].Value, Version: 2})
	_, ok = a.Held(at(1540))
	is.True(!ok)

	txn, ok = b.ResignTxn(at(1600), nil)
	is.True(ok)
	_, ok = b.Held(at(1600))
	is.True(!ok) // The lease is lost on resigning, even if the write fails.
	a.Observe(at(1610), amrplatform.Item{Key: followedKey, Value: txn.Puts[0].Value, Version: 3})
	_, ok = a.AcquireTxn(at(1610), nil)
	is.True(ok)
}
