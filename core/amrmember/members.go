// Package amrmember keeps a router's view of the backend servers: which of
// them may take new work and why each other one may not.
//
// Members is free of I/O. It takes events with their time and returns actions;
// the view that it offers is an immutable value.
package amrmember

import (
	"math/rand/v2"
	"time"

	"amaranthreach.example/core/amrplatform"
)

// Members follows the backend servers of all deployments. An event about one
// backend server costs the same however many there are, unless it changes the
// view: then the lists of its deployment are copied. Members is not safe for
// concurrent use.
type Members struct {
	rand      *rand.Rand
	limits    Limits
	view      View
	states    map[string]*state   // By name of the backend server.
	addresses map[string][]string // Names by address of the sidecar.
	ejected   map[string]int      // Number of ejected backend servers by deployment.
	timers    timers
	names     []string // Of all backend servers, in no order.
	patrolAt  time.Time
}

// New returns Members without any backend server.
func New(opts ...Option) *Members {
	m := &Members{
		rand:      rand.New(rand.NewPCG(1, 1)),
		limits:    DefaultLimits(),
		states:    make(map[string]*state),
		addresses: make(map[string][]string),
		ejected:   make(map[string]int),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Option configures Members.
type Option func(*Members)

// WithRand sets the source of the jitter of probes.
func WithRand(r *rand.Rand) Option {
	return func(m *Members) { m.rand = r }
}

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option {
	return func(m *Members) { m.limits = l }
}

// Limits are the bounds of ejection, return and probing.
type Limits struct {
	Failures       int           // Failures in a row that eject a backend server.
	EjectFor       time.Duration // Length of the first ejection; each further one doubles it.
	EjectAtMost    time.Duration // Longest ejection.
	EjectedShare   float64       // Largest share of a deployment that may be ejected at once.
	ReturnOver     time.Duration // Time over which the weight of a returning backend server grows.
	ProbeEvery     time.Duration // First pause between probes; each further one doubles it.
	ProbeAtLeast   time.Duration // Longest pause between probes.
	PatrolEvery    time.Duration // Mean pause between probes of any backend server.
	InitialWeight  float64       // Weight at the start of the return.
	ForgetEjection time.Duration // Time in health after which the next ejection is short again.
}

// DefaultLimits returns the limits that Members has unless told otherwise.
func DefaultLimits() Limits {
	return Limits{
		Failures:       3,
		EjectFor:       time.Second,
		EjectAtMost:    30 * time.Second,
		EjectedShare:   0.5,
		ReturnOver:     10 * time.Second,
		ProbeEvery:     500 * time.Millisecond,
		ProbeAtLeast:   15 * time.Second,
		PatrolEvery:    time.Second,
		InitialWeight:  0.1,
		ForgetEjection: 2 * time.Minute,
	}
}

// View returns the present view.
func (m *Members) View() View {
	return m.view
}

// Apply takes in an event and returns what is to be done.
func (m *Members) Apply(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case RecordPut:
		m.putRecord(now, e)
	case RecordRemoved:
		m.removeRecord(e.Name)
	case HostsListed:
		return m.listHosts(now, e.Hosts)
	case Replied:
		if s, ok := m.states[e.Name]; ok {
			m.reply(now, s, e)
		}
	case Succeeded:
		if s, ok := m.states[e.Name]; ok {
			s.failures = 0
		}
	case Failed:
		if s, ok := m.states[e.Name]; ok {
			m.fail(now, s, e)
		}
	case Tick:
		return m.tick(now)
	}
	return nil
}

// NextTick returns the time at which a Tick has something to do, and false
// when there is none.
func (m *Members) NextTick() (time.Time, bool) {
	if len(m.timers) == 0 {
		return time.Time{}, false
	}
	return m.timers[0].at, true
}

func (m *Members) putRecord(now time.Time, e RecordPut) {
	s := m.states[e.Name]
	if s != nil && (s.member.Address != e.Spec.Address || s.member.Deployment != e.Spec.Deployment) {
		m.removeRecord(e.Name) // Another process stands behind the name now.
		s = nil
	}
	if s == nil {
		s = &state{index: len(m.names)}
		m.names = append(m.names, e.Name)
		m.states[e.Name] = s
		m.addresses[e.Spec.Address] = append(m.addresses[e.Spec.Address], e.Name)
	}
	s.drainedByRecord = e.Spec.Drain
	next := s.member
	next.Name = e.Name
	next.Deployment = e.Spec.Deployment
	next.Address = e.Spec.Address
	next.AvailabilityZone = e.Spec.AvailabilityZone
	next.HonoursFence = e.Spec.HonoursFence
	m.refresh(now, s, next)
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
	m.addresses[s.member.Address] = remove(m.addresses[s.member.Address], name)
	if len(m.addresses[s.member.Address]) == 0 {
		delete(m.addresses, s.member.Address)
	}
}

// listHosts takes in what the host list says of the sidecars. A sidecar that
// was listed and is no longer is gone; one that never was may be new.
func (m *Members) listHosts(now time.Time, hosts []amrplatform.Host) []Action {
	var actions []Action
	seen := make(map[*state]bool, len(m.states))
	for _, host := range hosts {
		if host.Role != amrplatform.RoleSidecar {
			continue
		}
		for _, name := range m.addresses[host.Address] {
			s := m.states[name]
			seen[s] = true
			left := s.leaving
			if s.list(host) {
				m.refresh(now, s, s.member)
			}
			if s.leaving != left {
				actions = append(actions, Notify{Name: name, Address: s.member.Address, Leaving: s.leaving})
			}
		}
	}
	for _, s := range m.states {
		if s.listed && !seen[s] && !s.gone {
			s.gone = true
			m.refresh(now, s, s.member)
		}
	}
	return actions
}

// reply takes in what a sidecar says of itself.
func (m *Members) reply(now time.Time, s *state, e Replied) {
	if s.previousIncarnation != "" && e.SidecarIncarnation == s.previousIncarnation {
		return // A late reply of the process before.
	}
	next := s.member
	if e.SidecarIncarnation != s.member.SidecarIncarnation {
		s.restarted()
		next.SidecarIncarnation = e.SidecarIncarnation
	}
	if s.gone {
		s.gone = false
		s.listed = false // The host list's silence counts no more.
	}
	s.draining = e.Draining
	s.notReady = !e.Ready
	if e.Ready && s.ejected && !now.Before(s.ejectedUntil) {
		m.setEjected(s, false)
		next.ReturningSince = now
	}
	next.EngineIncarnation = e.EngineIncarnation
	next.WeightsVersion = e.WeightsVersion
	m.refresh(now, s, next)
}

// fail counts a failure of an attempt and ejects the backend server when it
// has failed too often in a row.
func (m *Members) fail(now time.Time, s *state, e Failed) {
	if e.SidecarIncarnation != "" && e.SidecarIncarnation != s.member.SidecarIncarnation {
		return // It was another process that failed.
	}
	s.failures++
	if s.ejected || (!e.Unreachable && s.failures < m.limits.Failures) || !m.mayEject(s) {
		return
	}
	if now.Sub(s.ejectedUntil) > m.limits.ForgetEjection {
		s.ejections = 0
	}
	s.ejectedUntil = now.Add(doubled(m.limits.EjectFor, s.ejections, m.limits.EjectAtMost))
	s.ejections++
	s.failures = 0
	m.setEjected(s, true)
	m.refresh(now, s, s.member)
}

// mayEject reports whether one more backend server of the deployment may be
// ejected. When too many fail, the fault is rather the router's own.
func (m *Members) mayEject(s *state) bool {
	total := m.view.groups[s.member.Deployment].size()
	return float64(m.ejected[s.member.Deployment]+1) <= m.limits.EjectedShare*float64(total)
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

// refresh puts the member into the view when it changed and plans a probe when
// it may come back without a word.
func (m *Members) refresh(now time.Time, s *state, next Member) {
	next.Exclusion = s.exclusion()
	if next != s.member {
		m.view = m.view.with(s.member, next)
		s.member = next
	}
	if !probed(next.Exclusion) {
		s.probes = 0
		s.probeAt = time.Time{}
		return
	}
	if s.probeAt.IsZero() {
		m.planProbe(now, s)
	}
}

// probed reports whether a backend server excluded for the reason is asked now
// and then whether it is back.
func probed(e Exclusion) bool {
	return e != Eligible && e != DrainedByRecord
}

func (m *Members) planProbe(now time.Time, s *state) {
	pause := doubled(m.limits.ProbeEvery, s.probes, m.limits.ProbeAtLeast)
	s.probes++
	s.probeAt = now.Add(pause/2 + time.Duration(m.rand.Int64N(int64(pause/2)+1)))
	if s.ejected && s.probeAt.Before(s.ejectedUntil) {
		s.probeAt = s.ejectedUntil
	}
	m.timers.push(timer{at: s.probeAt, name: s.member.Name})
}

// tick returns the probes that are due.
func (m *Members) tick(now time.Time) []Action {
	var actions []Action
	for len(m.timers) > 0 && !m.timers[0].at.After(now) {
		due := m.timers.pop()
		s, ok := m.states[due.name]
		if !ok || !s.probeAt.Equal(due.at) {
			continue // The backend server came back or went for good.
		}
		actions = append(actions, Probe{Name: due.name, Address: s.member.Address})
		m.planProbe(now, s)
	}
	return append(actions, m.patrol(now)...)
}

// patrol returns now and then a probe of any backend server. All routers
// together so hear of a change at one that draws no work.
func (m *Members) patrol(now time.Time) []Action {
	if now.Before(m.patrolAt) || len(m.names) == 0 {
		return nil
	}
	m.patrolAt = now.Add(m.limits.PatrolEvery/2 + time.Duration(m.rand.Int64N(int64(m.limits.PatrolEvery))))
	name := m.names[m.rand.IntN(len(m.names))]
	return []Action{Probe{Name: name, Address: m.states[name].member.Address}}
}

// doubled returns the duration doubled n times, at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if d >= limit {
			break
		}
		d *= 2
	}
	return min(d, limit)
}

func remove(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}
