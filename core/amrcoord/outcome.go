package amrcoord

import (
	"math"
	"time"

	"amaranthreach.example/core/amrpool"
)

// spillShare is the share of a request's maximum wait from which the excess cost at its
// first group is too high, so that its second group is asked too.
const spillShare = 0.5

// outcome is the outcome of a selection in a group.
type outcome struct {
	placed       bool
	cost, excess time.Duration // If placed.
	denial       amrpool.Denial
}

// outcomeOf returns the outcome of a selection by Pick.
func outcomeOf(choice *amrpool.Choice, denial amrpool.Denial) outcome {
	if choice == nil {
		return outcome{denial: denial}
	}
	return outcome{placed: true, cost: choice.Cost, excess: choice.Excess()}
}

// spills reports whether the second group of the request must be asked too.
func (o outcome) spills(maxWait time.Duration) bool {
	if !o.placed {
		return o.denial.Reason != amrpool.PartsPending
	}
	return o.excess > SpillCost(maxWait)
}

// preferredTo reports whether the outcome in the second group is better than that in the
// first one.
func (o outcome) preferredTo(first outcome) bool {
	switch {
	case !o.placed && !first.placed:
		return milder(first.denial, o.denial) != first.denial
	case o.placed && first.placed:
		return o.cost < first.cost
	}
	return o.placed
}

// SpillCost returns the excess cost at the first group from which the second group of a
// request is asked too. A request without a maximum wait never spills because of its
// cost.
func SpillCost(maxWait time.Duration) time.Duration {
	if maxWait <= 0 {
		return math.MaxInt64
	}
	return time.Duration(spillShare * float64(maxWait))
}

// milder returns the denial that resolves sooner.
func milder(a, b amrpool.Denial) amrpool.Denial {
	sooner := a.Reason == b.Reason && (a.Reason == amrpool.Paused || a.Short != amrpool.ShortOfNothing && b.Short != amrpool.ShortOfNothing) && b.Pause < a.Pause
	if sooner || b.Reason > a.Reason {
		return b
	}
	return a
}
