package amrorder

import (
	"slices"
	"time"
)

const (
	// maxUpgradeDrain is the longest time for which a change waits for requests to
	// complete, so that a server need not stop serving earlier before its load.
	maxUpgradeDrain = 400 * time.Millisecond

	// upgradeStep is the longest time from the end of a change to the next plan.
	upgradeStep = 50 * time.Millisecond

	// answerTimeout is the time after which a server that has not reported its state counts
	// as down. Until then its turn to load is kept for it.
	answerTimeout = 250 * time.Millisecond

	// plannedShare is the share of the bound in which a rollout is planned to end. The
	// rest is left for changes that fail or take longer.
	plannedShare = 2.0 / 3
)

// UpgradeConditions are the conditions under which PlanUnder plans changes.
type UpgradeConditions struct {
	Loads      int           // Number of servers that can load weights at the same time.
	Overloaded bool          // Requests to the pool are refused or wait long.
	Bound      time.Duration // Time after the declaration of weights in which all servers must hold them; 0 if there is none.
}

// UpgradeStatus is the state of a rollout at the last call of PlanUnder.
type UpgradeStatus struct {
	Away       int // Servers that get no requests because of the rollout.
	Limit      int // Largest allowed number of these.
	Overloaded bool
}

// ChangeStage is a stage of a server's change. The caller reports each that it observes.
type ChangeStage int

// The stages.
const (
	ChangePlanned    ChangeStage = iota // PlanUnder or Plan returned the server.
	ChangeAnnounced                     // All routers have been told to send it no requests.
	ChangeAnswered                      // The server has reported its state.
	ChangeReady                         // It has drained and can load the weights.
	ChangeLoading                       // It has a load slot.
	ChangeUnanswered                    // It does not report its state.

	changeStages
)

// change is a change of a server's weights in progress.
type change struct {
	at      [changeStages]time.Time // Beginning of each stage; zero before.
	attempt bool                    // The server was down when the change was planned.
}

// newChange returns a change that is planned at time now.
func newChange(now time.Time, attempt bool) *change {
	c := &change{attempt: attempt}
	c.at[ChangePlanned] = now
	return c
}

// reached reports whether the stage has begun.
func (c *change) reached(stage ChangeStage) bool {
	return !c.at[stage].IsZero()
}

// silent reports whether the server has not reported its state although it was asked.
func (c *change) silent(now time.Time) bool {
	if c.reached(ChangeAnswered) {
		return false
	}
	return c.attempt || c.reached(ChangeAnnounced) && now.Sub(c.at[ChangeAnnounced]) >= answerTimeout
}

// PlanUnder is like Plan for this load: weights are declared while a part of the servers is
// down, or while more requests arrive than the servers can answer. A server's change
// starts only when its turn to load comes by the time at which it has drained. Under
// overload, no more servers are away than are needed to end within plannedShare of the
// bound. Servers that are down, or did not answer the last time, do not count: changes of
// these are attempts.
//
// The caller must report the stages of each change with Advance, and its end with Finish.
func (u *Upgrade) PlanUnder(now time.Time, target int, servers []UpgradeServer, c UpgradeConditions) []string {
	c.Loads = max(c.Loads, 1)
	up, down := u.divide(u.outdated(now, target, servers))
	away := u.away(now, servers)
	highest := u.highestLimit(c.Loads)
	limit := highest
	if c.Overloaded && c.Bound > 0 {
		limit = max(1, min(limit, len(away)+u.missing(now, u.timeLeft(target, servers, c.Bound), away)))
	}
	slots := u.loadSlots(now, c.Loads)
	preparation, load := u.preparation.estimate(priorPreparation), u.shortestLoad()
	var names []string
	for _, s := range up {
		if len(away)+len(names) >= limit || slots.first().After(now.Add(preparation+upgradeStep)) {
			break
		}
		slots.take(now.Add(preparation), load)
		names = append(names, s.Name)
		u.running[s.Name] = newChange(now, false)
	}
	u.status = UpgradeStatus{Away: len(away) + len(names), Limit: limit, Overloaded: c.Overloaded}
	attempts := highest - u.status.Away
	if c.Overloaded && len(up) > 0 { // A server that answers is away too.
		attempts = min(1, limit+1-u.status.Away, attempts)
	}
	for _, s := range down[:min(len(down), max(0, attempts-u.attempts()))] {
		names = append(names, s.Name)
		u.running[s.Name] = newChange(now, true)
	}
	return names
}

// divide divides servers into those that are up and those that are down, of which those
// that were tried last come last.
func (u *Upgrade) divide(servers []UpgradeServer) (up, down []UpgradeServer) {
	for _, s := range servers {
		if s.Down || u.unanswered[s.Name] {
			down = append(down, s)
		} else {
			up = append(up, s)
		}
	}
	slices.SortStableFunc(down, func(a, b UpgradeServer) int { return u.retryAt[a.Name].Compare(u.retryAt[b.Name]) })
	return up, down
}

// Status returns the state of the rollout at the last call of PlanUnder.
func (u *Upgrade) Status() UpgradeStatus {
	return u.status
}

// Advance records that a stage of the server's change begins.
func (u *Upgrade) Advance(now time.Time, name string, stage ChangeStage) {
	c := u.running[name]
	if c == nil {
		return
	}
	c.at[stage] = now
	switch stage {
	case ChangeAnswered:
		delete(u.unanswered, name)
	case ChangeReady:
		u.preparation.add(now.Sub(c.at[ChangePlanned]))
	case ChangeUnanswered:
		u.unanswered[name] = true
	}
}

// attempts returns the number of changes in progress of servers that were down and have
// not answered since.
func (u *Upgrade) attempts() int {
	n := 0
	for _, c := range u.running {
		if c.attempt && !c.reached(ChangeAnswered) {
			n++
		}
	}
	return n
}

// away returns the changes in progress of servers that would serve otherwise: they are
// neither gone nor leaving, and have not failed or have answered since.
func (u *Upgrade) away(now time.Time, servers []UpgradeServer) []*change {
	var away []*change
	for _, s := range servers {
		if c := u.running[s.Name]; c != nil && !s.Draining && !c.silent(now) && (!s.Down || c.reached(ChangeAnswered)) {
			away = append(away, c)
		}
	}
	return away
}

// highestLimit returns how many servers may be away without overload: those that can load
// and those that must drain meanwhile so that no load slot stays free.
func (u *Upgrade) highestLimit(loads int) int {
	drain, load := min(u.preparation.estimate(priorPreparation), maxUpgradeDrain), u.load.estimate(priorLoad)
	return loads + ceilDiv(time.Duration(loads)*drain, max(load, 1))
}

// timeLeft returns the time left for the change of each server that is up and has yet to
// begin with it, in ascending order.
func (u *Upgrade) timeLeft(target int, servers []UpgradeServer, bound time.Duration) []time.Duration {
	var left []time.Duration
	for _, s := range servers {
		if s.Version < target && !s.Draining && !s.Down && !u.unanswered[s.Name] && u.running[s.Name] == nil {
			left = append(left, time.Duration(plannedShare*float64(bound))-s.Outdated)
		}
	}
	slices.Sort(left)
	return left
}

// missing returns how many more servers must be away, in addition to the given changes, so
// that each server changes in the time left to it. If one cannot, these are all servers that
// must change.
func (u *Upgrade) missing(now time.Time, left []time.Duration, away []*change) int {
	preparation, load := u.preparation.estimate(priorPreparation), u.load.estimate(priorLoad)
	cycle := preparation + load + upgradeStep
	missing := 0
	for i, d := range left {
		if i+1 < len(left) && left[i+1] == d {
			continue
		}
		each := int(d / cycle) // Changes of a server after another.
		if each < 1 {
			return len(left)
		}
		changes := i + 1
		for _, c := range away {
			changes -= max(0, int((d-c.remaining(now, preparation, load))/cycle))
		}
		missing = max(missing, ceilDiv(changes, each))
	}
	return missing
}

// remaining returns the expected time until the change ends.
func (c *change) remaining(now time.Time, preparation, load time.Duration) time.Duration {
	switch {
	case c.reached(ChangeLoading):
		return max(0, c.at[ChangeLoading].Add(load).Sub(now))
	case c.reached(ChangeReady):
		return load
	}
	return max(0, c.at[ChangePlanned].Add(preparation).Sub(now)) + load
}
