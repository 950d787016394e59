package amrlimit

import (
	"math"
	"time"
)

// priorities is the number of priorities.
const priorities = 10

// urgency tells which priorities the requests of a team have, and how much of the most
// urgent ones there is.
type urgency struct {
	seen [priorities]time.Time // Time of the last request.
	rate [priorities]float64   // Weight per second, smoothed over urgentTime.
}

// record records a request.
func (u *urgency) record(now time.Time, priority int, weight float64) {
	p := min(max(priority, 0), priorities-1)
	u.rate[p] = u.smoothed(now, p) + weight/urgentTime.Seconds()
	u.seen[p] = now
}

// smoothed returns the weight per second of the requests with the priority.
func (u *urgency) smoothed(now time.Time, priority int) float64 {
	return u.rate[priority] * math.Exp(-now.Sub(u.seen[priority]).Seconds()/urgentTime.Seconds())
}

// most returns the most urgent priority of the requests within urgentTime.
func (u *urgency) most(now time.Time) int {
	for p, at := range u.seen {
		if now.Sub(at) < urgentTime {
			return p
		}
	}
	return priorities
}

// mixed reports whether the requests within urgentTime had several priorities.
func (u *urgency) mixed(now time.Time) bool {
	n := 0
	for _, at := range u.seen {
		if now.Sub(at) < urgentTime {
			n++
		}
	}
	return n > 1
}

// share returns the share of the rate that is left to the most urgent requests while others
// get turns. It is 0 if all requests have the same priority.
func (u *urgency) share(now time.Time, rate float64) float64 {
	if !u.mixed(now) {
		return 0
	}
	return min(u.smoothed(now, u.most(now))/rate, maxUrgentShare)
}
