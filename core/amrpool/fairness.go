package amrpool

import (
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// demandTimeConstant is the time constant of the demand by priority and by team.
	demandTimeConstant = time.Second

	// demandStep is the time after which the demand is decayed anew.
	demandStep = 20 * time.Millisecond

	// minDemand is the demand of a team, in seconds of a server, below which the team
	// is forgotten.
	minDemand = 1e-6

	// fairTolerance is the multiple of its fair part from which a team has more than
	// that. It is above 1 because the demand of a team varies.
	fairTolerance = 1.1

	// unfairShare is the share of its limit for which a request of such a team may
	// wait. The rest is left to the other teams.
	unfairShare = 0.5

	// minAdmitted is the share of the requests of a priority from which it does not
	// starve, and yieldingServers the share of the servers that yield to one that does.
	minAdmitted     = 0.1
	yieldingServers = 0.1

	// yieldTurn is the time for which a server yields.
	yieldTurn = time.Second

	// maxReserve is the largest share of the servers' time that is reserved for more
	// urgent requests. A rest remains so that no priority starves.
	maxReserve = 0.85
)

// TeamID identifies a team in messages between routers. It is a hash of the team's name,
// or 0 for callers without a team.
type TeamID uint32

// TeamIDOf returns the ID of the named team.
func TeamIDOf(name string) TeamID {
	if name == "" {
		return 0
	}
	return TeamID(max(1, uint32(xxh3.HashString(name))))
}

// teamID returns the ID of the request's team.
func (r *Request) teamID() TeamID {
	if r.TeamID != 0 {
		return r.TeamID
	}
	return TeamIDOf(r.Team)
}

// groupDemand is the demand for the servers of a placement group in the last second, in
// seconds of a server.
type groupDemand struct {
	at       time.Time
	asked    [priorities]float64 // Of all requests, also of those that were refused.
	admitted [priorities]float64
	teams    map[TeamID]*teamDemand

	turns turns
}

// teamDemand is the part of a team in the demand.
type teamDemand struct {
	asked, admitted float64
}

// demandOf returns the demand for the group of the request. For an explanation, it returns
// a copy.
func (f *Fleet) demandOf(now time.Time, r *Request) *groupDemand {
	key := waitKey{r.Pool, r.Group}
	d := f.demands[key]
	switch {
	case d == nil:
		d = &groupDemand{at: now, teams: make(map[TeamID]*teamDemand)}
		if !f.explaining {
			f.demands[key] = d
		}
	case f.explaining:
		d = d.clone()
	}
	if elapsed := now.Sub(d.at); elapsed >= demandStep {
		d.decay(math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds()))
		d.at = now
	}
	return d
}

// clone returns a copy of the demand.
func (d *groupDemand) clone() *groupDemand {
	c := *d
	c.teams = make(map[TeamID]*teamDemand, len(d.teams))
	for id, team := range d.teams {
		copied := *team
		c.teams[id] = &copied
	}
	return &c
}

// decay multiplies the demand by the factor.
func (d *groupDemand) decay(factor float64) {
	for i := range d.asked {
		d.asked[i] *= factor
		d.admitted[i] *= factor
	}
	for id, team := range d.teams {
		team.asked *= factor
		team.admitted *= factor
		if team.asked < minDemand {
			delete(d.teams, id)
		}
	}
}

// record adds a request that needs the given time of a server.
func (d *groupDemand) record(r *Request, serverTime float64, admitted bool) {
	d.asked[r.priority()] += serverTime
	team := d.teams[r.teamID()]
	if team == nil {
		team = &teamDemand{}
		d.teams[r.teamID()] = team
	}
	team.asked += serverTime
	if admitted {
		team.admitted += serverTime
		d.admitted[r.priority()] += serverTime
	}
}

// reserve returns the share of the servers' time that requests more urgent than the
// given priority have asked for.
func (d *groupDemand) reserve(priority, servers int) float64 {
	total := 0.0
	for _, asked := range d.asked[:priority] {
		total += asked
	}
	return min(maxReserve, total/demandTimeConstant.Seconds()/float64(max(1, servers)))
}

// starves reports whether requests less urgent than the given priority are nearly all
// refused because the others alone ask for all the time of the servers.
func (d *groupDemand) starves(priority, servers int) bool {
	if d.reserve(priority+1, servers) < maxReserve {
		return false
	}
	for p := priority + 1; p < priorities; p++ {
		if d.asked[p] > minDemand && d.admitted[p] < minAdmitted*d.asked[p] {
			return true
		}
	}
	return false
}

// yields reports whether the server takes requests of the priority only if these need not
// wait, so that less urgent ones get a part of it too. Servers take turns, and those at
// which less urgent requests wait yield until they have begun.
func (s *server) yields(now time.Time, priority int) bool {
	if _, behind := sumUpTo(&s.occupancy.unbegun, priority); behind > 0 {
		return true
	}
	turn := uint64(now.UnixNano() / int64(yieldTurn))
	return float64(s.rank(turn)>>11)/(1<<53) < yieldingServers
}

// aboveFairPart reports whether the team was admitted more than its fair part by max-min:
// what was admitted is divided so that teams which ask for less than the fair part get
// all, and the others get the fair part.
func (d *groupDemand) aboveFairPart(id TeamID) bool {
	team := d.teams[id]
	if team == nil || len(d.teams) < 2 {
		return false
	}
	var asked []float64
	left := 0.0
	for _, t := range d.teams {
		asked = append(asked, t.asked)
	}
	for _, admitted := range d.admitted { // In a fixed order, so that the sum does not vary.
		left += admitted
	}
	slices.Sort(asked)
	fair := math.Inf(1)
	for i, a := range asked {
		part := left / float64(len(asked)-i)
		if a > part {
			fair = part
			break
		}
		left -= a
	}
	return team.admitted > fair*fairTolerance
}
