package amrsidecar

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

const (
	admissionLimit = 512  // Requests in progress.
	indexBlocks    = 4096 // Blocks remembered.
	prefillRate    = 20000
)

// admission accepts dispatches and estimates their wait.
type admission struct {
	mu      sync.Mutex
	running int
	waiting int // Uncached tokens accepted and not yet computed.
	blocks  *lru.Cache[amrprompt.Key, struct{}]
}

// ticket is an accepted dispatch.
type ticket struct {
	keys         []amrprompt.Key
	wait         time.Duration
	cachedTokens int
	uncached     int
	computed     bool
}

func newAdmission() *admission {
	blocks, err := lru.New[amrprompt.Key, struct{}](indexBlocks)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return &admission{blocks: blocks}
}

func (a *admission) enter(request *amrgate.DispatchRequest) (*ticket, amrreason.Code) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &ticket{keys: amrprompt.Unpack(request.GetBlockKeys())}
	t.cachedTokens = a.depth(t.keys) * amrprompt.TokensPerBlock
	t.uncached = max(int(request.GetPromptTokens())-t.cachedTokens, 0)
	t.wait = time.Duration(a.waiting+t.uncached) * time.Second / prefillRate
	if a.running >= admissionLimit {
		return t, amrreason.Overloaded
	}
	a.running++
	a.waiting += t.uncached
	return t, ""
}

// wait blocks until the ticket may run.
func (a *admission) wait(ctx context.Context, _ *ticket) error {
	return ctx.Err()
}

// progressed notes a piece of the answer: the prompt is computed.
func (a *admission) progressed(t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.compute(t)
}

func (a *admission) finished(t *ticket, _ result) {
	a.progressed(t)
}

func (a *admission) leave(t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if !t.computed {
		a.waiting -= t.uncached
	}
}

func (a *admission) load() *amrgate.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := time.Duration(a.waiting) * time.Second / prefillRate
	return &amrgate.Load{Running: uint32(a.running), WaitingTokens: uint64(a.waiting), WaitMs: wait.Milliseconds()}
}

func (a *admission) cachedBlocks(keys []amrprompt.Key) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.depth(keys)
}

func (a *admission) compute(t *ticket) {
	if t.computed {
		return
	}
	t.computed = true
	a.waiting -= t.uncached
	for _, key := range t.keys {
		a.blocks.Add(key, struct{}{})
	}
}

func (a *admission) depth(keys []amrprompt.Key) int {
	for i, key := range keys {
		if _, ok := a.blocks.Get(key); !ok {
			return i
		}
	}
	return len(keys)
}
