package amrrouter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrmember"
	"amaranthreach.example/core/amrplatform"
)

const (
	hostsInterval = 4 * time.Second
	hostsSpread   = 500 * time.Millisecond
	hostsTimeout  = 2 * time.Second
)

// hosts knows the live routers and sidecars by the platform's host list.
type hosts struct {
	list  amrplatform.HostList
	clock clockwork.Clock
	self  amrconfig.Peer

	mu    sync.Mutex
	known []amrconfig.Peer // This router among them.
}

func newHosts(list amrplatform.HostList, clock clockwork.Clock, self amrconfig.Peer) *hosts {
	return &hosts{list: list, clock: clock, self: self, known: []amrconfig.Peer{self}}
}

// all returns the live routers and sidecars, this router among them.
func (h *hosts) all() []amrconfig.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

// routers returns the live routers, this one among them.
func (h *hosts) routers() []amrconfig.Peer {
	var routers []amrconfig.Peer
	for _, p := range h.all() {
		if !p.Sidecar {
			routers = append(routers, p)
		}
	}
	return routers
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

// run reads the host list until ctx is done. While it can't be read, the
// routers that were known last stay known.
func (h *hosts) run(ctx context.Context) error {
	_ = h.fetch(ctx) // The loop tries again.
	fetcher := amrmember.NewFetcher(h.clock.Now(), hostsInterval, hostsSpread, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(max(0, fetcher.Next().Sub(h.clock.Now()))):
		}
		if fetcher.Due(h.clock.Now()) {
			fetcher.Done(h.clock.Now(), h.fetch(ctx))
		}
	}
}

func (h *hosts) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	all, err := h.list.Hosts(ctx)
	if err != nil {
		return err
	}
	known := []amrconfig.Peer{h.self}
	for _, host := range all {
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
	return nil
}
