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
	// maxCallFailures is the number of consecutive failed calls after which a
	// router counts as unreachable.
	maxCallFailures = 2

	// unreachablePeriod is the time after the last failed call for which a
	// router counts as unreachable.
	unreachablePeriod = 30 * time.Second
)

// hostRegistry is an amrplatform.HostList that reads the host list of the
// platform and keeps the live routers and sidecars of the last read. It also
// keeps which routers did not answer calls. It is safe for concurrent use.
type hostRegistry struct {
	list  amrplatform.HostList
	clock clockwork.Clock
	self  amrconfig.Peer

	mu       sync.Mutex
	live     []amrconfig.Peer // Includes this router.
	failures map[string]failureRecord
}

// failureRecord holds the consecutive failed calls to a router.
type failureRecord struct {
	count int
	last  time.Time // Time of the last failure.
}

// newHostRegistry returns a registry that contains only this router, self, until
// the host list is first read.
func newHostRegistry(list amrplatform.HostList, clock clockwork.Clock, self amrconfig.Peer) *hostRegistry {
	return &hostRegistry{list: list, clock: clock, self: self, live: []amrconfig.Peer{self}, failures: map[string]failureRecord{}}
}

// Hosts implements amrplatform.HostList. It updates the registry if the list
// could be read.
func (h *hostRegistry) Hosts(ctx context.Context) ([]amrplatform.Host, error) {
	list, err := h.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	live := []amrconfig.Peer{h.self}
	for _, host := range list {
		sidecar := host.Role == amrplatform.RoleSidecar
		if host.State != amrplatform.HostLive || (host.Name == h.self.Name && !sidecar) {
			continue
		}
		live = append(live, amrconfig.Peer{
			Name:             host.Name,
			Address:          host.Address,
			AvailabilityZone: host.AvailabilityZone,
			Sidecar:          sidecar,
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live = live
	return list, nil
}

// livePeers returns the live routers, including this one, and the live sidecars.
func (h *hostRegistry) livePeers() []amrconfig.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.live
}

// routers returns the routers that are live according to the host list, including
// this one.
func (h *hostRegistry) routers() []amrconfig.Peer {
	var routers []amrconfig.Peer
	for _, p := range h.livePeers() {
		if !p.Sidecar {
			routers = append(routers, p)
		}
	}
	return routers
}

// reachableRouters returns the names of the routers without those to which recent
// calls failed. The host list reports a failed router with a delay, and the
// failed calls show it earlier.
func (h *hostRegistry) reachableRouters() []string {
	var names []string
	routers, now := h.routers(), h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range routers {
		c := h.failures[p.Name]
		if c.count < maxCallFailures || now.Sub(c.last) >= unreachablePeriod {
			names = append(names, p.Name)
		}
	}
	return names
}

// recordCall records the outcome of a call to the router. A successful call
// clears its earlier failures.
func (h *hostRegistry) recordCall(name string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		delete(h.failures, name)
		return
	}
	h.failures[name] = failureRecord{count: h.failures[name].count + 1, last: h.clock.Now()}
}

// otherRouter returns the live router with the name. It returns false for this
// router and if there is no live router with the name.
func (h *hostRegistry) otherRouter(name string) (amrconfig.Peer, bool) {
	for _, p := range h.routers() {
		if p.Name == name && name != h.self.Name {
			return p, true
		}
	}
	return amrconfig.Peer{}, false
}
