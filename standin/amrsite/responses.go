package amrsite

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// respond sends the response of a plain service.
func (s *Server) respond(w http.ResponseWriter, fault Fault) {
	if !endWithConnection(w, fault) {
		w.Header().Set("Content-Length", strconv.Itoa(len(serviceBody+s.Name)))
	}
	w.WriteHeader(http.StatusOK)
	if fault == FaultTruncate {
		_, _ = io.WriteString(w, serviceBody) // The client detects an error.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, serviceBody+s.Name) // The client detects an error.
}

// stream sends events with consecutive ids, which start at 1, or after the id that a
// resumed request names. It breaks off if the server crashes for another time than
// the given number of times.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault, crashes int) {
	previous := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		previous = last
	}
	w.Header().Set("Content-Type", "text/event-stream")
	endWithConnection(w, fault)
	if fault == FaultIncompleteEvent {
		body := StreamBody(s.events/2) + "id: " + strconv.Itoa(s.events/2+1) + "\nda"
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body) // The client detects an error.
		return
	}
	for id := previous + 1; id <= s.events; id++ {
		writeEvent(w, id)
		_ = http.NewResponseController(w).Flush() // The client detects an error.
		s.clock.Sleep(s.currentPause())
		if s.Crashes() != crashes {
			reset(w)
		}
		if id != s.events/2 || fault != FaultTruncate && fault != FaultNoLengthTruncate {
			continue
		}
		fmt.Fprintf(w, "id: %d\nda", id+1)
		_ = http.NewResponseController(w).Flush()
		if fault == FaultNoLengthTruncate {
			return // The connection is closed without a reset.
		}
		panic(http.ErrAbortHandler)
	}
}

// endWithConnection lets the response have neither a length nor chunks, so that its
// end is the end of the connection, if the fault says so. It reports whether it does.
func endWithConnection(w http.ResponseWriter, fault Fault) bool {
	if fault != FaultNoLength && fault != FaultNoLengthTruncate {
		return false
	}
	w.Header().Set("Transfer-Encoding", "identity") // Understood by net/http, and not sent.
	return true
}

// writeEvent writes a server-sent event with the id.
func writeEvent(w io.Writer, id int) {
	fmt.Fprintf(w, "id: %d\ndata: token\n\n", id)
}

// dribbleInterval is the time between two bytes of a stream that never ends.
const dribbleInterval = 100 * time.Millisecond

// dribble sends a byte of a comment now and then until the client closes the
// connection.
func (s *Server) dribble(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, ":")
		_ = http.NewResponseController(w).Flush()
		s.clock.Sleep(dribbleInterval)
	}
}

// sendMalformed sends bytes that are not an HTTP response, or not a complete one,
// and closes the connection. It sends the part that is repeated, unless that is
// empty, until the client closes the connection.
func (s *Server) sendMalformed(w http.ResponseWriter, begin, repeated string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // The connections of an HTTP/1.1 server can always be hijacked.
	}
	defer conn.Close()
	_, err = io.WriteString(conn, begin) // The client detects an error.
	for block := strings.Repeat(repeated, endlessBlock); err == nil && repeated != ""; {
		_, err = io.WriteString(conn, block)
	}
}

// endlessBlock is the number of repetitions that are written at once.
const endlessBlock = 100

// floodEventBytes is the size of an event of a flood.
const floodEventBytes = 32 << 10

// flood sends as many large events as the query says, as fast as the client reads them.
func flood(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get(floodQuery)) // A malformed number is 0.
	w.Header().Set("Content-Type", "text/event-stream")
	data := strings.Repeat("x", floodEventBytes)
	for id := 1; id <= n; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data); err != nil {
			return
		}
	}
}

// reject responds to a request that does not run. Only a rejection that another server
// may accept asks for a pause.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int) {
	s.mu.Lock()
	s.rejected++
	retryAfter, observe := s.retryAfter, s.observeRejection
	s.mu.Unlock()
	if status == http.StatusMisdirectedRequest {
		retryAfter = ""
	}
	if observe != nil {
		observe(r.Header.Get("Amaranthreach-Attempt-Id"), retryAfter)
	}
	h := w.Header()
	h.Set("Amaranthreach-Attempt-Id", r.Header.Get("Amaranthreach-Attempt-Id"))
	if status != http.StatusMisdirectedRequest {
		h.Set("Amaranthreach-Not-Run", "1")
	}
	if retryAfter != "" {
		h.Set("Retry-After", retryAfter)
	}
	h.Set("Amaranthreach-Instance-Id", s.Name)
	w.WriteHeader(status)
}
