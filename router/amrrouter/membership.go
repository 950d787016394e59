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
	membershipTickInterval = 100 * time.Millisecond
	probeTimeout           = 500 * time.Millisecond // Of a call to a sidecar, and of a read of the host list.

	// maxConcurrentProbes limits the concurrent calls to sidecars.
	maxConcurrentProbes = 64

	// hostListIntervalPerHost is multiplied by the number of hosts to get the
	// time between two reads of the host list. The longer the list, the less
	// often each router reads it, so that all routers together read it about
	// once a second if one host in 25 is a router.
	hostListIntervalPerHost = 40 * time.Millisecond

	// minHostListInterval is the shortest time between two reads of the host
	// list.
	minHostListInterval = time.Second

	// hostListJitter is the range over which the first reads of routers that
	// start together are spread.
	hostListJitter = 500 * time.Millisecond
)

// membership tracks the state of the backend servers. It passes events to an
// amrmember.Members, which decides without I/O, and executes the actions that it
// returns. It is safe for concurrent use.
type membership struct {
	clock        clockwork.Clock
	log          *slog.Logger
	sidecarConns *connPool
	hostList     amrplatform.HostList

	mu      sync.Mutex
	members *amrmember.Members
	records amrrecord.Set // The records last applied to members.
}

// newMembership returns a membership without backend servers.
func newMembership(clock clockwork.Clock, log *slog.Logger, sidecarConns *connPool, hostList amrplatform.HostList) *membership {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &membership{
		clock:        clock,
		log:          log,
		sidecarConns: sidecarConns,
		hostList:     hostList,
		members:      amrmember.New(amrmember.WithRand(random)),
	}
}

// view returns the state of the backend servers after applying the records.
func (m *membership) view(set amrrecord.Set) amrmember.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyRecords(set)
	return m.members.View()
}

// applyRecords passes the changes of backend server records to members. It ignores
// records that are not newer than those last applied. The caller must hold m.mu.
func (m *membership) applyRecords(records amrrecord.Set) {
	if records.Revision() <= m.records.Revision() {
		return
	}
	now := m.clock.Now()
	for _, id := range records.Diff(m.records) {
		if id.Kind != amrrecord.KindBackendServer {
			continue
		}
		if spec, ok := records.BackendServer(id.Name); ok {
			m.members.Apply(now, amrmember.RecordPut{Name: id.Name, Spec: spec})
		} else {
			m.members.Apply(now, amrmember.RecordRemoved{Name: id.Name})
		}
	}
	m.records = records
}

// applyLoad applies the state that the sidecar of the named backend server
// reported. It ignores a nil load.
func (m *membership) applyLoad(name string, load *amrgate.Load) {
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

// recordSuccess records that the backend server returned a complete response.
func (m *membership) recordSuccess(name string) {
	m.apply(amrmember.RequestSucceeded{Name: name})
}

// recordFailure records an attempt, or a request for the state, that failed because
// of the backend server. Unreachable means that its sidecar could not be reached.
func (m *membership) recordFailure(name string, unreachable bool) {
	m.apply(amrmember.RequestFailed{Name: name, Unreachable: unreachable})
}

// apply passes the event to members and returns the actions to execute.
func (m *membership) apply(event amrmember.Event) []amrmember.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Apply(m.clock.Now(), event)
}

// run probes excluded backend servers and reads the host list until ctx is done.
// It always returns nil.
func (m *membership) run(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentProbes)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	fetcher := amrmember.NewFetcher(m.clock.Now(), minHostListInterval, hostListJitter, random)
	ticker := m.clock.NewTicker(membershipTickInterval)
	defer ticker.Stop()
	for {
		actions := m.apply(amrmember.Tick{})
		if fetcher.TryStart(m.clock.Now()) {
			more, n, err := m.readHosts(ctx)
			actions = append(actions, more...)
			fetcher.SetInterval(max(minHostListInterval, time.Duration(n)*hostListIntervalPerHost))
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

// readHosts reads the host list. It returns the actions that follow from it and
// the number of hosts.
func (m *membership) readHosts(ctx context.Context) (actions []amrmember.Action, n int, err error) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, probeTimeout)
	defer cancel()
	hostList, err := m.hostList.Hosts(ctx)
	if err != nil {
		return nil, 0, err
	}
	return m.apply(amrmember.HostsListed{Hosts: hostList}), len(hostList), nil
}

// perform executes an action of members.
func (m *membership) perform(ctx context.Context, action amrmember.Action) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, probeTimeout)
	defer cancel()
	switch a := action.(type) {
	case amrmember.Probe:
		m.requestState(ctx, a.Name, a.Address)
	case amrmember.NotifyLeaving:
		_, err := m.sidecarConns.client(ctx, a.Address).Drain(ctx, &amrgate.DrainRequest{Drain: a.Leaving})
		m.log.Info("attempted to notify the sidecar after a change of the host list", "backend-server", a.Name, "leaving", a.Leaving, "error", err)
	}
}

// requestState requests the state of a sidecar and applies it. It reports whether
// the sidecar answered. If not, the known state stays unchanged.
func (m *membership) requestState(ctx context.Context, name, address string) bool {
	reply, err := m.sidecarConns.client(ctx, address).Report(ctx, &amrgate.ReportRequest{})
	if err != nil {
		return false
	}
	m.applyLoad(name, reply.GetLoad())
	return true
}
