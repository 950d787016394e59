package amrserve

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// isTCP reports whether the connections of the listener are TCP connections without TLS.
func isTCP(listener net.Listener) bool {
	_, ok := listener.(*net.TCPListener)
	return ok
}

// takeOver makes the limiter enforce the timeouts of the server, which would close
// connections without a look at what has arrived on them.
func (c *ConnLimiter) takeOver(server *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.defaults = ConnLimits{HeaderTimeout: server.ReadHeaderTimeout, IdleTimeout: server.IdleTimeout}
	c.bodyTimeout = server.ReadTimeout
	server.ReadHeaderTimeout, server.IdleTimeout, server.ReadTimeout = -1, -1, 0
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn adds the connection to the context of its requests. It is the ConnContext hook
// of the http.Server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// begin reports whether a request may be handled, and limits the time to read its body. It
// does nothing for a connection that is no trackedConn.
func (c *ConnLimiter) begin(w http.ResponseWriter, r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*trackedConn)
	if !ok {
		return true
	}
	if !conn.begin() {
		return false
	}
	if r.ContentLength != 0 && c.bodyTimeout > 0 {
		_ = http.NewResponseController(w).SetReadDeadline(clock.Now().Add(c.bodyTimeout)) // Fails only if the connection is closed.
	}
	return true
}

// track records a change of a connection's state. It is the ConnState hook of the
// http.Server.
func (c *ConnLimiter) track(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	switch state {
	case http.StateNew:
		c.conns[conn] = tracked
	case http.StateHijacked, http.StateClosed:
		delete(c.conns, conn)
	}
	c.mu.Unlock()
	tracked.track(state)
}

// trackedListener counts the connections that it accepts, and returns TCP connections as
// trackedConns.
type trackedListener struct {
	net.Listener
	conns    *ConnLimiter
	accepted *atomic.Int64
}

// Accept returns the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return newTrackedConn(tcp, l.conns.clock), nil
}
