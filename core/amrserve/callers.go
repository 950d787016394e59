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

// sweepInterval is the time between two looks at the connections of callers.
// A connection is closed by this much later than its limit at most.
const sweepInterval = 250 * time.Millisecond

// CallerLimits are limits that may change while a server runs. A zero limit is
// none.
type CallerLimits struct {
	HeaderBytes   int           // Of the request line and the header fields.
	HeaderTimeout time.Duration // From the first byte of a request to the end of its header.
	IdleTimeout   time.Duration // Without a request.
}

// CallerConns holds the connections of callers to limits that change while the
// server runs. It is safe for concurrent use. Create it with NewCallerConns.
type CallerConns struct {
	limits func() CallerLimits
	clock  clockwork.Clock

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is what is known of a connection.
type callerConn struct {
	state phase
	since time.Time
	idle  time.Duration // The limit that was in force when it became idle.
}

// phase is what a connection is waiting for.
type phase int

const (
	idle     phase = iota // For a request.
	heading               // For the end of a request's header.
	answered              // For the answer to a request.
)

// NewCallerConns returns the connections of one server, which has none yet. The
// function tells the limits in force.
func NewCallerConns(clock clockwork.Clock, limits func() CallerLimits) *CallerConns {
	return &CallerConns{limits: limits, clock: clock, conns: make(map[net.Conn]*callerConn)}
}

// Track notes a change of a connection's state, as http.Server.ConnState tells
// it.
func (c *CallerConns) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.conns[conn] = &callerConn{state: idle, since: c.clock.Now(), idle: c.limits().IdleTimeout}
	case http.StateActive: // A request's header has come whole.
		if known := c.conns[conn]; known != nil {
			known.state = answered
		}
	case http.StateHijacked, http.StateClosed:
		delete(c.conns, conn)
	}
}

// Listener returns the listener whose connections note when a request begins.
func (c *CallerConns) Listener(l net.Listener) net.Listener {
	return trackedListener{Listener: l, callers: c}
}

type trackedListener struct {
	net.Listener
	callers *CallerConns
}

// Accept returns the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return &trackedConn{TCPConn: tcp, callers: l.callers}, nil
}

type trackedConn struct {
	*net.TCPConn
	callers *CallerConns
}

// Read reads, and notes the first bytes of a request.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.callers.began(c)
	}
	return n, err
}

// began notes that bytes of a request have come.
func (c *CallerConns) began(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.conns[conn]; known != nil && known.state == idle {
		known.state, known.since = heading, c.clock.Now()
	}
}

// Handler serves requests whose header is within the limits with next, and
// answers 431 to others.
func (c *CallerConns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := c.limits().HeaderBytes; limit > 0 && headerBytes(r) > limit {
			w.Header().Set("Connection", "close")
			http.Error(w, "the header is larger than the limit; send fewer or shorter fields", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerBytes returns the size of the request line and the header fields as
// they are sent in HTTP/1.1.
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

// Run closes connections beyond their limits until ctx is done.
func (c *CallerConns) Run(ctx context.Context) error {
	amrtick.Every(ctx, c.clock, sweepInterval, func() {
		for _, conn := range c.overdue() {
			_ = conn.Close() // The server notices and forgets it.
		}
	})
	return nil
}

// overdue returns the connections that have waited longer than their limits. A
// caller may not know yet of a limit that became shorter, so the former one
// counts for connections that were idle before.
func (c *CallerConns) overdue() []net.Conn {
	limits, now := c.limits(), c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []net.Conn
	for conn, known := range c.conns {
		limit := time.Duration(0)
		switch known.state {
		case idle:
			limit = max(limits.IdleTimeout, known.idle)
		case heading:
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(known.since) > limit {
			conns = append(conns, conn)
		}
	}
	return conns
}
