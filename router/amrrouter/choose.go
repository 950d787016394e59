package amrrouter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrrecord"
)

// candidate is a backend server that may take a request.
type candidate struct {
	name    string
	address string
	cost    time.Duration
}

// chooser ranks the backend servers of a deployment for a request.
type chooser struct {
	mu    sync.Mutex
	loads map[string]time.Duration // Wait by backend server, as last reported.
}

func newChooser() *chooser {
	return &chooser{loads: make(map[string]time.Duration)}
}

// rank returns the backend servers of the deployment, the best first.
func (c *chooser) rank(set amrrecord.Set, deployment string, keys []amrprompt.Key) []candidate {
	var seed uint64
	if len(keys) > 0 {
		seed = xxh3.Hash(keys[0][:])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []candidate
	for _, record := range set.BackendServers(deployment) {
		server, ok := record.Spec.(amrrecord.BackendServer)
		if !ok || server.Drain {
			continue
		}
		all = append(all, candidate{name: record.Name, address: server.Address, cost: c.loads[record.Name]})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Compare(xxh3.HashStringSeed(b.name, seed), xxh3.HashStringSeed(a.name, seed))
	})
	return all
}

// observe notes the load that a sidecar reported.
func (c *chooser) observe(name string, load *amrgate.Load) {
	if load == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[name] = time.Duration(load.GetWaitMs()) * time.Millisecond
}
