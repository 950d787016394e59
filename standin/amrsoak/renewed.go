package amrsoak

import (
	"slices"
	"time"
)

// cutTime is the shortest time for which a router is cut off. It is longer than the time in
// which the router notices that the store does not answer.
const cutTime = 3 * time.Second

// cutOff cuts the router off from the store and from all other routers for the time.
func (s *site) cutOff(r *router, d time.Duration) {
	silent := ProxyFaults{HoldTo: true, HoldFrom: true}
	s.disturb(r.name, d, func() {
		r.store.Set(silent)
		r.peers.Set(silent)
		r.notices.SetDropping(true)
	}, func() {
		for _, p := range []*TCPProxy{r.store, r.peers} {
			p.Set(ProxyFaults{})
			p.Reset()
		}
		r.notices.SetDropping(false)
	})
}

// renewEngine lets the engine crash and start again under its name, with another version of
// its software, after the time. Plain services are left alone.
func (s *site) renewEngine(b *server, down time.Duration) {
	if b.Model == "" {
		return
	}
	b.proxy.Set(ProxyFaults{Refuse: true})
	b.proxy.Reset()
	s.clock.Sleep(down)
	s.changeSoftware(b)
	s.restartServer(b)
	b.proxy.Set(ProxyFaults{})
}

// replaceEngine does the same as planned: the engine is drained and serves on for the time.
func (s *site) replaceEngine(b *server, d time.Duration) {
	if b.Model == "" {
		return
	}
	s.drain(b)
	s.clock.Sleep(d + defaultTimeLimits.drain)
	s.renewEngine(b, 0)
}

// changeSoftware gives the engine the next version of the software.
func (s *site) changeSoftware(b *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(softwareVersions, b.entry.Version)
	b.entry = b.entry.WithSoftware(softwareVersions[(i+1)%len(softwareVersions)])
	s.checker.recordSoftware(b.Name, b.entry.Version)
}
