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
	enclosing string // Status line of a response that has the same header, and this one as its body; empty for none.
	preceding string // Interim responses before the response.
	fields    string // Lines of the header beside those that identify the response.
	body      string
	end       func(*net.TCPConn) // Ends the connection.
}

// okLine is the status line of successful responses.
const okLine = "HTTP/1.1 200 OK\r\n"

// OddName is a name of a field that is unusual and valid.
const OddName = "!#$%&'*+-.^_`|~9"

// oddFields are lines of a header that are unusual and valid.
const oddFields = OddName + ": x\r\nx:\r\nX-Odd:\t a\xe4\tb \r\nx-folded: a\r\n b\r\n"

// earlyPause is the time between a response that breaks off and the reset of its
// connection, in which the router receives the response.
const earlyPause = 5 * time.Millisecond

// maxReadOn is the longest time for which a server reads the request after its response.
const maxReadOn = 5 * time.Second

// minEarlyBytes is the length of a request body from which on a server may respond before it
// has read the request. A shorter one would have been sent completely.
const minEarlyBytes = 64 << 10

// isEarly reports whether the response of the fault is sent before the request has been read.
func (f Fault) isEarly() bool {
	return f == FaultEarlyReset || f == FaultEarlyWhole
}

// appliesTo reports whether requests like this one may have the fault.
func (f Fault) appliesTo(r *http.Request) bool {
	return !f.isEarly() || r.ContentLength >= minEarlyBytes
}

// respondsEarly reports whether the response to the request is sent before it has been read.
func (s *Server) respondsEarly(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultsLeft != 0 && s.fault.isEarly() && s.fault.appliesTo(r)
}

// sendRaw sends the response of a fault that net/http would not send. It reports whether the
// fault is one of these.
func (s *Server) sendRaw(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	response, isRaw := s.rawResponseTo(r, fault)
	if !isRaw {
		return false
	}
	if s.Model != "" {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	response.send(w)
	return true
}

// rawResponseTo returns the response of a fault to the request, and whether the fault is one
// that net/http would not send.
func (s *Server) rawResponseTo(r *http.Request, fault Fault) (response rawResponse, isRaw bool) {
	response = rawResponse{body: s.wholeBody(r), end: closeInOrder}
	switch fault {
	case FaultEarlyReset:
		response.body = s.partialBody(r)
		response.end = s.pauseAndReset
	case FaultEarlyWhole:
		response.end = s.readOn
	case FaultInvalidStatus:
		response.enclosing = "HTTP/1.1 000 Error\r\n"
	case FaultFieldName:
		response.fields = "X Line: x\r\n"
	case FaultLengthName:
		response.fields = "Content-Length : " + strconv.Itoa(len(response.body)) + "\r\n"
		response.body += "no answer at all"
	case FaultOddFields:
		response.fields = oddFields
	case FaultInterim:
		response.preceding = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"
	default:
		return rawResponse{}, false
	}
	return response, true
}

// send sends the response with the header of w.
func (r rawResponse) send(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // The connections of an HTTP/1.1 server can always be hijacked.
	}
	header := headerText(w.Header())
	text := r.preceding + okLine + header + r.fields + "\r\n" + r.body
	if r.enclosing != "" {
		text = r.enclosing + header + "\r\n" + text
	}
	_, _ = io.WriteString(conn, text) // The client detects an error.
	r.end(conn.(*net.TCPConn))
}

// headerText returns the lines of the header.
func headerText(h http.Header) string {
	var b strings.Builder
	_ = h.Write(&b) // A Builder returns no error.
	return b.String()
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
	n, _ := strconv.Atoi(r.URL.Query().Get(floodQuery)) // 0 if it is missing.
	if s.Model == "" {
		return serviceBody + strings.Repeat("x", n*floodEventBytes)
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
