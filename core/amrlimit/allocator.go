package amrlimit

import (
	"math"
	"time"
)

const (
	// Time between the reports of a router while the demand of all routers is
	// high, medium or low in relation to the team's limit.
	shortInterval  = 500 * time.Millisecond
	mediumInterval = 5 * time.Second
	longInterval   = 20 * time.Second

	// Fractions of a limit above which the demand is high and medium.
	highDemand   = 0.5
	mediumDemand = 0.25

	// Fraction of the unused limit that is granted to the routers in addition to
	// their demand. The rest is left for routers that begin to get requests.
	spareFraction = 0.5

	// Multiple of its demand that is reserved for a router while its reporting
	// interval is longer than shortInterval.
	reserveFactor = 1.25

	// Upper bound and gain of the correction for shares that routers cannot use
	// up because requests do not arrive evenly.
	maxCorrection  = 1.5
	correctionGain = 0.1

	// Time during which a router that has just become the allocator confirms
	// the shares that the other routers hold, because it does not know all of
	// them yet.
	learningPeriod = 4 * shortInterval

	// Time during which a new allocation asks for reports at least every
	// mediumInterval, because it may not know the whole demand yet.
	settlingPeriod = 2 * mediumInterval
)

// Allocator grants shares of the limits of those teams for which this router is
// the allocator. It does no I/O and is not safe for concurrent use. The zero value
// is ready to use.
type Allocator struct {
	teams map[string]*allocation
}

// allocation is the distribution of the limits of one team.
type allocation struct {
	since      time.Time // When it was created.
	correction Amounts   // Factors by which the limits are multiplied, at least 1.
	routers    map[string]routerState
}

// routerState is the last report of a router and the share it was granted.
type routerState struct {
	demand Amounts
	used   Amounts
	share  Amounts
	next   time.Duration // Time until its next report.
	expiry time.Time     // When the share may be granted to other routers.
}

// reserved returns the amount that must not be granted to other routers. This is
// the share of the router, or less for a rate while the reporting interval is
// longer than shortInterval: then the demand with a margin is enough, because the
// router reports immediately when its demand approaches its share.
func (s routerState) reserved(d Dimension) float64 {
	if s.next <= shortInterval || d == Concurrency {
		return s.share[d]
	}
	return min(s.share[d], reserveFactor*s.demand[d])
}

// Report processes the report of a router and returns its new shares, one for
// each of the usages.
func (a *Allocator) Report(now time.Time, router string, usages []Usage) []Grant {
	grants := make([]Grant, 0, len(usages))
	for _, u := range usages {
		grants = append(grants, a.allocation(now, u.Team).report(now, router, u))
	}
	return grants
}

// Expire removes the shares that were not renewed in time.
func (a *Allocator) Expire(now time.Time) {
	for team, teamAllocation := range a.teams {
		teamAllocation.expire(now)
		if len(teamAllocation.routers) == 0 {
			delete(a.teams, team)
		}
	}
}

// allocation returns the allocation of the team and creates it if necessary.
func (a *Allocator) allocation(now time.Time, team string) *allocation {
	if a.teams == nil {
		a.teams = map[string]*allocation{}
	}
	found, ok := a.teams[team]
	if !ok {
		found = &allocation{since: now, correction: Amounts{1, 1, 1}, routers: map[string]routerState{}}
		a.teams[team] = found
	}
	return found
}

// expire removes the routers whose share has expired.
func (a *allocation) expire(now time.Time) {
	for router, s := range a.routers {
		if now.After(s.expiry) {
			delete(a.routers, router)
		}
	}
}

// report processes the usage that a router reports and returns its new share. A
// router that reports no demand gives up its share.
func (a *allocation) report(now time.Time, router string, u Usage) Grant {
	a.expire(now)
	s := a.routers[router]
	s.demand, s.used = u.Demand, u.Used
	a.routers[router] = s
	grant := Grant{Team: u.Team, NextReport: longInterval}
	switch age := now.Sub(a.since); {
	case age < learningPeriod:
		grant.NextReport = shortInterval
	case age < settlingPeriod:
		grant.NextReport = mediumInterval
	}
	for d := range Dimension(dimensions) {
		if u.Limits[d] == 0 {
			continue
		}
		total, reservedByOthers := a.totals(router, d)
		grant.NextReport = min(grant.NextReport, intervalFor(total/u.Limits[d]))
		limit := u.Limits[d] * a.updateCorrection(d, u.Limits[d], total)
		if now.Sub(a.since) < learningPeriod && u.Held[d] > 0 {
			grant.Share[d] = u.Held[d]
			grant.NextReport = shortInterval
			continue
		}
		grant.Share[d] = min(a.targetShare(router, d, limit, total), max(0, limit-reservedByOthers))
	}
	s.share, s.next = grant.Share, grant.NextReport
	s.expiry = now.Add(shareExpiry(grant.NextReport))
	a.routers[router] = s
	if u.Demand.isZero() {
		delete(a.routers, router)
	}
	return grant
}

// intervalFor returns the time between reports for a demand, given as a fraction
// of the limit.
func intervalFor(demand float64) time.Duration {
	switch {
	case demand > highDemand:
		return shortInterval
	case demand > mediumDemand:
		return mediumInterval
	default:
		return longInterval
	}
}

// totals returns the demand of all routers including the given one, and the
// amount that is reserved for the other routers.
func (a *allocation) totals(router string, d Dimension) (demand, reservedByOthers float64) {
	for name, s := range a.routers {
		demand += s.demand[d]
		if name != router {
			reservedByOthers += s.reserved(d)
		}
	}
	return demand, reservedByOthers
}

// updateCorrection updates and returns the factor by which the sum of the shares
// may exceed the limit. The factor increases while the routers together admit
// less than the limit although the demand is higher, and decreases towards 1
// while they admit more. It is 1 for Concurrency and while the demand is below
// the limit.
func (a *allocation) updateCorrection(d Dimension, limit, total float64) float64 {
	if d == Concurrency {
		return 1
	}
	used := 0.0
	for _, s := range a.routers {
		used += s.used[d]
	}
	if total < limit {
		a.correction[d] = 1
		return 1
	}
	step := correctionGain * (1 - used/limit) / float64(len(a.routers))
	a.correction[d] = min(max(a.correction[d]*(1+step), 1), maxCorrection)
	return a.correction[d]
}

// targetShare returns the share of the router in proportion to its demand,
// before the shares of other routers are taken into account. If the limit
// exceeds the demand of all routers, the share includes a part of the rest.
func (a *allocation) targetShare(router string, d Dimension, limit, total float64) float64 {
	demand := a.routers[router].demand[d]
	if total == 0 {
		return 0
	}
	if d == Concurrency {
		return a.concurrencyTargetShare(router, limit, total)
	}
	if total >= limit {
		return limit * demand / total
	}
	return demand + spareFraction*(limit-total)*demand/total
}

// concurrencyTargetShare returns the target share of the router for Concurrency.
// Such shares are whole numbers in proportion to the demand. What remains of the
// limit after rounding down is divided evenly, and the last units go to the
// routers with the largest remainders, so that the shares add up to the limit.
func (a *allocation) concurrencyTargetShare(router string, limit, total float64) float64 {
	scale := 1.0
	if total > limit {
		scale = limit / total
	}
	rest := limit // Not distributed yet.
	fractions := map[string]float64{}
	for name, s := range a.routers {
		whole := math.Floor(s.demand[Concurrency] * scale)
		fractions[name] = s.demand[Concurrency]*scale - whole
		rest -= whole
	}
	share := math.Floor(a.routers[router].demand[Concurrency] * scale)
	ahead := 0.0
	for name, fraction := range fractions {
		if fraction > fractions[router] || fraction == fractions[router] && name < router {
			ahead++
		}
	}
	count := float64(len(a.routers))
	share += math.Floor(rest / count)
	if ahead < rest-count*math.Floor(rest/count) {
		share++
	}
	return share
}
