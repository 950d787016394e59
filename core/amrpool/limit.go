package amrpool

import "time"

// RateLimit is what a response says about the requests per second that its server
// takes from all routers together.
type RateLimit struct {
	Stated    bool    // Whether the response says anything about a limit.
	PerSecond float64 // 0 if the server names no limit.
}

// rateLimit is the limit that an incarnation of a server has named, as of the response
// that stated it. The zero value is that of a server that has named none.
type rateLimit struct {
	perSecond  float64   // 0 if there is no limit.
	sentAt     time.Time // Time at which the request of the response was sent.
	receivedAt time.Time // Time at which the response arrived.
}

// exists reports whether the server has a limit.
func (l rateLimit) exists() bool {
	return l.perSecond > 0
}

// updated returns the limit after the given statement, and reports whether it replaced
// l. Of two statements of which neither is known to be the later one, because each
// request was sent before the response to the other arrived, the lower limit holds.
func (l rateLimit) updated(next rateLimit) (rateLimit, bool) {
	switch {
	case next.receivedAt.Before(l.sentAt):
		return l, false
	case next.sentAt.Before(l.receivedAt) && l.exists() && (!next.exists() || next.perSecond > l.perSecond):
		return l, false
	case !l.exists() && !next.exists():
		return l, false
	}
	return next, true
}
