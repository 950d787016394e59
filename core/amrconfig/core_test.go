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

// TestCoreInterleavings plays answers that come late, crossed, failed and with
// old records to a core, over many seeds. The revision never falls, and no
// more than one read and one pull are in flight.
func TestCoreInterleavings(t *testing.T) {
	const (
		seeds  = 300
		events = 400
	)
	is := is.New(t)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		core := amrconfig.NewCore("router-1", "a", rand.New(rand.NewPCG(seed, 2)))
		at := time.Unix(1e9, 0)
		newest, last := uint64(0), uint64(0)
		var flight []amrconfig.Action
		for range events {
			at = at.Add(time.Duration(random.Int64N(int64(3 * time.Second))))
			newest += uint64(random.IntN(2))
			event := randomEvent(random, at, &flight, newest)
			flight = append(flight, core.Handle(at, event)...)
			is.True(core.Set().Revision() >= last)
			last = core.Set().Revision()
			is.True(inFlight(flight))
			next := core.Next(at)
			is.True(next.After(at) && next.Sub(at) <= time.Second)
		}
		is.True(last > 0)
	}
}

// randomEvent answers one of the actions in flight or makes another event.
func randomEvent(random *rand.Rand, at time.Time, flight *[]amrconfig.Action, newest uint64) amrconfig.Event {
	if random.IntN(4) == 0 {
		return randomNews(random, newest)
	}
	if len(*flight) == 0 {
		return amrconfig.Tick{}
	}
	i := random.IntN(len(*flight))
	action := (*flight)[i]
	*flight = append((*flight)[:i], (*flight)[i+1:]...)
	set := amrrecord.Set{}.WithRevision(random.Uint64N(newest + 1))
	var err error
	if random.IntN(3) == 0 {
		err = errors.New("failed")
	}
	switch a := action.(type) {
	case amrconfig.Pull:
		age := time.Duration(random.Int64N(int64(20 * time.Second)))
		return amrconfig.Pulled{From: a.From, Set: set, Age: age, Err: err}
	case amrconfig.TakeSnapshot:
		return amrconfig.SnapshotTaken{From: a.From, Set: set, Err: err}
	default:
		return amrconfig.StoreRead{Began: at.Add(-time.Second), Set: set, Err: err}
	}
}

func randomNews(random *rand.Rand, newest uint64) amrconfig.Event {
	if random.IntN(2) == 0 {
		return amrconfig.Heard{Revision: random.Uint64N(newest + 1)}
	}
	var peers []amrconfig.Peer
	for i := range random.IntN(8) {
		peers = append(peers, amrconfig.Peer{
			Name:             fmt.Sprintf("router-%d", i),
			AvailabilityZone: string(rune('a' + i%3)),
			Sidecar:          i > 5,
		})
	}
	return amrconfig.Members{Peers: peers}
}

func inFlight(actions []amrconfig.Action) bool {
	reads, pulls := 0, 0
	for _, action := range actions {
		switch action.(type) {
		case amrconfig.ReadStore:
			reads++
		case amrconfig.Pull:
			pulls++
		case amrconfig.TakeSnapshot:
		}
	}
	return reads <= 1 && pulls <= 1
}

func TestCoreReady(t *testing.T) {
	is := is.New(t)
	core := amrconfig.NewCore("router-1", "a", rand.New(rand.NewPCG(1, 1)))
	at := time.Unix(1e9, 0)
	is.True(!core.Ready(at))
	core.Handle(at, amrconfig.StoreRead{Began: at, Set: amrrecord.Set{}.WithRevision(5)})
	is.True(core.Ready(at))
	core.Handle(at, amrconfig.Heard{Revision: 6})
	is.True(core.Ready(at.Add(amrconfig.InForceBound)))
	core.Handle(at.Add(time.Second), amrconfig.Heard{Revision: 8})
	is.True(!core.Ready(at.Add(amrconfig.InForceBound + time.Second)))
	core.Handle(at.Add(time.Minute), amrconfig.StoreRead{Began: at, Set: amrrecord.Set{}.WithRevision(8)})
	is.True(core.Ready(at.Add(time.Minute)))
}
