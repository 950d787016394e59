package amrslopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrexplain"
	"amaranthreach.example/core/amrmember"
	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplace"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrrecord"
)

const (
	deployment    = "m1"
	promptBlocks  = 9    // This is the length of each placed prompt.
	iterations    = 2000 // The times of a reply and of a placement are means over this many operations.
	recordChanges = 50   // The time of a record change is the mean of this many changes.
	seed          = 1
)

func routerMeasurements() []measurement {
	return []measurement{
		{"records-memory", "router", "bytes", "record", []int{3750, 7500, 15000}, recordsMemory},
		{"record-change-time", "router", "ns", "record", []int{3750, 7500, 15000}, recordChangeTime},
		{"members-memory", "router", "bytes", "backend server", []int{3000, 6000, 12000}, membersMemory},
		{"member-reply-time", "router", "ns", "backend server", []int{3000, 6000, 12000}, memberReplyTime},
		{"place-time", "router", "ns", "backend server", []int{12, 600, 1200, 2400}, placeTime},
		{"placer-memory", "router", "bytes", "learned key", []int{16384, 32768, 65536}, placerMemory},
		{"decisions-memory", "router", "bytes", "decision", []int{1000, 2000, 4000}, decisionsMemory},
		{"decisions-object", "object store", "bytes", "decision", []int{100, 300, 900}, decisionsObject},
		{"prompt-keys-time", "router", "ns", "block", []int{2, 8, 32}, promptKeysTime},
	}
}

// backendServer returns the record of the backend server with the number i.
func backendServer(i int) amrrecord.BackendServer {
	return amrrecord.BackendServer{
		Deployment:       deployment,
		Address:          fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%11+1),
	}
}

func serverName(i int) string {
	return fmt.Sprintf("server-%05d", i)
}

// newRecordSet returns a set of n records with four backend servers to each
// team, close to the proportion of 12,000 backend servers to 2,800 teams.
func newRecordSet(n int) amrrecord.Set {
	all := make([]amrrecord.Record, 0, n)
	for i := range n {
		if i%15 < 12 {
			all = append(all, amrrecord.Record{Name: serverName(i), Spec: backendServer(i)})
			continue
		}
		all = append(all, amrrecord.Record{Name: fmt.Sprintf("team-%05d", i), Spec: amrrecord.Team{
			KeySHA256:         []string{fmt.Sprintf("%064x", i)},
			Weight:            1,
			RequestsPerSecond: 4,
			Concurrency:       100,
		}})
	}
	return amrrecord.Set{}.With(all...)
}

// recordsMemory measures the heap that a set of size records takes.
func recordsMemory(m *meter, size int) (float64, error) {
	return m.retainedHeap(func() any { return newRecordSet(size) }), nil
}

// recordChangeTime measures the time of changing one record in a set of size
// records.
func recordChangeTime(m *meter, size int) (float64, error) {
	set := newRecordSet(size)
	took := m.shortestRun(func() {
		for i := range recordChanges {
			// In newRecordSet, every record whose index is a multiple of 15
			// is a backend server.
			set = set.With(amrrecord.Record{Name: serverName(i * 15), Spec: backendServer(i + 1)})
		}
	})
	return float64(took.Nanoseconds()) / recordChanges, nil
}

// newMembers returns a membership of size backend servers, all of which have
// replied once.
func newMembers(size int) *amrmember.Members {
	all := amrmember.New(amrmember.WithRand(rand.New(rand.NewPCG(seed, seed))))
	start := time.Unix(0, 0)
	for i := range size {
		all.Apply(start, amrmember.RecordPut{Name: serverName(i), Spec: backendServer(i)})
		all.Apply(start, newReply(i))
	}
	return all
}

// newReply returns the reply of the backend server with the number i.
func newReply(i int) amrmember.SidecarReplied {
	return amrmember.SidecarReplied{
		Name:               serverName(i),
		SidecarIncarnation: "6f1f8ad2-66b2-4c0c-9f9a-0d5c8f8b0001",
		EngineIncarnation:  "ff4ae39f6bb44fb8",
		WeightsVersion:     "w1",
		Ready:              true,
	}
}

// membersMemory measures the heap that a membership of size backend servers
// takes.
func membersMemory(m *meter, size int) (float64, error) {
	return m.retainedHeap(func() any { return newMembers(size) }), nil
}

// memberReplyTime measures the time in which a membership of size backend
// servers applies one reply.
func memberReplyTime(m *meter, size int) (float64, error) {
	all := newMembers(size)
	now := time.Unix(1, 0)
	took := m.shortestRun(func() {
		for i := range iterations {
			all.Apply(now, newReply(i))
		}
	})
	return float64(took.Nanoseconds()) / iterations, nil
}

// newPlacer returns a placer with size backend servers.
func newPlacer(size int, options ...amrplace.Option) *amrplace.Placer {
	view := make([]amrplace.Member, size)
	for i := range view {
		view[i] = amrplace.Member{
			Name:              serverName(i),
			AvailabilityZone:  fmt.Sprintf("zone-%d", i%11+1),
			EngineIncarnation: "ff4ae39f6bb44fb8",
		}
	}
	p := amrplace.New(append(options, amrplace.WithSeed(seed))...)
	p.SetView(amrplace.NewView(view))
	return p
}

// blockKeys returns n random block keys.
func blockKeys(random *rand.Rand, n int) []amrprompt.Key {
	keys := make([]amrprompt.Key, n)
	for i := range keys {
		for j := range keys[i] {
			keys[i][j] = byte(random.Uint32())
		}
	}
	return keys
}

// placeTime measures the time of placing one request on one of size backend
// servers.
func placeTime(m *meter, size int) (float64, error) {
	p := newPlacer(size)
	random := rand.New(rand.NewPCG(seed, seed))
	requests := make([]amrplace.Request, iterations)
	for i := range requests {
		requests[i] = amrplace.Request{
			Keys:         blockKeys(random, promptBlocks),
			PromptTokens: promptBlocks * amrprompt.TokensPerBlock,
			Policy:       amrrecord.RoutingPolicy{Policy: amrrecord.PolicyCacheAware, RecomputeWeight: 1, WaitWeight: 1},
		}
	}
	now := time.Unix(1, 0)
	took := m.shortestRun(func() {
		for _, r := range requests {
			p.Place(now, r)
		}
	})
	return float64(took.Nanoseconds()) / iterations, nil
}

// placerMemory measures the heap that a placer takes after it has learned which
// backend servers hold size block keys. The placer has 1,714 backend servers, a
// seventh of 12,000.
func placerMemory(m *meter, size int) (float64, error) {
	const servers = 1714
	return m.retainedHeap(func() any {
		p := newPlacer(servers, amrplace.WithMaxKeys(size))
		random := rand.New(rand.NewPCG(seed, seed))
		policy := amrrecord.RoutingPolicy{Policy: amrrecord.PolicyCacheAware, RecomputeWeight: 1, WaitWeight: 1}
		now := time.Unix(1, 0)
		for range size / 8 {
			keys := blockKeys(random, 8)
			d := p.Place(now, amrplace.Request{Keys: keys, PromptTokens: 8 * amrprompt.TokensPerBlock, Policy: policy})
			p.RecordDispatched(d.Candidates[0])
			p.RecordAccepted(now, d.Candidates[0], keys, 0, amrplace.Load{EngineIncarnation: "ff4ae39f6bb44fb8", PrefillRate: 20000, BatchLimit: 32})
		}
		return p
	}), nil
}

// newDecision returns a typical routing decision with four candidates and one
// attempt.
func newDecision(i int) amrexplain.Decision {
	d := amrexplain.Decision{
		RequestID:        fmt.Sprintf("router-007.5f3a9c21.29660000.%d", i),
		Team:             fmt.Sprintf("team-%05d", i%2800),
		Deployment:       deployment,
		Revision:         123456,
		Policy:           string(amrrecord.PolicyCacheAware),
		At:               time.Unix(1, 0),
		Elapsed:          14 * time.Second,
		Outcome:          amrexplain.Answered,
		Ran:              amrreason.DidRun,
		PromptTokens:     9500,
		CachedTokens:     8192,
		CompletionTokens: 482,
	}
	for c := range 4 {
		d.Candidates = append(d.Candidates, amrexplain.Candidate{
			BackendServer: serverName(i*7%12000 + c),
			Cost:          time.Duration(i) * time.Microsecond,
			Wait:          time.Duration(i) * time.Microsecond,
			CachedTokens:  8192,
		})
	}
	d.Attempts = []amrexplain.Attempt{{BackendServer: d.Candidates[0].BackendServer, After: time.Millisecond, Result: amrexplain.AttemptFinished}}
	return d
}

// newRecorder returns a recorder that holds size decisions and writes to
// objects.
func newRecorder(size int, objects *amrmemory.Platform) *amrexplain.Recorder {
	r := amrexplain.NewRecorder("router-007", "5f3a9c21", objects, clockwork.NewRealClock())
	for i := range size {
		r.Add(newDecision(i))
	}
	return r
}

// decisionsMemory measures the heap that a recorder of size decisions takes.
func decisionsMemory(m *meter, size int) (float64, error) {
	platform := amrmemory.New()
	return m.retainedHeap(func() any { return newRecorder(size, platform) }), nil
}

// decisionsObject measures the bytes that a recorder writes to the object store
// for size decisions.
func decisionsObject(_ *meter, size int) (float64, error) {
	platform := amrmemory.New()
	ctx := context.Background()
	if err := newRecorder(size, platform).Flush(ctx); err != nil {
		return 0, err
	}
	keys, err := platform.ListObjects(ctx, "", "", 1000)
	if err != nil {
		return 0, err
	}
	var bytes int
	for _, key := range keys {
		data, err := platform.GetObject(ctx, key)
		if err != nil {
			return 0, err
		}
		bytes += len(data)
	}
	return float64(bytes), nil
}

// promptKeysTime measures the time of computing the keys of a prompt of size
// blocks.
func promptKeysTime(m *meter, size int) (float64, error) {
	text := make([]byte, size*amrprompt.BytesPerBlock)
	scope := amrprompt.Scope{Team: "recife", Deployment: deployment, WeightsVersion: "w1"}
	took := m.shortestRun(func() {
		for range 100 {
			amrprompt.Keys(scope, string(text))
		}
	})
	return float64(took.Nanoseconds()) / 100, nil
}
