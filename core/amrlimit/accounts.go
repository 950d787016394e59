package amrlimit

import (
	"math"
	"time"
)

const (
	// Time between reports while a team needs most of its limit, while it needs
	// some of it, and while it needs little.
	busyInterval  = 500 * time.Millisecond
	calmInterval  = 5 * time.Second
	quietInterval = 20 * time.Second

	// Parts of a limit above which a team needs most and some of it.
	busyPart = 0.5
	calmPart = 0.25

	// Part of what nobody wants that is given out on top of the demand. The
	// rest is there for routers whose demand begins.
	spareGranted = 0.5

	// Part of its demand that is reserved for a router that reports seldom.
	seldomReserve = 1.25

	// Bounds and weight of the correction for shares that are not used up,
	// because requests don't come evenly.
	maxBoost    = 1.5
	boostWeight = 0.1

	// Time for which an accountant that took over repeats the shares that
	// routers hold, until it knows them all.
	learning = 4 * busyInterval

	// Time for which a new account asks for more reports than the demand known
	// so far calls for.
	settling = 2 * calmInterval
)

// Accounts gives out the shares of the teams whose accountant the router is.
// It does no I/O and is not safe for concurrent use. The zero value is ready.
type Accounts struct {
	teams map[string]*account
}

type account struct {
	since   time.Time
	boost   Amounts // Factor on the limit.
	holders map[string]holder
}

type holder struct {
	demand  Amounts
	used    Amounts
	share   Amounts
	next    time.Duration
	expires time.Time
}

// reserved returns what the others must leave to the holder: its share, or
// little more than its demand while it reports seldom. It reports at once when
// its demand grows.
func (h holder) reserved(d Dimension) float64 {
	if h.next <= busyInterval || d == Concurrency {
		return h.share[d]
	}
	return min(h.share[d], seldomReserve*h.demand[d])
}

// Report takes in what a router used and returns its new shares.
func (a *Accounts) Report(now time.Time, router string, usages []Usage) []Grant {
	grants := make([]Grant, 0, len(usages))
	for _, u := range usages {
		grants = append(grants, a.account(now, u.Team).report(now, router, u))
	}
	return grants
}

// Expire forgets shares that were not renewed in time.
func (a *Accounts) Expire(now time.Time) {
	for team, account := range a.teams {
		account.expire(now)
		if len(account.holders) == 0 {
			delete(a.teams, team)
		}
	}
}

func (a *Accounts) account(now time.Time, team string) *account {
	if a.teams == nil {
		a.teams = map[string]*account{}
	}
	found, ok := a.teams[team]
	if !ok {
		found = &account{since: now, boost: Amounts{1, 1, 1}, holders: map[string]holder{}}
		a.teams[team] = found
	}
	return found
}

func (a *account) expire(now time.Time) {
	for router, h := range a.holders {
		if now.After(h.expires) {
			delete(a.holders, router)
		}
	}
}

func (a *account) report(now time.Time, router string, u Usage) Grant {
	a.expire(now)
	h := a.holders[router]
	h.demand, h.used = u.Demand, u.Used
	a.holders[router] = h
	grant := Grant{Team: u.Team, Next: quietInterval}
	switch age := now.Sub(a.since); {
	case age < learning:
		grant.Next = busyInterval
	case age < settling:
		grant.Next = calmInterval
	}
	for d := range Dimension(dimensions) {
		if u.Limits[d] == 0 {
			continue
		}
		total, others := a.sums(router, d)
		grant.Next = min(grant.Next, intervalFor(total/u.Limits[d]))
		limit := u.Limits[d] * a.correct(d, u.Limits[d], total)
		if now.Sub(a.since) < learning && u.Held[d] > 0 {
			grant.Share[d] = u.Held[d]
			grant.Next = busyInterval
			continue
		}
		grant.Share[d] = min(a.target(router, d, limit, total), max(0, limit-others))
	}
	h.share, h.next = grant.Share, grant.Next
	h.expires = now.Add(expiry(grant.Next))
	a.holders[router] = h
	if u.Demand.isZero() {
		delete(a.holders, router)
	}
	return grant
}

// intervalFor returns the time between reports while the part of the limit is
// wanted.
func intervalFor(part float64) time.Duration {
	switch {
	case part > busyPart:
		return busyInterval
	case part > calmPart:
		return calmInterval
	default:
		return quietInterval
	}
}

// sums returns the demand of all routers, and what the others must be left.
func (a *account) sums(router string, d Dimension) (demand, others float64) {
	for name, h := range a.holders {
		demand += h.demand[d]
		if name != router {
			others += h.reserved(d)
		}
	}
	return demand, others
}

// correct returns the factor by which the shares together may be above the
// limit. It grows while routers admit less than the limit although more is
// wanted, and shrinks when they admit more.
func (a *account) correct(d Dimension, limit, total float64) float64 {
	if d == Concurrency {
		return 1
	}
	used := 0.0
	for _, h := range a.holders {
		used += h.used[d]
	}
	if total < limit {
		a.boost[d] = 1
		return 1
	}
	step := boostWeight * (1 - used/limit) / float64(len(a.holders))
	a.boost[d] = min(max(a.boost[d]*(1+step), 1), maxBoost)
	return a.boost[d]
}

// target returns the share that the demand of the router earns.
func (a *account) target(router string, d Dimension, limit, total float64) float64 {
	demand := a.holders[router].demand[d]
	if total == 0 {
		return 0
	}
	if d == Concurrency {
		return a.wholeTarget(router, limit, total)
	}
	if total >= limit {
		return limit * demand / total
	}
	return demand + spareGranted*(limit-total)*demand/total
}

// wholeTarget returns a share of requests in flight, in whole numbers that add
// up to the limit when all of it is wanted.
func (a *account) wholeTarget(router string, limit, total float64) float64 {
	scale := 1.0
	if total > limit {
		scale = limit / total
	}
	left := limit
	fractions := map[string]float64{}
	for name, h := range a.holders {
		whole := math.Floor(h.demand[Concurrency] * scale)
		fractions[name] = h.demand[Concurrency]*scale - whole
		left -= whole
	}
	share := math.Floor(a.holders[router].demand[Concurrency] * scale)
	ahead := 0.0
	for name, fraction := range fractions {
		if fraction > fractions[router] || fraction == fractions[router] && name < router {
			ahead++
		}
	}
	count := float64(len(a.holders))
	share += math.Floor(left / count)
	if ahead < left-count*math.Floor(left/count) {
		share++
	}
	return share
}
