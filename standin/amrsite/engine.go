package amrsite

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// memory is the memory of an engine for the requests that it runs.
type memory struct {
	limit   int // Tokens; 0 for no limit.
	held    int // Tokens of the requests in progress.
	running int // Number of requests in progress.
	parts   map[string]heldPart
	crashes []time.Time // When the held tokens exceeded the limit.
}

// heldPart is a part of the prompts of requests in progress, which is held once.
type heldPart struct {
	tokens, requests int
}

// SetSlowness sets the multiple of the usual time that the work of an engine takes. The
// engine reports it as its pace. With 0, which is initially so, it works as usual and
// reports no pace.
func (s *Server) SetSlowness(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = factor
}

// SetMemory sets the memory of an engine in tokens. The engine crashes if the requests in
// progress exceed it. With 0, which is initially so, there is no limit.
func (s *Server) SetMemory(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.limit = tokens
}

// MemoryCrashes returns the times at which the engine crashed because the requests in
// progress exceeded its memory, in order.
func (s *Server) MemoryCrashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.memory.crashes)
}

// currentPause returns the time between two events.
func (s *Server) currentPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowness > 0 {
		return time.Duration(float64(s.pause) * s.slowness)
	}
	return s.pause
}

// waitStep is the time between two looks at whether a request that waits still may begin.
const waitStep = 10 * time.Millisecond

// awaitBegin waits for as long as the request says, or until the engine loads weights and
// rejects it. It returns false if the client closes the connection or the engine restarts.
func (s *Server) awaitBegin(r *http.Request) bool {
	wait, err := time.ParseDuration(r.URL.Query().Get(waitQuery))
	if err != nil {
		return true // It does not wait.
	}
	started, version := s.Started(), s.Version()
	for end := s.clock.Now().Add(wait); s.clock.Now().Before(end); s.clock.Sleep(waitStep) {
		switch {
		case r.Context().Err() != nil || !s.Started().Equal(started):
			return false
		case s.isLoading() || s.Version() != version:
			return true
		}
	}
	return true
}

// isLoading reports whether the engine is loading weights, so that it rejects requests.
func (s *Server) isLoading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading
}

// load returns the value of the load header: the requests running, those waiting, the
// slots, and the pace in percent if the server reports one.
func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := fmt.Sprintf("%d,0,%d", max(1, s.memory.running), slots)
	if s.slowness > 0 {
		load += fmt.Sprintf(",%.0f", 100*s.slowness)
	}
	return load
}

// hold adds the request to those in progress. It reports whether they fit in the memory.
// The caller must call release in either case.
func (s *Server) hold(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.memory
	own, parts := tokensOf(r)
	m.running++
	m.held += own
	if m.parts == nil {
		m.parts = make(map[string]heldPart)
	}
	for id, tokens := range parts {
		p := m.parts[id]
		if p.requests == 0 {
			p.tokens = tokens
			m.held += tokens
		}
		p.requests++
		m.parts[id] = p
	}
	if m.limit == 0 || m.held <= m.limit {
		return true
	}
	m.crashes = append(m.crashes, s.clock.Now())
	return false
}

// release removes the request from those in progress.
func (s *Server) release(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.memory
	own, parts := tokensOf(r)
	m.running--
	m.held -= own
	for id := range parts {
		p := m.parts[id]
		if p.requests--; p.requests == 0 {
			m.held -= p.tokens
			delete(m.parts, id)
			continue
		}
		m.parts[id] = p
	}
}

// tokensOf returns the tokens of the parts of the request's prompt, by cache salt and ID,
// and the number of its other prompt tokens and output tokens.
func tokensOf(r *http.Request) (own int, parts map[string]int) {
	parts = make(map[string]int)
	for text := range strings.SplitSeq(r.Header.Get(tokensHeader), ",") {
		tokens, _ := strconv.Atoi(text) // A malformed number is 0.
		own += tokens
	}
	for part := range strings.SplitSeq(r.Header.Get(partsHeader), ",") {
		id, text, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(text) // A malformed number is 0.
		parts[r.Header.Get(saltHeader)+"/"+id] = tokens
		own -= tokens
	}
	return max(0, own), parts
}

// crashTime is the time after a crash for which a server rejects all requests.
const crashTime = time.Second

// crash breaks off all responses in progress.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	s.crashedAt = s.clock.Now()
}

// reset resets the connection of the response, so that a response without a length
// does not look complete, and ends the handler.
func reset(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0) // Returns an error only if the connection is closed.
		_ = conn.Close()                     // The same.
	}
	panic(http.ErrAbortHandler)
}

// Crashes returns the number of crashes so far.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}
