package amrexplain

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ID identifies a request. It names the router that handled the request and the time
// of its arrival, so that another router can find the decision after that router has
// stopped.
type ID struct {
	Router      string
	Incarnation string // Identifies the run of the router's process; contains no dots.
	Minute      int64  // Minutes from the Unix epoch to the arrival, by the router's clock.
	Sequence    uint64 // Number of the request in the incarnation, from 1.
}

// ParseID parses the output of ID.String. The error is of type InvalidID.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, ".")
	n := len(parts)
	if n < 4 {
		return ID{}, InvalidID.New("%q is no request id; copy it from the X-Request-Id header of the answer", s)
	}
	minute, err := strconv.ParseInt(parts[n-2], 36, 64)
	if err != nil {
		return ID{}, InvalidID.New("%q is no request id; its third part from the end is no time", s)
	}
	sequence, err := strconv.ParseUint(parts[n-1], 36, 64)
	if err != nil {
		return ID{}, InvalidID.New("%q is no request id; its last part is no number", s)
	}
	return ID{
		Router:      strings.Join(parts[:n-3], "."),
		Incarnation: parts[n-3],
		Minute:      minute,
		Sequence:    sequence,
	}, nil
}

// String returns the parts of the id, separated by dots.
func (id ID) String() string {
	return strings.Join([]string{
		id.Router,
		id.Incarnation,
		strconv.FormatInt(id.Minute, 36),
		strconv.FormatUint(id.Sequence, 36),
	}, ".")
}

// prefix returns the key prefix of the objects that may hold the decision.
func (id ID) prefix() string {
	return fmt.Sprintf("%s%s/%s/", minutePrefix(decisionPrefix, id.Minute), id.Router, id.Incarnation)
}

// IDGenerator generates the request ids of one incarnation of a router. It is safe
// for concurrent use.
type IDGenerator struct {
	router      string
	incarnation string
	sequence    atomic.Uint64
}

// NewIDGenerator returns a generator of ids for the incarnation of the router.
func NewIDGenerator(router, incarnation string) *IDGenerator {
	return &IDGenerator{router: router, incarnation: incarnation}
}

// Next returns a new id for a request that arrived at the time now.
func (g *IDGenerator) Next(now time.Time) ID {
	return ID{
		Router:      g.router,
		Incarnation: g.incarnation,
		Minute:      now.Unix() / 60,
		Sequence:    g.sequence.Add(1),
	}
}
