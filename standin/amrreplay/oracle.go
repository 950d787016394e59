package amrreplay

import (
	"strings"
	"sync/atomic"
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrfleet"
)

// downWait is the wait at an engine that takes no requests.
const downWait = time.Hour

// oracle tells the true state of every engine and of the queue before it.
type oracle struct {
	servers atomic.Pointer[map[string]*amrfleet.Server]
}

// watch makes the oracle tell of the servers of the fleet.
func (o *oracle) watch(f *amrfleet.Fleet) {
	servers := make(map[string]*amrfleet.Server)
	for _, s := range f.Servers {
		servers[s.Name] = s
	}
	o.servers.Store(&servers)
}

// State returns how long a request would wait for its prefill at the backend
// server, and how many of its blocks, from the first on, will be cached then.
func (o *oracle) State(name string, keys []amrprompt.Key) (wait time.Duration, blocks int) {
	servers := o.servers.Load()
	if servers == nil || (*servers)[name] == nil {
		return downWait, 0
	}
	server := (*servers)[name]
	var pending []amrengine.PendingRequest
	for _, r := range server.Gate().Uncomputed() {
		id, _, _ := strings.Cut(r.ID, "/") // Behind it stands the attempt.
		pending = append(pending, amrengine.PendingRequest{RequestID: id, Keys: r.Keys, PromptTokens: r.PromptTokens})
	}
	wait, blocks, up := server.Engine.Forecast(pending, keys)
	if !up {
		return downWait, 0
	}
	return wait, blocks
}
