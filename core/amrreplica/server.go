package amrreplica

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrfollow"
)

const (
	// maxHold is the maximum time for which a request for changes is held.
	maxHold = 2 * time.Second

	// maxAge is the time since the table itself responded from which a router
	// returns no changes. Those who ask then read the table themselves.
	maxAge = 1500 * time.Millisecond

	// servingTime is the time after a request for changes during which the router
	// counts as one that passes changes on.
	servingTime = 5 * time.Second

	// maxSnapshots is the maximum number of whole copies that are sent at the same
	// time.
	maxSnapshots = 4

	// minCompressedRows is the number of changed rows from which a response is
	// compressed.
	minCompressedRows = 8
)

// Server serves a router's copies of tables to other routers. Its fields must not be
// changed while it serves.
type Server struct {
	Followers map[string]*amrfollow.Follower // By name of the table.
	Clock     clockwork.Clock
	Stopping  func() bool // Reports whether the router is about to stop; then it passes no changes on.

	askedAt   atomic.Int64 // Time of the last request for changes, in Unix nanoseconds.
	snapshots atomic.Int64 // Whole copies that are being sent.

	mu     sync.Mutex
	bodies map[*amrfollow.Follower]*bodies
}

// Serving reports whether other routers rely on this one for changes.
func (s *Server) Serving() bool {
	return s.Clock.Now().UnixNano()-s.askedAt.Load() < int64(servingTime)
}

// ServeHTTP responds with the router's copy of the table that the path value "table"
// names, or with the changes after a position. If the router cannot reach the table
// itself, it responds with status 503 unless the request asks for the last known copy
// and the router has one.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.Followers[r.PathValue("table")]
	values := r.URL.Query()
	switch {
	case f == nil:
		http.Error(w, "no such table", http.StatusNotFound)
	case values.Has(paramAfter):
		query, err := parseChangesQuery(values)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.serveChanges(w, r, f, query)
	case !f.Connected() && (!values.Has(paramLastKnown) || !f.Copy().Filled()):
		http.Error(w, "out of touch with the table", http.StatusServiceUnavailable)
	default:
		s.serveSnapshot(w, f)
	}
}

// serveSnapshot responds with all rows, or with status 503 if that many others are
// being sent already that the host's link would delay them all.
func (s *Server) serveSnapshot(w http.ResponseWriter, f *amrfollow.Follower) {
	defer s.snapshots.Add(-1)
	if s.snapshots.Add(1) > maxSnapshots {
		http.Error(w, "sending other copies; ask another router", http.StatusServiceUnavailable)
		return
	}
	data, position := s.bodiesOf(f).snapshot(f.Copy())
	writeState(w, s.state(s.Clock.Now(), f, position))
	writeCompressed(w, data)
}

// bodiesOf returns the bodies for the follower's table.
func (s *Server) bodiesOf(f *amrfollow.Follower) *bodies {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodies == nil {
		s.bodies = make(map[*amrfollow.Follower]*bodies)
	}
	if s.bodies[f] == nil {
		s.bodies[f] = &bodies{}
	}
	return s.bodies[f]
}

// state returns the state of the copy at the position.
func (s *Server) state(now time.Time, f *amrfollow.Follower, position amrfollow.Position) copyState {
	return copyState{
		Connected: f.Connected(), Era: position.Era, Version: position.Version,
		NowMS: f.Copy().TableNow(now).Milliseconds(), AgeMS: max(0, now.Sub(f.Copy().LastContact()).Milliseconds()),
	}
}

// serveChanges responds with the rows that changed after the position in the query as
// soon as there are any, or without rows after the time that the query allows. It
// responds with status 503 when the table has not responded lately.
func (s *Server) serveChanges(w http.ResponseWriter, r *http.Request, f *amrfollow.Follower, query changesQuery) {
	s.askedAt.Store(s.Clock.Now().UnixNano())
	ctx, cancel := clockwork.WithTimeout(r.Context(), s.Clock, min(query.wait, maxHold))
	defer cancel()
	for {
		changed := f.Copy().Changed()
		now := s.Clock.Now()
		age := now.Sub(f.Copy().LastContact())
		if age > maxAge || s.Stopping() {
			http.Error(w, "out of touch with the table", http.StatusServiceUnavailable)
			return
		}
		changes := f.Copy().Changes(query.after)
		if hasNews(changes, query.after) || ctx.Err() != nil && changes.Compare(query.after) >= 0 {
			state := s.state(now, f, changes.Position)
			state.Keys = uint64(changes.Keys)
			writeState(w, state)
			if len(changes.Rows) >= minCompressedRows {
				writeCompressed(w, s.bodiesOf(f).changesAfter(query.after, changes))
				return
			}
			_ = json.NewEncoder(w).Encode(rowsWire(changes.Rows)) // The other router detects a truncated body.
			return
		}
		if ctx.Err() != nil {
			http.Error(w, "this copy is older", http.StatusServiceUnavailable)
			return
		}
		s.awaitChange(ctx, changed, maxAge-age)
	}
}

// hasNews reports whether the changes after a position need not be waited for.
func hasNews(changes amrfollow.Batch, after amrfollow.Position) bool {
	return len(changes.Rows) > 0 || changes.Keys != 0 || changes.Era > after.Era
}

// awaitChange waits until the channel is closed, the time has passed or ctx is done.
func (s *Server) awaitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := s.Clock.NewTimer(limit + time.Millisecond)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
