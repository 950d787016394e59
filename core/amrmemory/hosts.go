package amrmemory

import (
	"context"
	"time"

	"amaranthreach.example/core/amrplatform"
)

// hostList simulates the host list. A change becomes visible once it is as old
// as the simulated lag.
type hostList struct {
	visible sortedMap[amrplatform.Host]
	pending []hostChange // Changes that are not visible yet, in order of time.
}

// hostChange is the addition, replacement or removal of one host.
type hostChange struct {
	at      time.Time
	host    amrplatform.Host
	removed bool
}

// SetHost adds the host to the host list, or replaces the host of the same name.
// If host.Since is zero, it is set to the current time.
func (p *Platform) SetHost(host amrplatform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if host.Since.IsZero() {
		host.Since = now
	}
	p.hosts.pending = append(p.hosts.pending, hostChange{at: now, host: host})
}

// RemoveHost removes the host with the given name from the host list.
func (p *Platform) RemoveHost(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := amrplatform.Host{Name: name}
	p.hosts.pending = append(p.hosts.pending, hostChange{at: p.clock.Now(), host: host, removed: true})
}

// Hosts implements amrplatform.HostList.
func (p *Platform) Hosts(ctx context.Context) ([]amrplatform.Host, error) {
	if err := p.waitLatency(ctx); err != nil {
		return nil, amrplatform.Unavailable.Wrap(err, "the read was canceled or timed out: try again after a pause")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.HostReads++
	if p.faults.HostsDown {
		p.counters.Refused++
		return nil, amrplatform.Unavailable.New("the host list is down: try again after a pause")
	}
	return p.hosts.list(p.clock.Now().Add(-p.faults.HostLag)), nil
}

// list makes the changes up to the given time visible and returns the hosts in
// order of their names.
func (l *hostList) list(asOf time.Time) []amrplatform.Host {
	for len(l.pending) > 0 && !l.pending[0].at.After(asOf) {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.removed {
			l.visible.remove(change.host.Name)
		} else {
			l.visible.put(change.host.Name, change.host)
		}
	}
	hosts := make([]amrplatform.Host, 0, len(l.visible.keys))
	for _, name := range l.visible.keys {
		host, _ := l.visible.get(name)
		hosts = append(hosts, host)
	}
	return hosts
}
