package amrexplain

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ID identifies a request. It says which router decided on it and when, so
// that the decision can be found after the router is gone.
type ID struct {
	Router      string
	Incarnation string // Of the router; has no dots.
	Minute      int64  // Since the Unix epoch by the router's clock.
	Sequence    uint64 // Counts the requests of the incarnation.
}

// ParseID returns the id that String wrote.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, ".")
	n := len(parts)
	if n < 4 {
		return ID{}, BadID.New("%q is no request id; copy it from the X-Request-Id header of the answer", s)
	}
	minute, err := strconv.ParseInt(parts[n-2], 36, 64)
	if err != nil {
		return ID{}, BadID.New("%q is no request id; its third part from the end is no time", s)
	}
	sequence, err := strconv.ParseUint(parts[n-1], 36, 64)
	if err != nil {
		return ID{}, BadID.New("%q is no request id; its last part is no number", s)
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

// prefix returns the prefix of the objects that may hold the decision.
func (id ID) prefix() string {
	return fmt.Sprintf("%s%s/%s/", minutePrefix(decisionPrefix, id.Minute), id.Router, id.Incarnation)
}

// IDs makes the ids of one incarnation of a router. It is safe for concurrent
// use.
type IDs struct {
	router      string
	incarnation string
	sequence    atomic.Uint64
}

// NewIDs returns the source of ids for the incarnation of the router.
func NewIDs(router, incarnation string) *IDs {
	return &IDs{router: router, incarnation: incarnation}
}

// Next returns a new id.
func (s *IDs) Next(now time.Time) ID {
	return ID{
		Router:      s.router,
		Incarnation: s.incarnation,
		Minute:      now.Unix() / 60,
		Sequence:    s.sequence.Add(1),
	}
}
