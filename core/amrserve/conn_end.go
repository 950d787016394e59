package amrserve

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// endReason is why a connection was closed by this process, or why the answer to its
// request did not become complete. It is a label of a metric.
type endReason string

const (
	endIdle          endReason = "idle"           // No request for longer than the idle timeout.
	endHeaderTimeout endReason = "header-timeout" // The header did not become complete; answered with 408.
	endStopping      endReason = "stopping"       // The server stops, and the connection is idle.
	endStopHeader    endReason = "stopped-header" // The grace period has ended before the header was complete; answered with 503.
	endGrace         endReason = "grace-expired"  // The grace period has ended before the answer was complete.
	endAborted       endReason = "aborted"        // The handler has broken the answer off.
	endPanic         endReason = "panic"          // The handler has failed.
)

// endReasons are all reasons.
var endReasons = []endReason{endIdle, endHeaderTimeout, endStopping, endStopHeader, endGrace, endAborted, endPanic}

// newEndedCounter returns the counter of closed connections.
func newEndedCounter() *prometheus.CounterVec {
	ended := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "amr_client_connections_ended_total",
		Help: "Connections of clients that the process has closed, by reason.",
	}, []string{"reason"})
	for _, reason := range endReasons {
		ended.WithLabelValues(string(reason)) // Served from the start.
	}
	return ended
}

// answerTimeout limits the time to answer a request whose header is not complete. The answer
// fits into the buffer of the socket.
const answerTimeout = 100 * time.Millisecond

// end closes a connection that is in the state connClosing. If part of a request has
// arrived, it is answered.
func (c *ConnLimiter) end(conn *trackedConn, reason endReason) {
	switch reason {
	case endHeaderTimeout:
		conn.answer(http.StatusRequestTimeout, "the header of the request did not arrive in time; send it again")
	case endStopHeader:
		conn.answer(http.StatusServiceUnavailable, "the server is stopping; send the request to another one")
	}
	_ = conn.Close() // The server then reports http.StateClosed.
	c.recordEnd(reason, "remote", conn.RemoteAddr().String(), "for", c.clock.Now().Sub(conn.stateSince()), "requests-before", conn.wasServed())
}

// recordEnd counts and logs the end of a connection.
func (c *ConnLimiter) recordEnd(reason endReason, details ...any) {
	c.ended.WithLabelValues(string(reason)).Inc()
	c.log.Info("connection of a client closed", append([]any{"reason", string(reason)}, details...)...)
}

// answer writes a response to a request whose header is not complete.
func (c *trackedConn) answer(status int, text string) {
	text += "\n"
	_ = c.SetWriteDeadline(clock.Now().Add(answerTimeout))
	_, _ = c.Write([]byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)) // The client may have left.
}
