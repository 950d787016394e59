package amrlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// Capacity of a rate's token bucket, as the time in which the rate fills it.
	burstDuration = 500 * time.Millisecond

	// Shortest time over which demand is measured.
	minDemandWindow = 250 * time.Millisecond

	// Weight of the latest window in the moving average of the demand.
	demandWeight = 0.6

	// Fraction of its share above which the demand of a router makes it report
	// immediately if its reporting interval is longer than shortInterval.
	scarceFraction = 0.8

	// Growth of the demand, as a factor, above which a router reports immediately
	// if the demand exceeds its share.
	surgeFactor = 2

	// Requests per second below which a team counts as idle.
	idleDemand = 1e-2
)

// Limiter admits the requests that arrive at one router according to the
// router's shares of the teams' limits. It does no I/O and is not safe for
// concurrent use.
type Limiter struct {
	self    string
	routers []string
	teams   map[string]*teamState
}

// teamState is the state of one team at the router.
type teamState struct {
	limits   Amounts
	share    Amounts
	expiry   time.Time // Of the share.
	hasShare bool

	bucket     Amounts // Levels of the token buckets of the rates; negative after large requests.
	refilledAt time.Time
	inFlight   int

	windowStart      time.Time     // Start of the window over which the demand is measured.
	offered          Amounts       // Requests and tokens that arrived in the window, and the peak concurrency that they asked for.
	admitted         Amounts       // Requests and tokens admitted in the window.
	shortWindowStart time.Time     // Start of the window of shortInterval that detects surges.
	shortOffered     Amounts       // Requests and tokens that arrived in the short window.
	shortRate        Amounts       // Rates in the previous short window.
	demand           Amounts       // Moving averages of the arrival rates, and the peak concurrency that the requests asked for.
	used             Amounts       // Moving average of the rates admitted.
	reported         time.Time     // When the demand was last reported.
	next             time.Duration // Longest time until the next report, as granted.
	reportPending    bool          // A report was sent and no grant has arrived since.
}

// NewLimiter returns the limiter of the router with the given name. Until
// SetRouters is called, it assumes that there is no other router.
func NewLimiter(self string) *Limiter {
	return &Limiter{self: self, routers: []string{self}, teams: map[string]*teamState{}}
}

// SetRouters sets the names of the live routers, including this one.
func (l *Limiter) SetRouters(routers []string) {
	l.routers = slices.Clone(routers)
}

// Decision is the decision on whether a request may run now.
type Decision struct {
	Admitted   bool
	Dimension  Dimension     // Limit that is exhausted, if the request is not admitted.
	RetryAfter time.Duration // Time after which the request may be admitted.
}

// Admit decides on a request of the team with an estimated number of tokens. If
// the request is admitted, Release must be called when it ends.
func (l *Limiter) Admit(now time.Time, team string, limits Amounts, tokens int) Decision {
	if limits.isZero() {
		return Decision{Admitted: true}
	}
	s := l.teamState(now, team)
	s.limits = limits
	s.refill(now, l.equalShare(limits))
	s.offered[Requests]++
	s.offered[Tokens] += float64(tokens)
	s.shortOffered[Requests]++
	s.shortOffered[Tokens] += float64(tokens)
	s.offered[Concurrency] = max(s.offered[Concurrency], float64(s.inFlight+1))
	if decision := s.decide(l.currentShare(now, s)); !decision.Admitted {
		return decision
	}
	s.spend(Requests, 1)
	s.spend(Tokens, float64(tokens))
	s.admitted[Requests]++
	s.admitted[Tokens] += float64(tokens)
	s.inFlight++
	return Decision{Admitted: true}
}

// Release ends an admitted request and replaces the estimated number of its
// tokens by the number used.
func (l *Limiter) Release(team string, estimated, used int) {
	s, ok := l.teams[team]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.spend(Tokens, float64(used-estimated))
	s.offered[Tokens] += float64(used - estimated)
	s.admitted[Tokens] += float64(used - estimated)
}

// DueReports returns the reports that are due, by the name of the allocator that
// receives them.
func (l *Limiter) DueReports(now time.Time) map[string][]Usage {
	due := map[string][]Usage{}
	for team, s := range l.teams {
		s.endShortWindow(now)
		if !s.due(now) {
			continue
		}
		s.updateDemand(now)
		if s.idle() && (!s.hasShare || s.next >= longInterval) { // The share of an idle team is left to expire.
			if s.inFlight == 0 {
				delete(l.teams, team)
			}
			continue
		}
		s.reportPending = true
		s.reported = now
		demand := s.demand
		if s.idle() {
			demand = Amounts{} // A report without demand gives the share back.
			s.hasShare = false
		}
		to := AllocatorOf(team, l.routers)
		due[to] = append(due[to], Usage{Team: team, Limits: s.limits, Demand: demand, Used: s.used, Held: s.heldShare(now)})
	}
	return due
}

// ApplyGrants applies the shares that an allocator has granted. Grants of idle
// teams are ignored.
func (l *Limiter) ApplyGrants(now time.Time, grants []Grant) {
	for _, g := range grants {
		s, ok := l.teams[g.Team]
		if !ok || s.idle() {
			continue
		}
		s.refill(now, l.equalShare(s.limits))
		s.share = g.Share
		s.next = g.NextReport
		s.expiry = now.Add(shareLifetime(g.NextReport))
		s.hasShare = true
		s.reportPending = false
	}
}

// teamState returns the state of the team and creates it if necessary.
func (l *Limiter) teamState(now time.Time, team string) *teamState {
	s, ok := l.teams[team]
	if !ok {
		s = &teamState{refilledAt: now, windowStart: now, shortWindowStart: now, bucket: Amounts{Requests: 1, Tokens: 1}}
		l.teams[team] = s
	}
	return s
}

// equalShare returns an equal part of the limits for each router. A router uses
// it while it has no share.
func (l *Limiter) equalShare(limits Amounts) Amounts {
	for d := range limits {
		limits[d] /= float64(max(1, len(l.routers)))
	}
	return limits
}

// currentShare returns the share that the router enforces now.
func (l *Limiter) currentShare(now time.Time, s *teamState) Amounts {
	if s.hasShare && now.Before(s.expiry) {
		return s.share
	}
	return l.equalShare(s.limits)
}

// heldShare returns the granted share, or zero if there is none or it has
// expired.
func (s *teamState) heldShare(now time.Time) Amounts {
	if !s.hasShare || now.After(s.expiry) {
		return Amounts{}
	}
	return s.share
}

// refill fills the token buckets for the time since the last call, at the rates
// of the granted share, or of equalShare if there is none or it has expired.
func (s *teamState) refill(now time.Time, equalShare Amounts) {
	rates := equalShare
	if s.hasShare && now.Before(s.expiry) {
		rates = s.share
	}
	elapsed := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	for _, d := range []Dimension{Requests, Tokens} {
		capacity := max(1, rates[d]*burstDuration.Seconds())
		s.bucket[d] = min(s.bucket[d]+rates[d]*elapsed, max(capacity, s.bucket[d]))
	}
}

// spend takes the amount from the token bucket of the dimension, if the
// dimension is limited.
func (s *teamState) spend(d Dimension, amount float64) {
	if s.limits[d] > 0 {
		s.bucket[d] -= amount
	}
}

// decide returns the decision on a request under the given share. The level of
// the bucket for Tokens only has to be above zero, because one request may use
// more tokens than the bucket can hold.
func (s *teamState) decide(share Amounts) Decision {
	switch {
	case s.limits[Requests] > 0 && s.bucket[Requests] < 1:
		return refusalOf(Requests, 1-s.bucket[Requests], share)
	case s.limits[Tokens] > 0 && s.bucket[Tokens] <= 0:
		return refusalOf(Tokens, 1-s.bucket[Tokens], share)
	case s.limits[Concurrency] > 0 && float64(s.inFlight) >= max(1, math.Floor(share[Concurrency])):
		return Decision{Dimension: Concurrency, RetryAfter: time.Second}
	default:
		return Decision{Admitted: true}
	}
}

// refusalOf returns a refusal that tells the caller to retry when the bucket will
// have gained the missing amount.
func refusalOf(d Dimension, missing float64, rates Amounts) Decision {
	const maxWait = 30 * time.Second
	if rates[d] <= 0 {
		return Decision{Dimension: d, RetryAfter: maxWait}
	}
	wait := time.Duration(missing / rates[d] * float64(time.Second))
	return Decision{Dimension: d, RetryAfter: min(wait, maxWait)}
}

// due reports whether a report is due: the team has never been reported, its
// reporting interval has passed, or its share becomes scarce.
func (s *teamState) due(now time.Time) bool {
	since := now.Sub(s.reported)
	if s.reported.IsZero() || since >= max(s.next, shortInterval) {
		return true
	}
	return since >= minDemandWindow && !s.reportPending && s.scarce(now)
}

// scarce reports whether the demand in the current window approaches or exceeds
// the share.
func (s *teamState) scarce(now time.Time) bool {
	elapsed := now.Sub(s.windowStart).Seconds()
	if elapsed < minDemandWindow.Seconds() {
		return false
	}
	for _, d := range []Dimension{Requests, Tokens} {
		rate := max(s.offered[d]/elapsed, s.shortRate[d])
		nearShare := s.next > shortInterval && rate > scarceFraction*s.share[d]
		surging := rate > surgeFactor*s.demand[d] && rate > s.share[d]
		if s.limits[d] > 0 && (nearShare || surging) {
			return true
		}
	}
	return s.limits[Concurrency] > 0 && s.offered[Concurrency] > s.share[Concurrency]
}

// endShortWindow updates the short-term rates if the short window has ended.
func (s *teamState) endShortWindow(now time.Time) {
	elapsed := now.Sub(s.shortWindowStart)
	if elapsed < shortInterval {
		return
	}
	for d := range s.shortOffered {
		s.shortRate[d] = s.shortOffered[d] / elapsed.Seconds()
	}
	s.shortOffered = Amounts{}
	s.shortWindowStart = now
}

// updateDemand ends the window and updates the moving averages of the demand and
// the usage. It leaves a window shorter than minDemandWindow open, except before
// the first report.
func (s *teamState) updateDemand(now time.Time) {
	elapsed := now.Sub(s.windowStart).Seconds()
	if elapsed < minDemandWindow.Seconds() && !s.reported.IsZero() {
		return
	}
	first := s.reported.IsZero()
	elapsed = max(elapsed, minDemandWindow.Seconds())
	for _, d := range []Dimension{Requests, Tokens} {
		rate := s.offered[d] / elapsed
		if s.shortRate[d] > surgeFactor*rate {
			rate = s.shortRate[d] // The window began long before the surge, so its average is too low.
		}
		used := s.admitted[d] / elapsed
		if !first {
			rate = demandWeight*rate + (1-demandWeight)*s.demand[d]
			used = demandWeight*used + (1-demandWeight)*s.used[d]
		}
		s.demand[d], s.used[d] = max(0, rate), max(0, used)
	}
	s.admitted = Amounts{}
	s.demand[Concurrency] = max(s.offered[Concurrency], float64(s.inFlight))
	s.offered = Amounts{Concurrency: float64(s.inFlight)}
	s.windowStart = now
}

// idle reports whether the team has practically no demand and no request in
// flight.
func (s *teamState) idle() bool {
	return s.demand[Requests] < idleDemand && s.inFlight == 0
}
