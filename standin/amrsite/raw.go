package amrsite

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// rawResponse is a response that is sent byte for byte, so that it may break the rules of
// HTTP.
type rawResponse struct {
	statusLine string
	fields     string // Lines of the header beside those that identify the response.
	body       string
	end        func(*net.TCPConn) // Ends the connection.
}

// earlyPause is the time between a response that breaks off and the reset of its
// connection, in which the router receives the response.
const earlyPause = 5 * time.Millisecond

// maxReadOn is the longest time for which a server reads the request after its response.
const maxReadOn = 5 * time.Second

// respondsEarly reports whether the next response is sent before the request has been read.
func (s *Server) respondsEarly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultsLeft != 0 && (s.fault == FaultEarlyReset || s.fault == FaultEarlyWhole)
}

// sendRaw sends the response of a fault that net/http would not send. It reports whether the
// fault is one of these.
func (s *Server) sendRaw(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	response := rawResponse{statusLine: "HTTP/1.1 200 OK", body: s.wholeBody(r), end: closeInOrder}
	switch fault {
	case FaultEarlyReset:
		response.body = s.partialBody(r)
		response.end = s.pauseAndReset
	case FaultEarlyWhole:
		response.end = s.readOn
	default:
		return false
	}
	response.send(w, s.Model != "")
	return true
}

// send sends the response with the fields that are set in the header of w. If stream, it has
// the content type of events.
func (r rawResponse) send(w http.ResponseWriter, stream bool) {
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	var b strings.Builder
	b.WriteString(r.statusLine + "\r\n")
	_ = w.Header().Write(&b) // A Builder returns no error.
	b.WriteString(r.fields + "\r\n" + r.body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // The connections of an HTTP/1.1 server can always be hijacked.
	}
	_, _ = io.WriteString(conn, b.String()) // The client detects an error.
	r.end(conn.(*net.TCPConn))
}

// wholeBody returns the body of the whole response to the request.
func (s *Server) wholeBody(r *http.Request) string {
	if s.Model == "" {
		return serviceBody + s.Name
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new stream.
	return strings.TrimPrefix(StreamBody(s.events), StreamBody(last))
}

// partialBody returns the beginning of the same body: of a stream, whole events.
func (s *Server) partialBody(r *http.Request) string {
	if s.Model == "" {
		return serviceBody
	}
	whole := s.wholeBody(r)
	return whole[:strings.Index(whole, "\n\n")+len("\n\n")]
}

// closeInOrder closes the connection.
func closeInOrder(conn *net.TCPConn) {
	_ = conn.Close() // The client detects an error.
}

// pauseAndReset resets the connection after a pause.
func (s *Server) pauseAndReset(conn *net.TCPConn) {
	s.clock.Sleep(earlyPause)
	_ = conn.SetLinger(0) // Returns an error only if the connection is closed.
	_ = conn.Close()      // The same.
}

// readOn ends only the direction to the client, and reads what the client sends until that
// ends the connection.
func (s *Server) readOn(conn *net.TCPConn) {
	defer closeInOrder(conn)
	if err := conn.CloseWrite(); err != nil {
		return // The client has ended the connection.
	}
	s.clock.Sleep(earlyPause)
	_ = conn.SetReadDeadline(s.clock.Now().Add(maxReadOn)) // Returns an error only if the connection is closed.
	_, _ = io.Copy(io.Discard, conn)                       // An error means that the client has ended the connection.
}
