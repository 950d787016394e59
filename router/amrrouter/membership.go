package amrrouter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrmember"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
)

const (
	membershipTick = 100 * time.Millisecond
	probeTimeout   = 500 * time.Millisecond
	probesAtOnce   = 64 // Backend servers that are probed.

	// A router reads the host list less often the longer it is, so that all
	// routers together read it about once a second at any size.
	hostListPerHost  = 40 * time.Millisecond
	hostListInterval = time.Second // Shortest time between two reads.
	hostListSpread   = 500 * time.Millisecond
)

// membership carries the events and actions of amrmember.Members.
type membership struct {
	clock clockwork.Clock
	log   *slog.Logger
	gates *gates
	hosts amrplatform.HostList

	mu      sync.Mutex
	members *amrmember.Members
	set     amrrecord.Set // The records that members has taken in.
}

func newMembership(clock clockwork.Clock, log *slog.Logger, gates *gates, hosts amrplatform.HostList) *membership {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &membership{
		clock:   clock,
		log:     log,
		gates:   gates,
		hosts:   hosts,
		members: amrmember.New(amrmember.WithRand(random)),
	}
}

// view returns the view of the backend servers under the records.
func (m *membership) view(set amrrecord.Set) amrmember.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.take(set)
	return m.members.View()
}

// take passes on which records of backend servers changed.
func (m *membership) take(set amrrecord.Set) {
	if set.Revision() <= m.set.Revision() {
		return
	}
	now := m.clock.Now()
	for _, id := range set.Changed(m.set) {
		if id.Kind != amrrecord.KindBackendServer {
			continue
		}
		if spec, ok := set.BackendServer(id.Name); ok {
			m.members.Apply(now, amrmember.RecordPut{Name: id.Name, Spec: spec})
		} else {
			m.members.Apply(now, amrmember.RecordRemoved{Name: id.Name})
		}
	}
	m.set = set
}

// observe passes on what a sidecar said of itself.
func (m *membership) observe(name string, load *amrgate.Load) {
	if load == nil {
		return
	}
	m.apply(amrmember.SidecarReplied{
		Name:               name,
		SidecarIncarnation: load.GetSidecarIncarnation(),
		EngineIncarnation:  load.GetEngineIncarnation(),
		WeightsVersion:     load.GetWeightsVersion(),
		Draining:           load.GetDraining(),
		Ready:              load.GetReady(),
	})
}

// succeeded notes a whole answer of the backend server.
func (m *membership) succeeded(name string) {
	m.apply(amrmember.RequestSucceeded{Name: name})
}

// failed notes an attempt that failed for a fault of the backend server.
func (m *membership) failed(name string, unreachable bool) {
	m.apply(amrmember.RequestFailed{Name: name, Unreachable: unreachable})
}

func (m *membership) apply(event amrmember.Event) []amrmember.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Apply(m.clock.Now(), event)
}

// run probes excluded backend servers and reads the host list until ctx is
// done.
func (m *membership) run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(probesAtOnce)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	fetcher := amrmember.NewFetcher(m.clock.Now(), hostListInterval, hostListSpread, random)
	ticker := m.clock.NewTicker(membershipTick)
	defer ticker.Stop()
	for {
		actions := m.apply(amrmember.Tick{})
		if fetcher.TryStart(m.clock.Now()) {
			more, n, err := m.readHosts(ctx)
			actions = append(actions, more...)
			fetcher.SetInterval(max(hostListInterval, time.Duration(n)*hostListPerHost))
			fetcher.Done(m.clock.Now(), err)
		}
		for _, action := range actions {
			calls.Go(func() error {
				m.perform(ctx, action)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-ticker.Chan():
		}
	}
}

func (m *membership) readHosts(ctx context.Context) (actions []amrmember.Action, n int, err error) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, probeTimeout)
	defer cancel()
	hosts, err := m.hosts.Hosts(ctx)
	if err != nil {
		return nil, 0, err
	}
	return m.apply(amrmember.HostsListed{Hosts: hosts}), len(hosts), nil
}

func (m *membership) perform(ctx context.Context, action amrmember.Action) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, probeTimeout)
	defer cancel()
	switch a := action.(type) {
	case amrmember.Probe:
		m.report(ctx, a.Name, a.Address)
	case amrmember.Notify:
		_, err := m.gates.client(ctx, a.Address).Drain(ctx, &amrgate.DrainRequest{Drain: a.Leaving})
		m.log.Info("host-list-change", "backend-server", a.Name, "leaving", a.Leaving, "error", err)
	}
}

// report asks a sidecar for its state. A sidecar that does not answer stays as
// it is.
func (m *membership) report(ctx context.Context, name, address string) bool {
	reply, err := m.gates.client(ctx, address).Report(ctx, &amrgate.ReportRequest{})
	if err != nil {
		return false
	}
	m.observe(name, reply.GetLoad())
	return true
}
