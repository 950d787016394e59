package amrlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// Time's worth of a rate that may be used at once.
	burst = 500 * time.Millisecond

	// Shortest time over which demand is measured.
	minWindow = 250 * time.Millisecond

	// Weight of the newest window in the demand.
	demandWeight = 0.6

	// Part of a share above which the router asks for more at once.
	scarcePart = 0.8

	// Growth of the demand at which the router asks for more at once.
	jumpFactor = 2

	// Demand below which a team counts as idle.
	idleDemand = 1e-2
)

// Limiter admits the requests of a router by its shares of the teams' limits.
// It does no I/O and is not safe for concurrent use.
type Limiter struct {
	self    string
	routers []string
	teams   map[string]*usage
}

// usage is the state of a team at the router.
type usage struct {
	limits  Amounts
	share   Amounts
	expires time.Time // Of the share.
	held    bool

	level    Amounts // What may be used at once; below zero after large requests.
	filled   time.Time
	inFlight int

	window   time.Time // When the window began.
	offered  Amounts   // In the window.
	admitted Amounts   // In the window.
	moment   time.Time // When the newest short window began.
	recent   Amounts   // Offered in it.
	surge    Amounts   // Rates of the last short window.
	demand   Amounts
	used     Amounts
	reported time.Time
	next     time.Duration
	asking   bool
}

// NewLimiter returns the limiter of the router.
func NewLimiter(self string) *Limiter {
	return &Limiter{self: self, routers: []string{self}, teams: map[string]*usage{}}
}

// SetRouters sets the live routers, the own one among them.
func (l *Limiter) SetRouters(routers []string) {
	l.routers = slices.Clone(routers)
}

// Verdict says whether a request may run now.
type Verdict struct {
	Admitted   bool
	Dimension  Dimension // The limit that is used up.
	RetryAfter time.Duration
}

// Admit decides on a request of the team that is estimated at the number of
// tokens. An admitted request must be released.
func (l *Limiter) Admit(now time.Time, team string, limits Amounts, tokens int) Verdict {
	if limits.isZero() {
		return Verdict{Admitted: true}
	}
	u := l.usage(now, team)
	u.limits = limits
	u.fill(now, l.fallback(limits))
	u.offered[Requests]++
	u.offered[Tokens] += float64(tokens)
	u.recent[Requests]++
	u.recent[Tokens] += float64(tokens)
	u.offered[Concurrency] = max(u.offered[Concurrency], float64(u.inFlight+1))
	if v := u.check(l.rates(now, u)); !v.Admitted {
		return v
	}
	u.spend(Requests, 1)
	u.spend(Tokens, float64(tokens))
	u.admitted[Requests]++
	u.admitted[Tokens] += float64(tokens)
	u.inFlight++
	return Verdict{Admitted: true}
}

// Release ends a request that was admitted and corrects the estimate of its
// tokens.
func (l *Limiter) Release(team string, estimated, used int) {
	u, ok := l.teams[team]
	if !ok {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	u.spend(Tokens, float64(used-estimated))
	u.offered[Tokens] += float64(used - estimated)
	u.admitted[Tokens] += float64(used - estimated)
}

// Reports returns what is due to be told to each accountant.
func (l *Limiter) Reports(now time.Time) map[string][]Usage {
	due := map[string][]Usage{}
	for team, u := range l.teams {
		u.roll(now)
		if !u.due(now) {
			continue
		}
		u.measure(now)
		if u.idle() && (!u.held || u.next >= quietInterval) { // A share of a quiet team may expire.
			if u.inFlight == 0 {
				delete(l.teams, team)
			}
			continue
		}
		u.asking = true
		u.reported = now
		demand := u.demand
		if u.idle() {
			demand = Amounts{} // Gives the share back.
			u.held = false
		}
		to := Accountant(team, l.routers)
		due[to] = append(due[to], Usage{Team: team, Limits: u.limits, Demand: demand, Used: u.used, Held: u.heldShare(now)})
	}
	return due
}

// Granted takes in the shares that an accountant gave.
func (l *Limiter) Granted(now time.Time, grants []Grant) {
	for _, g := range grants {
		u, ok := l.teams[g.Team]
		if !ok || u.idle() {
			continue
		}
		u.fill(now, l.fallback(u.limits))
		u.share = g.Share
		u.next = g.Next
		u.expires = now.Add(lifetime(g.Next))
		u.held = true
		u.asking = false
	}
}

func (l *Limiter) usage(now time.Time, team string) *usage {
	u, ok := l.teams[team]
	if !ok {
		u = &usage{filled: now, window: now, moment: now, level: Amounts{Requests: 1, Tokens: 1}}
		l.teams[team] = u
	}
	return u
}

// fallback returns the share of a router that was given none.
func (l *Limiter) fallback(limits Amounts) Amounts {
	for d := range limits {
		limits[d] /= float64(max(1, len(l.routers)))
	}
	return limits
}

// rates returns the share that the router works with now.
func (l *Limiter) rates(now time.Time, u *usage) Amounts {
	if u.held && now.Before(u.expires) {
		return u.share
	}
	return l.fallback(u.limits)
}

func (u *usage) heldShare(now time.Time) Amounts {
	if !u.held || now.After(u.expires) {
		return Amounts{}
	}
	return u.share
}

// fill adds what the share gave since the last call.
func (u *usage) fill(now time.Time, fallback Amounts) {
	rates := fallback
	if u.held && now.Before(u.expires) {
		rates = u.share
	}
	elapsed := now.Sub(u.filled).Seconds()
	u.filled = now
	for _, d := range []Dimension{Requests, Tokens} {
		room := max(1, rates[d]*burst.Seconds())
		u.level[d] = min(u.level[d]+rates[d]*elapsed, max(room, u.level[d]))
	}
}

// spend takes from what may be used at once, where there is a limit.
func (u *usage) spend(d Dimension, amount float64) {
	if u.limits[d] > 0 {
		u.level[d] -= amount
	}
}

func (u *usage) check(rates Amounts) Verdict {
	switch {
	case u.limits[Requests] > 0 && u.level[Requests] < 1:
		return refused(Requests, 1-u.level[Requests], rates)
	case u.limits[Tokens] > 0 && u.level[Tokens] <= 0:
		return refused(Tokens, 1-u.level[Tokens], rates)
	case u.limits[Concurrency] > 0 && float64(u.inFlight) >= max(1, math.Floor(rates[Concurrency])):
		return Verdict{Dimension: Concurrency, RetryAfter: time.Second}
	default:
		return Verdict{Admitted: true}
	}
}

// refused returns a refusal until the missing amount will be there.
func refused(d Dimension, missing float64, rates Amounts) Verdict {
	const longest = 30 * time.Second
	if rates[d] <= 0 {
		return Verdict{Dimension: d, RetryAfter: longest}
	}
	wait := time.Duration(missing / rates[d] * float64(time.Second))
	return Verdict{Dimension: d, RetryAfter: min(wait, longest)}
}

// due reports whether the accountant is to be told now: when the time has come,
// at first sight, and when the share becomes scarce.
func (u *usage) due(now time.Time) bool {
	since := now.Sub(u.reported)
	if u.reported.IsZero() || since >= max(u.next, busyInterval) {
		return true
	}
	return since >= minWindow && !u.asking && u.scarce(now)
}

// scarce reports whether the demand of the window comes near the share.
func (u *usage) scarce(now time.Time) bool {
	elapsed := now.Sub(u.window).Seconds()
	if elapsed < minWindow.Seconds() {
		return false
	}
	for _, d := range []Dimension{Requests, Tokens} {
		rate := max(u.offered[d]/elapsed, u.surge[d])
		calm := u.next > busyInterval && rate > scarcePart*u.share[d]
		jump := rate > jumpFactor*u.demand[d] && rate > u.share[d]
		if u.limits[d] > 0 && (calm || jump) {
			return true
		}
	}
	return u.limits[Concurrency] > 0 && u.offered[Concurrency] > u.share[Concurrency]
}

// roll ends the short window.
func (u *usage) roll(now time.Time) {
	elapsed := now.Sub(u.moment)
	if elapsed < busyInterval {
		return
	}
	for d := range u.recent {
		u.surge[d] = u.recent[d] / elapsed.Seconds()
	}
	u.recent = Amounts{}
	u.moment = now
}

// measure ends the window and brings the demand up to date.
func (u *usage) measure(now time.Time) {
	elapsed := now.Sub(u.window).Seconds()
	if elapsed < minWindow.Seconds() && !u.reported.IsZero() {
		return
	}
	first := u.reported.IsZero()
	elapsed = max(elapsed, minWindow.Seconds())
	for _, d := range []Dimension{Requests, Tokens} {
		rate := u.offered[d] / elapsed
		if u.surge[d] > jumpFactor*rate {
			rate = u.surge[d] // The window is long and began before the surge.
		}
		used := u.admitted[d] / elapsed
		if !first {
			rate = demandWeight*rate + (1-demandWeight)*u.demand[d]
			used = demandWeight*used + (1-demandWeight)*u.used[d]
		}
		u.demand[d], u.used[d] = max(0, rate), max(0, used)
	}
	u.admitted = Amounts{}
	u.demand[Concurrency] = max(u.offered[Concurrency], float64(u.inFlight))
	u.offered = Amounts{Concurrency: float64(u.inFlight)}
	u.window = now
}

func (u *usage) idle() bool {
	return u.demand[Requests] < idleDemand && u.inFlight == 0
}
