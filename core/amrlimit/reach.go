package amrlimit

import (
	"time"

	"amaranthreach.example/core/amrgossip"
)

const (
	// The time to wait for the first reply of a router. Later it follows the round-trip time
	// as that of TCP does (RFC 6298), within the limits for placement queries.
	initialReplyTimeout    = 15 * time.Millisecond
	minReplyTimeout        = 6 * time.Millisecond
	maxReplyTimeout        = 25 * time.Millisecond
	rttGain, deviationGain = 1.0 / 8, 1.0 / 4
	deviationFactor        = 4

	// ackAfter is the time without a message of a router after which loans ask it for an
	// acknowledgement, and maxSilence the time after which it counts as lost.
	ackAfter   = 700 * time.Millisecond
	maxSilence = 1400 * time.Millisecond

	// firstProbePause is the time after which a lost router is probed again. It
	// doubles with each probe, up to maxProbePause.
	firstProbePause = 100 * time.Millisecond
	maxProbePause   = 8 * time.Second

	// lastReplyTimeout is the time to wait for the reply to the second query. A host with a
	// seventh of a core may get no processing time for 85 of 100 ms, and a refusal costs more
	// than the wait.
	lastReplyTimeout = 120 * time.Millisecond

	// lostAfter is the time from the first query without a reply in time after which a router
	// counts as lost, if it has not been heard of since. It is longer than such pauses.
	lostAfter = 200 * time.Millisecond

	// maxProbes is the number of routers of a group that are probed together while its
	// coordinator is sought.
	maxProbes = 3
)

// reach is what a router knows of another one's ability to reply.
type reach struct {
	rtt, deviation time.Duration // Smoothed; zero before the first reply.
	timedOutAt     time.Time     // Time of the first query without a reply in time since the router was heard of; zero if there is none.
	live           bool          // The router has replied, and has not been lost since.
	heardAt        time.Time
	nextProbe      time.Time
	probePause     time.Duration
}

// heard records a message of the router.
func (r *reach) heard(now time.Time) {
	r.timedOutAt, r.live, r.heardAt, r.nextProbe, r.probePause = time.Time{}, true, now, time.Time{}, 0
}

// replied records the time that a reply took.
func (r *reach) replied(rtt time.Duration) {
	if r.rtt == 0 {
		r.rtt, r.deviation = rtt, rtt/2
		return
	}
	r.deviation += time.Duration(deviationGain * float64((rtt-r.rtt).Abs()-r.deviation))
	r.rtt += time.Duration(rttGain * float64(rtt-r.rtt))
}

// timeout returns how long to wait for a reply.
func (r *reach) timeout() time.Duration {
	if r.rtt == 0 {
		return initialReplyTimeout
	}
	return min(max(r.rtt+deviationFactor*r.deviation, minReplyTimeout), maxReplyTimeout)
}

// timedOut records that there was no reply in time.
func (r *reach) timedOut(now time.Time) {
	if r.timedOutAt.IsZero() {
		r.timedOutAt = now
	}
	if now.Sub(r.timedOutAt) >= lostAfter {
		r.live = false
	}
}

// checkSilence records that the router is lost if it has not been heard of for too long,
// although it was asked to acknowledge loans.
func (r *reach) checkSilence(now time.Time) {
	if r.live && now.Sub(r.heardAt) > maxSilence {
		r.live = false
	}
}

// probe reports whether the router must be asked for an acknowledgement now, and schedules the
// next time.
func (r *reach) probe(now time.Time) bool {
	if r.live || now.Before(r.nextProbe) {
		return false
	}
	r.probePause = min(max(2*r.probePause, firstProbePause), maxProbePause)
	r.nextProbe = now.Add(r.probePause)
	return true
}

// reachOf returns what the router knows of the other one, and creates it if needed.
func (q *Quotas) reachOf(host amrgossip.HostID) *reach {
	r := q.reach[host]
	if r == nil {
		r = &reach{}
		q.reach[host] = r
	}
	return r
}
