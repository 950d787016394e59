package amrserve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthreach.example/core/amrtick"
)

const (
	// sweepInterval is the time between two searches for connections beyond their
	// limits.
	sweepInterval = 250 * time.Millisecond

	// idleSlack is how much longer than the limit a connection may be idle. A request
	// that was sent within the limit then arrives before the connection is closed, and
	// this process learns of a limit that was raised just before.
	idleSlack = time.Second
)

// ConnLimits are the limits of client connections that may change while a
// server runs. A limit of zero means that of the server, if it has one.
type ConnLimits struct {
	HeaderBytes   int           // Maximum size of the request line and the header fields.
	HeaderTimeout time.Duration // Maximum time from the first byte of a request to the end of its header.
	IdleTimeout   time.Duration // Time for which a connection stays open without a request.
}

// ConnLimiter enforces limits on the client connections of one server, and closes
// them when the server stops. The limits may change while the server runs, unlike
// those of http.Server. A connection is closed without an answer only if no byte of a
// request has arrived. It is safe for concurrent use. Create it with NewConnLimiter
// and pass it to the server with WithConnLimiter.
type ConnLimiter struct {
	clock clockwork.Clock
	log   *slog.Logger
	ended *prometheus.CounterVec // Connections that were closed, by reason.

	bodyTimeout time.Duration // Maximum time to read the body of a request; 0 if http.Server limits it.

	mu       sync.Mutex
	history  limitHistory
	defaults ConnLimits // In place of limits of zero.
	conns    map[net.Conn]*trackedConn
}

// LimiterOption configures a ConnLimiter.
type LimiterOption func(*ConnLimiter)

// WithLogger sets the logger for connections that are closed; the default is
// slog.Default.
func WithLogger(log *slog.Logger) LimiterOption {
	return func(c *ConnLimiter) { c.log = log }
}

// WithRegisterer sets the registerer of the metrics. By default they are not
// registered.
func WithRegisterer(registerer prometheus.Registerer) LimiterOption {
	return func(c *ConnLimiter) {
		if registerer != nil {
			registerer.MustRegister(c.ended)
		}
	}
}

// NewConnLimiter returns a ConnLimiter without connections and without limits.
func NewConnLimiter(clock clockwork.Clock, opts ...LimiterOption) *ConnLimiter {
	c := &ConnLimiter{clock: clock, log: slog.Default(), ended: newEndedCounter(), conns: make(map[net.Conn]*trackedConn)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetLimits sets the limits from now on. A client may rely on a timeout that was in
// force at any time since its connection became idle, or since its request began, so
// that a shorter one does not apply to these.
func (c *ConnLimiter) SetLimits(limits ConnLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.set(c.clock.Now(), limits)
}

// headerBytesLimit returns the current limit of the size of a header.
func (c *ConnLimiter) headerBytesLimit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.current.HeaderBytes
}

// timeouts returns the longest timeouts that were in force since the given time.
func (c *ConnLimiter) timeouts(since time.Time) ConnLimits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.longest(since, c.defaults)
}

// all returns all connections.
func (c *ConnLimiter) all() []*trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*trackedConn, 0, len(c.conns))
	for _, conn := range c.conns {
		conns = append(conns, conn)
	}
	return conns
}

// count returns the number of connections.
func (c *ConnLimiter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Handler returns a handler that passes requests within the limit of header bytes
// to next. It answers others with the status 431 and closes their connection.
func (c *ConnLimiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := c.headerBytesLimit(); limit > 0 && headerBytes(r) > limit {
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

// run closes connections that exceed their limits until ctx is done.
func (c *ConnLimiter) run(ctx context.Context) {
	amrtick.Every(ctx, c.clock, sweepInterval, c.sweep)
}

// sweep closes the connections that have been idle, or waiting for the rest of a
// header, for longer than their limits.
func (c *ConnLimiter) sweep() {
	now := c.clock.Now()
	for _, conn := range c.all() {
		limits := c.timeouts(conn.stateSince())
		switch {
		case limits.IdleTimeout > 0 && conn.leaveIdle(now, limits.IdleTimeout+idleSlack):
			c.end(conn, endIdle)
		case limits.HeaderTimeout > 0 && conn.leaveHeader(now, limits.HeaderTimeout):
			c.end(conn, endHeaderTimeout)
		}
	}
}
