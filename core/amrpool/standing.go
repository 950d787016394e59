package amrpool

import (
	"slices"
	"time"
)

// Standing tells whether a server may get a request, and if not, why.
type Standing int

// The standings.
const (
	Good          Standing = iota
	Avoided                // It gets requests only if no other server may.
	OtherGroup             // It is in another placement group.
	OtherSoftware          // It runs another version of the software than the one that began the stream.
	LeavingOrGone          // It accepts no new requests, or is not listed any more.
	Excluded               // The request excludes it.
	Changing               // It is changing its weights.
	Outdated               // Its weights are too old.
	Pausing                // It has asked for no requests until later.
	LimitReached           // It has got as many requests as its limit allows.
)

// String returns the text of the standing in explanations.
func (s Standing) String() string {
	return [...]string{"good", "avoided", "other-group", "other-software", "leaving-or-gone", "excluded", "changing-weights", "stale-weights", "paused", "limit-reached"}[s]
}

// standing tells whether the server may get the request.
func (f *Fleet) standing(now time.Time, s *server, r *Request) Standing {
	switch {
	case !r.Group.contains(s):
		return OtherGroup
	case !s.hasSoftware(r):
		return OtherSoftware
	case !s.acceptsRequests(now):
		return LeavingOrGone
	case slices.Contains(r.Exclude, s.Name):
		return Excluded
	case s.changing(now):
		return Changing
	case f.staleFor(now, s, r.Model) >= f.stale.Limit:
		return Outdated
	case s.paused(now):
		return Pausing
	case !s.withinLimit(now, r):
		return LimitReached
	case now.Before(s.avoidUntil):
		return Avoided
	}
	return Good
}
