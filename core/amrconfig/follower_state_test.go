package amrconfig_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrrecord"
)

// TestFollowerStateInterleavings passes results to a FollowerState in random
// order, late, failed or with old records, for many seeds. It checks that the
// revision never decreases and that at most one read and one pull are in
// flight.
func TestFollowerStateInterleavings(t *testing.T) {
	const (
		seeds  = 300
		events = 400
	)
	is := is.New(t)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		state := amrconfig.NewFollowerState("router-1", "a", rand.New(rand.NewPCG(seed, 2)))
		at := time.Unix(1e9, 0)
		newest, last := uint64(0), uint64(0)
		var pending []amrconfig.Action
		for range events {
			at = at.Add(time.Duration(random.Int64N(int64(3 * time.Second))))
			newest += uint64(random.IntN(2))
			event := randomEvent(random, at, &pending, newest)
			pending = append(pending, state.Handle(at, event)...)
			is.True(state.Current().Revision() >= last)
			last = state.Current().Revision()
			is.True(atMostOneInFlight(pending))
			next := state.NextTick(at)
			is.True(next.After(at) && next.Sub(at) <= time.Second)
		}
		is.True(last > 0)
	}
}

// randomEvent returns the result of one of the pending actions, which it
// removes, or an unrelated event.
func randomEvent(random *rand.Rand, at time.Time, pending *[]amrconfig.Action, newest uint64) amrconfig.Event {
	if random.IntN(4) == 0 {
		return randomNotification(random, newest)
	}
	if len(*pending) == 0 {
		return amrconfig.Tick{}
	}
	i := random.IntN(len(*pending))
	action := (*pending)[i]
	*pending = append((*pending)[:i], (*pending)[i+1:]...)
	set := amrrecord.Set{}.WithRevision(random.Uint64N(newest + 1))
	var err error
	if random.IntN(3) == 0 {
		err = errors.New("failed")
	}
	switch a := action.(type) {
	case amrconfig.Pull:
		age := time.Duration(random.Int64N(int64(20 * time.Second)))
		return amrconfig.Pulled{From: a.From, Set: set, Age: age, Err: err}
	case amrconfig.FetchSnapshot:
		return amrconfig.SnapshotFetched{From: a.From, Set: set, Err: err}
	default:
		return amrconfig.StoreRead{StartedAt: at.Add(-time.Second), Set: set, Err: err}
	}
}

// randomNotification returns an event that is not the result of an action.
func randomNotification(random *rand.Rand, newest uint64) amrconfig.Event {
	if random.IntN(2) == 0 {
		return amrconfig.RevisionObserved{Revision: random.Uint64N(newest + 1)}
	}
	var peers []amrconfig.Peer
	for i := range random.IntN(8) {
		peers = append(peers, amrconfig.Peer{
			Name:             fmt.Sprintf("router-%d", i),
			AvailabilityZone: string(rune('a' + i%3)),
			Sidecar:          i > 5,
		})
	}
	return amrconfig.PeersUpdated{Peers: peers}
}

// atMostOneInFlight reports whether the actions contain at most one read of
// the store and at most one pull.
func atMostOneInFlight(actions []amrconfig.Action) bool {
	reads, pulls := 0, 0
	for _, action := range actions {
		switch action.(type) {
		case amrconfig.ReadStore:
			reads++
		case amrconfig.Pull:
			pulls++
		case amrconfig.FetchSnapshot:
		}
	}
	return reads <= 1 && pulls <= 1
}

// TestFollowerStateReady checks that a process is ready once it has records,
// and that it stops being ready after it has been behind for
// MaxPropagationDelay, counted from the first higher revision that it observed.
func TestFollowerStateReady(t *testing.T) {
	is := is.New(t)
	state := amrconfig.NewFollowerState("router-1", "a", rand.New(rand.NewPCG(1, 1)))
	at := time.Unix(1e9, 0)
	is.True(!state.Ready(at))
	state.Handle(at, amrconfig.StoreRead{StartedAt: at, Set: amrrecord.Set{}.WithRevision(5)})
	is.True(state.Ready(at))
	state.Handle(at, amrconfig.RevisionObserved{Revision: 6})
	is.True(state.Ready(at.Add(amrconfig.MaxPropagationDelay)))
	state.Handle(at.Add(time.Second), amrconfig.RevisionObserved{Revision: 8})
	is.True(!state.Ready(at.Add(amrconfig.MaxPropagationDelay + time.Second)))
	state.Handle(at.Add(time.Minute), amrconfig.StoreRead{StartedAt: at, Set: amrrecord.Set{}.WithRevision(8)})
	is.True(state.Ready(at.Add(time.Minute)))
}
