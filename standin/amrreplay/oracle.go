package amrreplay

import (
	"strings"
	"sync/atomic"
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrfleet"
)

// unavailableWait is the wait that State returns for an engine that does not
// accept requests.
const unavailableWait = time.Hour

// oracle implements amrplace.Oracle for PolicyOmniscient. It reads the current
// state of the engines and of the queues in the sidecars, where routers know
// only reports of it.
type oracle struct {
	servers atomic.Pointer[map[string]*amrfleet.Server]
}

// setFleet sets the fleet whose backend servers the oracle reads. Before the
// first call, State reports every backend server as unavailable.
func (o *oracle) setFleet(f *amrfleet.Fleet) {
	servers := make(map[string]*amrfleet.Server)
	for _, s := range f.Servers {
		servers[s.Name] = s
	}
	o.servers.Store(&servers)
}

// State returns how long a request with the keys would wait for its prefill at
// the named backend server, and how many of its leading blocks will be cached
// by then.
func (o *oracle) State(name string, keys []amrprompt.Key) (wait time.Duration, blocks int) {
	servers := o.servers.Load()
	if servers == nil || (*servers)[name] == nil {
		return unavailableWait, 0
	}
	server := (*servers)[name]
	var pending []amrengine.PendingRequest
	for _, r := range server.CurrentSidecar().PendingPrefills() {
		id, _, _ := strings.Cut(r.ID, "/") // The number of the attempt follows the slash.
		pending = append(pending, amrengine.PendingRequest{RequestID: id, Keys: r.Keys, PromptTokens: r.PromptTokens})
	}
	wait, blocks, available := server.Engine.Forecast(pending, keys)
	if !available {
		return unavailableWait, 0
	}
	return wait, blocks
}
