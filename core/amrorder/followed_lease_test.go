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

// leaseHost is a host with its candidacy and what it has not sent yet.
type leaseHost struct {
	name     string
	lease    *amrorder.FollowedLease
	pausedTo time.Time
	write    *amrplatform.Txn // On its way to the table.
	starts   int
}

// leaseWorld is a table, hosts that follow it late, and the orders given.
type leaseWorld struct {
	now    time.Time
	item   amrplatform.Item
	hosts  []*leaseHost
	owner  string // Host that gave the last order, with its fence.
	fence  uint64
	orders int
}

func (w *leaseWorld) start(h *leaseHost) {
	h.starts++
	h.write = nil
	h.lease = amrorder.NewFollowedLease(w.now, followedKey, h.name, fmt.Sprint(h.name, h.starts), followedTTL)
}

// TestFollowedLease has hosts take, renew, lose and resign a lease while their
// views are late, their writes are lost or take effect without an answer, and
// they are paused or restarted. Orders must come with fences that never go
// back, and one fence must belong to one host. The time between the orders of
// two hosts is kept by what they order, see the handover of amrdirect.
func TestFollowedLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &leaseWorld{now: time.Unix(1000, 0)}
		for i := range rapid.IntRange(2, 3).Draw(t, "hosts") {
			h := &leaseHost{name: fmt.Sprintf("h%d", i)}
			w.hosts = append(w.hosts, h)
			w.start(h)
		}
		owners := make(map[uint64]string)
		for range 250 {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom(w.hosts).Draw(t, "host")
			if w.now.Before(h.pausedTo) {
				continue
			}
			switch rapid.SampledFrom([]string{"follow", "take", "take", "write", "arrive", "lose", "answer-lost", "order", "order", "order", "pause", "restart", "resign"}).Draw(t, "step") {
			case "follow":
				h.lease.Saw(w.now, w.item)
			case "write":
				if h.write == nil {
					if txn, ok := h.lease.Write(w.now, json.RawMessage(`{}`)); ok {
						h.write = &txn
					}
				}
			case "take": // What it saw, decided and wrote without delay.
				h.lease.Saw(w.now, w.item)
				if txn, ok := h.lease.Write(w.now, nil); ok && h.write == nil {
					h.write = &txn
					w.arrive(h, true)
				}
			case "resign":
				if h.write == nil {
					if txn, ok := h.lease.Resign(w.now, nil); ok {
						h.write = &txn
					}
				}
			case "arrive":
				w.arrive(h, true)
			case "answer-lost":
				w.arrive(h, false)
			case "lose":
				if h.write != nil {
					h.write = nil
					h.lease.Written(w.now, 0, amrplatform.Unavailable.New("down"))
				}
			case "pause":
				h.pausedTo = w.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "pause")) * time.Millisecond)
			case "restart":
				w.start(h)
			case "order":
				fence, ok := h.lease.Held(w.now)
				if !ok {
					continue
				}
				w.orders++
				if fence < w.fence {
					t.Fatalf("%s orders with fence %d after %d of %s", h.name, fence, w.fence, w.owner)
				}
				if owner := owners[fence]; owner != "" && owner != h.name {
					t.Fatalf("fence %d of %s is used by %s", fence, owner, h.name)
				}
				owners[fence] = h.name
				w.owner, w.fence = h.name, fence
			}
		}
	})
}

// arrive has the write on its way take effect.
func (w *leaseWorld) arrive(h *leaseHost, answered bool) {
	if h.write == nil {
		return
	}
	txn := *h.write
	h.write = nil
	var err error = amrplatform.Conflict.New("another version")
	if txn.Checks[0].Version == w.item.Version {
		w.item = amrplatform.Item{Key: followedKey, Value: txn.Puts[0].Value, Version: w.item.Version + 1}
		err = nil
	}
	if !answered {
		err = amrplatform.OutcomeUnknown.New("no answer")
	}
	h.lease.Written(w.now, w.item.Version, err)
}

// TestFollowedLeaseTimes checks when a lease may be taken and how long it holds.
func TestFollowedLeaseTimes(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a := amrorder.NewFollowedLease(start, followedKey, "a", "a1", followedTTL)
	b := amrorder.NewFollowedLease(start, followedKey, "b", "b1", followedTTL)

	txn, ok := a.Write(at(0), json.RawMessage(`{"x":1}`))
	is.True(ok) // Nobody has ever held it.
	_, ok = a.Write(at(1), nil)
	is.True(!ok) // A write is on its way.
	a.Written(at(10), 1, nil)
	fence, ok := a.Held(at(1200))
	is.True(ok)
	is.Equal(fence, uint64(1))
	_, ok = a.Held(at(1300))
	is.True(!ok) // It counts from before the write, and an order takes time to arrive.

	b.Saw(at(20), amrplatform.Item{Key: followedKey, Value: txn.Puts[0].Value, Version: 1})
	is.Equal(string(b.Note()), `{"x":1}`)
	_, ok = b.Write(at(1500), nil)
	is.True(!ok) // b counts from when it saw the item.
	txn, ok = b.Write(at(1520), nil)
	is.True(ok)
	b.Written(at(1530), 2, nil)
	fence, _ = b.Held(at(1530))
	is.Equal(fence, uint64(2))

	a.Saw(at(1540), amrplatform.Item{Key: followedKey, Value: txn.Puts[0].Value, Version: 2})
	_, ok = a.Held(at(1540))
	is.True(!ok)

	txn, ok = b.Resign(at(1600), nil)
	is.True(ok)
	_, ok = b.Held(at(1600))
	is.True(!ok) // From the moment of resigning, whatever becomes of the write.
	a.Saw(at(1610), amrplatform.Item{Key: followedKey, Value: txn.Puts[0].Value, Version: 3})
	_, ok = a.Write(at(1610), nil)
	is.True(ok)
}
