package amrmemory

import (
	"context"
	"time"

	"amaranthreach.example/core/amrplatform"
)

// hostList shows changes of hosts once they are as old as the lag in force.
type hostList struct {
	shown   sortedMap[amrplatform.Host]
	pending []hostChange // In order of time.
}

// hostChange is the new state of one host, or its removal.
type hostChange struct {
	at      time.Time
	host    amrplatform.Host
	removed bool
}

// SetHost adds the host to the host list or replaces it. A zero Since is set
// to the present.
func (p *Platform) SetHost(host amrplatform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if host.Since.IsZero() {
		host.Since = now
	}
	p.hosts.pending = append(p.hosts.pending, hostChange{at: now, host: host})
}

// RemoveHost removes the host from the host list.
func (p *Platform) RemoveHost(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := amrplatform.Host{Name: name}
	p.hosts.pending = append(p.hosts.pending, hostChange{at: p.clock.Now(), host: host, removed: true})
}

// Hosts implements amrplatform.HostList.
func (p *Platform) Hosts(ctx context.Context) ([]amrplatform.Host, error) {
	if err := p.pause(ctx); err != nil {
		return nil, amrplatform.Unavailable.Wrap(err, "the read was given up: try again after a pause")
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

// list shows the changes up to the given time and returns the hosts by name.
func (l *hostList) list(until time.Time) []amrplatform.Host {
	for len(l.pending) > 0 && !l.pending[0].at.After(until) {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.removed {
			l.shown.remove(change.host.Name)
		} else {
			l.shown.put(change.host.Name, change.host)
		}
	}
	hosts := make([]amrplatform.Host, 0, len(l.shown.keys))
	for _, name := range l.shown.keys {
		host, _ := l.shown.get(name)
		hosts = append(hosts, host)
	}
	return hosts
}
