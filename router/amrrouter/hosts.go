package amrrouter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrplatform"
)

const (
	// Calls in a row that fail before a router counts as dead.
	peerFailures = 2

	// Time for which a router counts as dead after its calls failed.
	peerDeadTime = 30 * time.Second
)

// hosts is the platform's host list. It notes the routers and sidecars that
// live whenever the list is read.
type hosts struct {
	list  amrplatform.HostList
	clock clockwork.Clock
	self  amrconfig.Peer

	mu    sync.Mutex
	known []amrconfig.Peer // This router among them.
	calls map[string]peerCalls
}

// peerCalls is how the last calls of a router went.
type peerCalls struct {
	failures int
	last     time.Time // Of the failures.
}

func newHosts(list amrplatform.HostList, clock clockwork.Clock, self amrconfig.Peer) *hosts {
	return &hosts{list: list, clock: clock, self: self, known: []amrconfig.Peer{self}, calls: map[string]peerCalls{}}
}

// Hosts implements amrplatform.HostList.
func (h *hosts) Hosts(ctx context.Context) ([]amrplatform.Host, error) {
	list, err := h.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	known := []amrconfig.Peer{h.self}
	for _, host := range list {
		sidecar := host.Role == amrplatform.RoleSidecar
		if host.State != amrplatform.HostLive || (host.Name == h.self.Name && !sidecar) {
			continue
		}
		known = append(known, amrconfig.Peer{
			Name:             host.Name,
			Address:          host.Address,
			AvailabilityZone: host.AvailabilityZone,
			Sidecar:          sidecar,
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = known
	return list, nil
}

// all returns the live routers and sidecars, this router among them.
func (h *hosts) all() []amrconfig.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

// routers returns the routers that are listed as live, this one among them.
func (h *hosts) routers() []amrconfig.Peer {
	var routers []amrconfig.Peer
	for _, p := range h.all() {
		if !p.Sidecar {
			routers = append(routers, p)
		}
	}
	return routers
}

// answering returns the names of the routers without those whose calls failed
// of late: the host list lags.
func (h *hosts) answering() []string {
	var names []string
	routers, now := h.routers(), h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range routers {
		c := h.calls[p.Name]
		if c.failures < peerFailures || now.Sub(c.last) >= peerDeadTime {
			names = append(names, p.Name)
		}
	}
	return names
}

// called notes how a call of a router went.
func (h *hosts) called(name string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		delete(h.calls, name)
		return
	}
	h.calls[name] = peerCalls{failures: h.calls[name].failures + 1, last: h.clock.Now()}
}

// named returns another live router.
func (h *hosts) named(name string) (amrconfig.Peer, bool) {
	for _, p := range h.routers() {
		if p.Name == name && name != h.self.Name {
			return p, true
		}
	}
	return amrconfig.Peer{}, false
}
