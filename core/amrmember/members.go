// Package amrmember tracks the backend servers of a router: those that may get
// new work, and for each other one the reason for its exclusion.
//
// Members does no I/O. It processes events with the time at which they occurred,
// and returns actions for the caller to perform. Its view of the backend servers
// is an immutable value.
package amrmember

import (
	"math/rand/v2"
	"time"

	"amaranthreach.example/core/amrplatform"
)

// Members tracks the state of the backend servers of all deployments. The cost
// of an event about a single backend server does not depend on their number,
// unless the event changes the view: the lists of the deployment are then
// copied. Members is not safe for concurrent use.
type Members struct {
	rand            *rand.Rand
	limits          Limits
	view            View
	states          map[string]*state   // By name of the backend server.
	namesByAddress  map[string][]string // Names of backend servers, by address of the sidecar.
	ejected         map[string]int      // Number of ejected backend servers, by deployment.
	timers          timers
	names           []string  // All backend servers, in no particular order.
	nextRandomProbe time.Time // Time of the next probe of a random backend server.
}

// New returns a Members without backend servers.
func New(opts ...Option) *Members {
	m := &Members{
		rand:           rand.New(rand.NewPCG(1, 1)),
		limits:         DefaultLimits(),
		states:         make(map[string]*state),
		namesByAddress: make(map[string][]string),
		ejected:        make(map[string]int),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Option configures a Members.
type Option func(*Members)

// WithRand sets the source of randomness for the times of probes and for the
// choice of backend servers to probe.
func WithRand(r *rand.Rand) Option {
	return func(m *Members) { m.rand = r }
}

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option {
	return func(m *Members) { m.limits = l }
}

// Limits configures the ejection of failing backend servers, the ramp-up of
// their load afterwards, and the probing of excluded ones.
type Limits struct {
	FailureThreshold    int           // Consecutive failures that eject a backend server.
	BaseEjectionTime    time.Duration // Duration of the first ejection; it doubles with each further one.
	MaxEjectionTime     time.Duration // Longest ejection.
	MaxEjectedShare     float64       // Largest share of a deployment that may be ejected at the same time.
	RampUpTime          time.Duration // Time in which the weight of a backend server grows to 1 after an ejection.
	BaseProbeInterval   time.Duration // First interval between probes of an excluded backend server; it doubles with each probe.
	MaxProbeInterval    time.Duration // Longest interval between probes of an excluded backend server.
	RandomProbeInterval time.Duration // Mean interval between probes of a random backend server.
	InitialWeight       float64       // Weight of a backend server right after its ejection.
	EjectionResetTime   time.Duration // Time since the end of an ejection after which the next one is as short as the first.
}

// DefaultLimits returns the limits that Members uses without WithLimits.
func DefaultLimits() Limits {
	return Limits{
		FailureThreshold:    3,
		BaseEjectionTime:    time.Second,
		MaxEjectionTime:     30 * time.Second,
		MaxEjectedShare:     0.5,
		RampUpTime:          10 * time.Second,
		BaseProbeInterval:   500 * time.Millisecond,
		MaxProbeInterval:    15 * time.Second,
		RandomProbeInterval: time.Second,
		InitialWeight:       0.1,
		EjectionResetTime:   2 * time.Minute,
	}
}

// View returns the current view.
func (m *Members) View() View {
	return m.view
}

// Apply processes an event that occurred at time now, and returns the actions
// that the caller must perform. Events about unknown backend servers are
// ignored.
func (m *Members) Apply(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case RecordPut:
		m.putRecord(now, e)
	case RecordRemoved:
		m.removeRecord(e.Name)
	case HostsListed:
		return m.handleHostList(now, e.Hosts)
	case SidecarReplied:
		if s, ok := m.states[e.Name]; ok {
			m.handleReply(now, s, e)
		}
	case RequestSucceeded:
		if s, ok := m.states[e.Name]; ok {
			s.failures = 0
		}
	case RequestFailed:
		if s, ok := m.states[e.Name]; ok {
			m.handleFailure(now, s, e)
		}
	case Tick:
		return m.tick(now)
	}
	return nil
}

// NextTick returns the time of the next scheduled probe, at which a Tick is due.
// Canceled probes still count; probes of random backend servers do not. It
// returns false if no probe is scheduled.
func (m *Members) NextTick() (time.Time, bool) {
	if len(m.timers) == 0 {
		return time.Time{}, false
	}
	return m.timers[0].at, true
}

func (m *Members) putRecord(now time.Time, e RecordPut) {
	s := m.states[e.Name]
	if s != nil && (s.member.Address != e.Spec.Address || s.member.Deployment != e.Spec.Deployment) {
		m.removeRecord(e.Name) // The name now denotes another backend server.
		s = nil
	}
	if s == nil {
		s = &state{index: len(m.names)}
		m.names = append(m.names, e.Name)
		m.states[e.Name] = s
		m.namesByAddress[e.Spec.Address] = append(m.namesByAddress[e.Spec.Address], e.Name)
	}
	s.drainedByRecord = e.Spec.Drain
	next := s.member
	next.Name = e.Name
	next.Deployment = e.Spec.Deployment
	next.Address = e.Spec.Address
	next.AvailabilityZone = e.Spec.AvailabilityZone
	next.HonoursFence = e.Spec.HonoursFence
	m.updateMember(now, s, next)
}

func (m *Members) removeRecord(name string) {
	s, ok := m.states[name]
	if !ok {
		return
	}
	m.setEjected(s, false)
	m.view = m.view.without(s.member)
	delete(m.states, name)
	last := m.names[len(m.names)-1]
	m.names[s.index] = last
	m.names = m.names[:len(m.names)-1]
	if last != name {
		m.states[last].index = s.index
	}
	m.namesByAddress[s.member.Address] = withoutName(m.namesByAddress[s.member.Address], name)
	if len(m.namesByAddress[s.member.Address]) == 0 {
		delete(m.namesByAddress, s.member.Address)
	}
}

// handleHostList processes the host list. A sidecar that was listed before and
// is missing now counts as gone. One that was never listed does not: it may be
// too new for the list.
func (m *Members) handleHostList(now time.Time, hosts []amrplatform.Host) []Action {
	var actions []Action
	seen := make(map[*state]bool, len(m.states))
	for _, host := range hosts {
		if host.Role != amrplatform.RoleSidecar {
			continue
		}
		for _, name := range m.namesByAddress[host.Address] {
			s := m.states[name]
			seen[s] = true
			wasLeaving := s.leaving
			if s.applyHost(host) {
				m.updateMember(now, s, s.member)
			}
			if s.leaving != wasLeaving {
				actions = append(actions, NotifyLeaving{Name: name, Address: s.member.Address, Leaving: s.leaving})
			}
		}
	}
	for _, s := range m.states {
		if s.listed && !seen[s] && !s.gone {
			s.gone = true
			m.updateMember(now, s, s.member)
		}
	}
	return actions
}

// handleReply processes the state that a sidecar reports. A reply of a sidecar
// process other than the known one means that the sidecar has restarted.
func (m *Members) handleReply(now time.Time, s *state, e SidecarReplied) {
	if s.previousIncarnation != "" && e.SidecarIncarnation == s.previousIncarnation {
		return // This is a late reply of the previous process.
	}
	next := s.member
	if e.SidecarIncarnation != s.member.SidecarIncarnation {
		s.resetProcess()
		next.SidecarIncarnation = e.SidecarIncarnation
	}
	if s.gone {
		s.gone = false
		s.listed = false // Its absence from the host list does not count until it is listed again.
	}
	s.draining = e.Draining
	s.notReady = !e.Ready
	if e.Ready && s.ejected && !now.Before(s.ejectedUntil) {
		m.setEjected(s, false)
		next.EjectionEndedAt = now
	}
	next.EngineIncarnation = e.EngineIncarnation
	next.WeightsVersion = e.WeightsVersion
	m.updateMember(now, s, next)
}

// handleFailure counts a failed request. It ejects the backend server after too
// many consecutive failures, or immediately if it is unreachable.
func (m *Members) handleFailure(now time.Time, s *state, e RequestFailed) {
	if e.SidecarIncarnation != "" && e.SidecarIncarnation != s.member.SidecarIncarnation {
		return // The request failed at another sidecar process.
	}
	s.failures++
	if s.ejected || (!e.Unreachable && s.failures < m.limits.FailureThreshold) || !m.mayEject(s) {
		return
	}
	if now.Sub(s.ejectedUntil) > m.limits.EjectionResetTime {
		s.ejections = 0
	}
	s.ejectedUntil = now.Add(exponentialBackoff(m.limits.BaseEjectionTime, s.ejections, m.limits.MaxEjectionTime))
	s.ejections++
	s.failures = 0
	m.setEjected(s, true)
	m.updateMember(now, s, s.member)
}

// mayEject reports whether another backend server of the deployment may be
// ejected. If many backend servers fail at the same time, the fault is more
// likely to be in the router or its network.
func (m *Members) mayEject(s *state) bool {
	total := m.view.groups[s.member.Deployment].size()
	return float64(m.ejected[s.member.Deployment]+1) <= m.limits.MaxEjectedShare*float64(total)
}

func (m *Members) setEjected(s *state, ejected bool) {
	if s.ejected == ejected {
		return
	}
	s.ejected = ejected
	if ejected {
		m.ejected[s.member.Deployment]++
	} else {
		m.ejected[s.member.Deployment]--
	}
}

// updateMember puts the next value of the member, with its current exclusion,
// into the view if it has changed. It schedules a probe if the backend server is
// excluded for a reason that can end without notice to the router.
func (m *Members) updateMember(now time.Time, s *state, next Member) {
	next.Exclusion = s.exclusion()
	if next != s.member {
		m.view = m.view.with(s.member, next)
		s.member = next
	}
	if !needsProbes(next.Exclusion) {
		s.probes = 0
		s.nextProbe = time.Time{}
		return
	}
	if s.nextProbe.IsZero() {
		m.scheduleProbe(now, s)
	}
}

// needsProbes reports whether a backend server that is excluded for the reason
// must be probed to find out when the reason has ended.
func needsProbes(e Exclusion) bool {
	return e != Eligible && e != DrainedByRecord
}

// scheduleProbe sets the time of the next probe, with exponential backoff and
// jitter, but not before the end of an ejection.
func (m *Members) scheduleProbe(now time.Time, s *state) {
	pause := exponentialBackoff(m.limits.BaseProbeInterval, s.probes, m.limits.MaxProbeInterval)
	s.probes++
	s.nextProbe = now.Add(pause/2 + time.Duration(m.rand.Int64N(int64(pause/2)+1)))
	if s.ejected && s.nextProbe.Before(s.ejectedUntil) {
		s.nextProbe = s.ejectedUntil
	}
	m.timers.push(timer{at: s.nextProbe, name: s.member.Name})
}

// tick returns the probes that are due.
func (m *Members) tick(now time.Time) []Action {
	var actions []Action
	for len(m.timers) > 0 && !m.timers[0].at.After(now) {
		due := m.timers.pop()
		s, ok := m.states[due.name]
		if !ok || !s.nextProbe.Equal(due.at) {
			continue // The probe was canceled or rescheduled, or the backend server was removed.
		}
		actions = append(actions, Probe{Name: due.name, Address: s.member.Address})
		m.scheduleProbe(now, s)
	}
	return append(actions, m.probeRandom(now)...)
}

// probeRandom returns a probe of a random backend server if one is due. The
// routers together thereby notice changes of backend servers that get no
// requests.
func (m *Members) probeRandom(now time.Time) []Action {
	if now.Before(m.nextRandomProbe) || len(m.names) == 0 {
		return nil
	}
	m.nextRandomProbe = now.Add(m.limits.RandomProbeInterval/2 + time.Duration(m.rand.Int64N(int64(m.limits.RandomProbeInterval))))
	name := m.names[m.rand.IntN(len(m.names))]
	return []Action{Probe{Name: name, Address: m.states[name].member.Address}}
}

// exponentialBackoff returns d doubled n times, but at most limit.
func exponentialBackoff(d time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if d >= limit {
			break
		}
		d *= 2
	}
	return min(d, limit)
}

// withoutName returns the names except the given one.
func withoutName(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}
