package amrcoord

import (
	"time"

	"amaranthreach.example/core/amrgossip"
)

const (
	// maxTimeouts is the number of queries in a row without a reply in time after
	// which a coordinator is not asked any more.
	maxTimeouts = 2

	// pingInterval is the time between two pings to a coordinator that is not
	// asked. It doubles with each ping, up to maxPingInterval.
	pingInterval    = 250 * time.Millisecond
	maxPingInterval = 8 * time.Second

	// minReplyTimeout and maxReplyTimeout limit the time for which a router waits
	// for a reply. Waiting longer delays the request more than a less efficient
	// choice does.
	minReplyTimeout = 6 * time.Millisecond
	maxReplyTimeout = 25 * time.Millisecond

	// probeInterval is the time between two probes of a router in whose place this one
	// is asked, and the time within which the router must answer a probe.
	probeInterval = 250 * time.Millisecond

	// takeoverTime is the time after which a router that does not reply to this one
	// counts as lost to the others, too.
	takeoverTime = 30 * time.Second

	// initialReplyTimeout is the time for which a router waits for the first reply.
	initialReplyTimeout = 15 * time.Millisecond

	// The timeout follows the round-trip time as that of TCP does (RFC 6298): the
	// smoothed round-trip time and a multiple of its smoothed deviation.
	rttGain, deviationGain = 1.0 / 8, 1.0 / 4
	deviationFactor        = 4
)

// health holds what a router knows of the other routers' ability to reply. It does
// no I/O and is not safe for concurrent use. The zero value is ready to use.
type health struct {
	hosts map[amrgossip.HostID]*hostHealth
}

// hostHealth is the health of one router.
type hostHealth struct {
	rtt, deviation time.Duration // Smoothed; zero before the first reply.
	timeouts       int           // Queries in a row without a reply in time.
	nextPing       time.Time     // Time of the next ping; zero while the router is asked.
	pingPause      time.Duration
	lostAt         time.Time // Time from which the router is not asked.
	probedAt       time.Time // Time of the last probe; zero if there was none.
	unanswered     bool      // The last probe was not answered yet.
}

// of returns the health of the host, and creates it if needed.
func (h *health) of(host amrgossip.HostID) *hostHealth {
	if h.hosts == nil {
		h.hosts = make(map[amrgossip.HostID]*hostHealth)
	}
	s := h.hosts[host]
	if s == nil {
		s = &hostHealth{}
		h.hosts[host] = s
	}
	return s
}

// usable reports whether the router on the host may be asked.
func (h *health) usable(host amrgossip.HostID) bool {
	s := h.hosts[host]
	return s == nil || s.nextPing.IsZero()
}

// timeout returns how long to wait for a reply of the router on the host.
func (h *health) timeout(host amrgossip.HostID) time.Duration {
	s := h.hosts[host]
	if s == nil || s.rtt == 0 {
		return initialReplyTimeout
	}
	return min(max(s.rtt+deviationFactor*s.deviation, minReplyTimeout), maxReplyTimeout)
}

// replied records a reply after the given time, also one that came too late. It
// reports whether the router had not been asked before.
func (h *health) replied(host amrgossip.HostID, rtt time.Duration) (regained bool) {
	s := h.of(host)
	switch {
	case rtt <= 0: // A sign of life without a measured time.
	case s.rtt == 0:
		s.rtt, s.deviation = rtt, rtt/2
	default:
		s.deviation += time.Duration(deviationGain * float64((rtt-s.rtt).Abs()-s.deviation))
		s.rtt += time.Duration(rttGain * float64(rtt-s.rtt))
	}
	regained = !s.nextPing.IsZero()
	s.timeouts, s.nextPing, s.pingPause, s.unanswered = 0, time.Time{}, 0, false
	return regained
}

// timedOut records that there was no reply in time. It reports whether the router is
// not asked from now on.
func (h *health) timedOut(now time.Time, host amrgossip.HostID) (lost bool) {
	s := h.of(host)
	s.timeouts++
	if s.timeouts < maxTimeouts || !s.nextPing.IsZero() {
		return false
	}
	s.lose(now)
	return true
}

// lose records that the router is not asked until it answers a ping.
func (s *hostHealth) lose(now time.Time) {
	s.lostAt = now
	s.pingPause = pingInterval
	s.nextPing = now.Add(pingInterval)
}

// mayServe reports whether other routers may still ask the router on the host: it is
// asked by this one, or has not been for less than takeoverTime.
func (h *health) mayServe(now time.Time, host amrgossip.HostID) bool {
	return h.usable(host) || now.Sub(h.hosts[host].lostAt) < takeoverTime
}

// probe reports whether the router must be pinged now because another one asks this
// router in its place. If the last such ping was not answered in time, the router is not
// asked from then on, and pinged as usual.
func (h *health) probe(now time.Time, host amrgossip.HostID) bool {
	s := h.of(host)
	if !s.nextPing.IsZero() || now.Sub(s.probedAt) < probeInterval {
		return false
	}
	if s.unanswered {
		s.unanswered = false
		s.lose(now)
		return false
	}
	s.probedAt, s.unanswered = now, true
	return true
}

// duePings returns the routers that are to be pinged now, and schedules the next
// ping to each.
func (h *health) duePings(now time.Time) []amrgossip.HostID {
	var due []amrgossip.HostID
	for host, s := range h.hosts {
		if s.nextPing.IsZero() || now.Before(s.nextPing) {
			continue
		}
		due = append(due, host)
		s.pingPause = min(2*s.pingPause, maxPingInterval)
		s.nextPing = now.Add(s.pingPause)
	}
	return due
}

// retain forgets the routers that are not among the hosts.
func (h *health) retain(hosts map[amrgossip.HostID]bool) {
	for host := range h.hosts {
		if !hosts[host] {
			delete(h.hosts, host)
		}
	}
}
