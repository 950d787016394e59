package amrscale

import (
	"time"

	"amaranthreach.example/core/amrpool"
)

const (
	// retryInterval is the time after which a request that waits for the parts of
	// another one is tried again.
	retryInterval = 20 * time.Millisecond

	// maxPartsWait is the longest time for which a request waits for parts.
	maxPartsWait = 300 * time.Millisecond
)

// learner is the way in which routers learn what they need.
type learner interface {
	// pick chooses an engine for the request at its router, and calls done with the
	// choice, which is nil if the request is refused, after the time that this takes.
	pick(q *request, done func(*amrpool.Choice))

	// setVersion tells the routers that all engines have new weights.
	setVersion(version int)
}

// alone is a learner whose routers know only what they do themselves and what
// engines tell them.
type alone struct {
	sim    *simulation
	fleets []*amrpool.Fleet // By router.
}

func newAlone(s *simulation) learner { return newAloneRouters(s) }

func newAloneRouters(s *simulation) *alone {
	l := &alone{sim: s}
	for i := range s.params.Routers {
		l.fleets = append(l.fleets, s.newFleet(i%s.params.Zones))
	}
	return l
}

func (l *alone) pick(q *request, done func(*amrpool.Choice)) {
	pickFrom(l.sim, l.fleets[q.router], q.poolRequest(), l.sim.now, done)
}

// pickFrom chooses an engine from the fleet for a request that waits since begin.
func pickFrom(s *simulation, f *amrpool.Fleet, r amrpool.Request, begin time.Duration, done func(*amrpool.Choice)) {
	r.NoPartsWait = s.now-begin >= maxPartsWait
	choice, denial := f.Pick(s.wall(), r)
	if choice == nil && denial.Reason == amrpool.PartsPending {
		s.at(s.now+retryInterval, func() { pickFrom(s, f, r, begin, done) })
		return
	}
	done(choice)
}

func (l *alone) setVersion(version int) {
	for _, f := range l.fleets {
		tellVersion(l.sim, f, version)
	}
}

// tellVersion tells the fleet that all engines have new weights.
func tellVersion(s *simulation, f *amrpool.Fleet, version int) {
	f.SetTarget(s.wall(), model, version)
	for _, e := range s.engines {
		f.ObserveVersion(e.name, model, version)
	}
}

// omniscient is a learner whose routers share one fleet, so that each knows at once
// what the others do.
type omniscient struct {
	sim   *simulation
	fleet *amrpool.Fleet
}

func newOmniscient(s *simulation) learner {
	return omniscient{sim: s, fleet: s.newFleet(-1)}
}

func (l omniscient) pick(q *request, done func(*amrpool.Choice)) {
	pickFrom(l.sim, l.fleet, q.poolRequest(), l.sim.now, done)
}

func (l omniscient) setVersion(version int) {
	tellVersion(l.sim, l.fleet, version)
}
