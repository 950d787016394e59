package amrserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrtick"
)

// sweepInterval is the time between two searches for connections beyond their
// limits. A connection is closed at most this long after its limit.
const sweepInterval = 250 * time.Millisecond

// ConnLimits are the limits of client connections that may change while a
// server runs. A limit of zero means no limit.
type ConnLimits struct {
	HeaderBytes   int           // Maximum size of the request line and the header fields.
	HeaderTimeout time.Duration // Maximum time from the first byte of a request to the end of its header.
	IdleTimeout   time.Duration // Maximum time that a connection stays open without a request.
}

// ConnLimiter enforces limits on the client connections of one server. The limits
// may change while the server runs, unlike those of http.Server. It is safe for
// concurrent use. Create it with NewConnLimiter and pass it to the server with
// WithConnLimiter.
type ConnLimiter struct {
	limits func() ConnLimits
	clock  clockwork.Clock

	mu    sync.Mutex
	conns map[net.Conn]*clientConn
}

// clientConn holds the state of a connection.
type clientConn struct {
	state connState
	since time.Time     // Start of the state; not updated for handling, which has no limit.
	idle  time.Duration // IdleTimeout at the time when the connection became idle.
}

// connState is the state of a connection.
type connState int

const (
	connIdle          connState = iota // No part of a request has been received.
	connReadingHeader                  // Part of a request's header has been received.
	connHandling                       // The request is being handled.
)

// NewConnLimiter returns a ConnLimiter without connections. The function limits
// returns the current limits; it is called often and must be safe for concurrent
// use.
func NewConnLimiter(clock clockwork.Clock, limits func() ConnLimits) *ConnLimiter {
	return &ConnLimiter{limits: limits, clock: clock, conns: make(map[net.Conn]*clientConn)}
}

// Track records a change of a connection's state. It is the ConnState hook of the
// http.Server.
func (c *ConnLimiter) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.conns[conn] = &clientConn{state: connIdle, since: c.clock.Now(), idle: c.limits().IdleTimeout}
	case http.StateActive: // The header of a request is complete.
		if known := c.conns[conn]; known != nil {
			known.state = connHandling
		}
	case http.StateHijacked, http.StateClosed:
		delete(c.conns, conn)
	}
}

// Listener wraps the listener of the server, so that its connections record the
// arrival of the first byte of a request. http.Server reports no such state.
func (c *ConnLimiter) Listener(l net.Listener) net.Listener {
	return trackedListener{Listener: l, limiter: c}
}

// trackedListener is a listener whose TCP connections are trackedConns.
type trackedListener struct {
	net.Listener
	limiter *ConnLimiter
}

// Accept returns the next connection, as a trackedConn if it is a TCP connection.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return &trackedConn{TCPConn: tcp, limiter: l.limiter}, nil
}

// trackedConn is a connection that records the arrival of request data.
type trackedConn struct {
	*net.TCPConn
	limiter *ConnLimiter
}

// Read reads from the connection and records that request data has arrived.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.limiter.received(c)
	}
	return n, err
}

// received records that data has arrived on the connection. If the connection was
// idle, the data is the start of a request's header.
func (c *ConnLimiter) received(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.conns[conn]; known != nil && known.state == connIdle {
		known.state, known.since = connReadingHeader, c.clock.Now()
	}
}

// Handler returns a handler that passes requests within the limit of header bytes
// to next. It answers others with the status 431 and closes their connection.
func (c *ConnLimiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := c.limits().HeaderBytes; limit > 0 && headerBytes(r) > limit {
			w.Header().Set("Connection", "close")
			http.Error(w, "the header is larger than the limit; send fewer or shorter fields", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerBytes returns the size of the request line and the header fields in the
// encoding of HTTP/1.1.
func headerBytes(r *http.Request) int {
	const (
		lineBytes  = len(" ") + len(" HTTP/1.1\r\n")
		fieldBytes = len(": ") + len("\r\n")
	)
	n := len(r.Method) + len(r.RequestURI) + lineBytes + len("Host") + len(r.Host) + fieldBytes
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldBytes
		}
	}
	return n
}

// Run closes connections that exceed their limits until ctx is done. It always
// returns nil.
func (c *ConnLimiter) Run(ctx context.Context) error {
	amrtick.Every(ctx, c.clock, sweepInterval, func() {
		for _, conn := range c.overdue() {
			_ = conn.Close() // The server then reports http.StateClosed.
		}
	})
	return nil
}

// overdue returns the connections that have been idle, or waiting for the rest of
// a header, for longer than their limits. A client may rely on the idle timeout
// that was in force when its connection became idle, so a timeout that has been
// shortened since does not apply to it.
func (c *ConnLimiter) overdue() []net.Conn {
	limits, now := c.limits(), c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []net.Conn
	for conn, known := range c.conns {
		limit := time.Duration(0)
		switch known.state {
		case connIdle:
			limit = max(limits.IdleTimeout, known.idle)
		case connReadingHeader:
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(known.since) > limit {
			conns = append(conns, conn)
		}
	}
	return conns
}
