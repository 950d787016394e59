package amrslopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"amaranthreach.example/core/amrcache"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrledger"
	"amaranthreach.example/core/amrmemory"
)

// tableLatency is the latency of each call to the simulated table service.
const tableLatency = 5 * time.Millisecond

// measurements returns all measurements.
func measurements() []measurement {
	return append(routerMeasurements(), sidecarMeasurements()...)
}

func sidecarMeasurements() []measurement {
	return []measurement{
		{"index-memory", "sidecar", "bytes", "block", []int{23000, 46000, 92000}, indexMemory},
		{"index-event-time", "sidecar", "ns", "event", []int{20000, 40000, 80000}, indexEventTime},
		{"load-bytes", "router", "bytes", "load report", []int{100, 200, 400}, loadBytes},
		{"claims-memory", "sidecar", "bytes", "claim", []int{1000, 2000, 4000}, claimsMemory},
		{"claim-writes", "table service", "writes", "concurrent non-idempotent request", []int{1, 16, 64, 256}, claimWrites},
	}
}

// newEvents returns n events that store distinct blocks.
func newEvents(n int) []amrcache.Event {
	random := rand.New(rand.NewPCG(seed, seed))
	all := make([]amrcache.Event, n)
	for i, key := range blockKeys(random, n) {
		all[i] = amrcache.Event{Seq: uint64(i) + 1, Kind: amrcache.Stored, Key: key}
	}
	return all
}

// indexMemory measures the heap that a cache index of size blocks takes.
func indexMemory(m *meter, size int) (float64, error) {
	all := newEvents(size)
	return m.retainedHeap(func() any {
		index := amrcache.New()
		index.Apply("a", all)
		return index
	}), nil
}

// indexEventTime measures the time in which an empty cache index applies size
// events.
func indexEventTime(m *meter, size int) (float64, error) {
	all := newEvents(size)
	took := m.shortestRun(func() { amrcache.New().Apply("a", all) })
	return float64(took.Nanoseconds()), nil
}

// loadBytes measures the encoded size of the load reports that sidecars attach
// to their replies.
func loadBytes(_ *meter, size int) (float64, error) {
	load := &amrgate.Load{
		SidecarIncarnation:     "b0vK0mayTAyf",
		EngineIncarnation:      "ff4ae39f6bb44fb8",
		Running:                24,
		Queued:                 3,
		WaitingTokens:          12000,
		WaitMs:                 600,
		Revision:               123456,
		BatchLimit:             32,
		PrefillTokensPerSecond: 20000,
		Ready:                  true,
		WeightsVersion:         "w1",
	}
	return float64(size * proto.Size(load)), nil
}

// claimWrites measures the number of writes to the table that one router makes
// for size concurrent non-idempotent requests.
func claimWrites(_ *meter, size int) (float64, error) {
	platform := amrmemory.New()
	platform.SetFaults(amrmemory.Faults{Latency: tableLatency})
	ledger := amrledger.New(platform, platform)
	before := platform.Counters()
	var group errgroup.Group
	for i := range size {
		group.Go(func() error {
			call := amrledger.Call{
				Team:      "recife",
				Key:       fmt.Sprintf("order-%d", i),
				RequestID: fmt.Sprintf("router-007.5f3a9c21.29660000.%d", i),
				Digest:    amrledger.Digest("order"),
				Deadline:  time.Unix(1<<33, 0),
			}
			action := ledger.Run(context.Background(), call, immediateBackend{})
			if _, ok := action.(amrledger.Answered); !ok {
				return fmt.Errorf("request %d ended with the action %T, want amrledger.Answered", i, action)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	return float64(platform.Counters().Writes - before.Writes), nil
}

// immediateBackend is a ledger backend that answers every claim immediately.
type immediateBackend struct{}

// Place places every claim on the same backend server.
func (immediateBackend) Place(context.Context) amrledger.Event {
	return amrledger.Placed{Placement: amrledger.Placement{Server: "service-1", Incarnation: "a", WindowEnd: time.Minute}}
}

// Dispatch returns a completed answer.
func (immediateBackend) Dispatch(context.Context, amrledger.Row) amrledger.Event {
	return amrledger.Completed{Answer: &amrledger.Answer{Status: 200, Body: []byte("confirmed")}}
}

// Seal is never called, since every dispatch returns an answer.
func (immediateBackend) Seal(context.Context, amrledger.Row) amrledger.Event {
	return amrledger.SealUnanswered{}
}

// claimsMemory measures the heap that size finished claims take.
func claimsMemory(m *meter, size int) (float64, error) {
	return m.retainedHeap(func() any {
		claims := amrledger.NewClaims("a", amrledger.WithMaxClaims(size))
		for i := range size {
			token := fmt.Sprintf("token-%026d", i)
			claims.Start(0, amrledger.Claim{Token: token, Fence: 1, Incarnation: "a", WindowEnd: time.Minute})
			claims.Finish(token, &amrledger.Answer{Status: 200, Body: []byte("confirmed")})
		}
		return claims
	}), nil
}
