// Package amrhttp is an HTTP/1.1 client for backend servers that may send late,
// duplicate, truncated or malformed responses.
//
// Unlike the transport of net/http, it never retries a request by itself, its
// errors tell whether a request may have reached the server, and it discards
// responses that belong to other requests.
package amrhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("http")

// The kinds of errors that a Transport returns.
var (
	// NotSent means that no byte of the request was sent.
	NotSent = namespace.NewType("not-sent", errorx.Temporary())

	// Broken means that the request may have reached the server, but that no
	// usable response to it was received.
	Broken = namespace.NewType("broken")
)

const (
	// dialTimeout is the time limit for establishing a connection. TCP
	// retransmits a lost SYN only after a second, so that it is faster to give
	// up and to try another server.
	dialTimeout = 250 * time.Millisecond

	// unackedTimeout is the time for which sent bytes may remain
	// unacknowledged before the connection is closed.
	unackedTimeout = 800 * time.Millisecond

	// probeInterval is the time between keep-alive probes on a connection
	// without traffic. After probeCount unacknowledged probes, the connection
	// is closed.
	probeInterval = time.Second
	probeCount    = 2

	// idleLimit is the maximum time for which a connection may have been idle
	// to be reused. If the server announces its own limit in a Keep-Alive
	// header, the connection is reused only until idleMargin before that.
	idleLimit  = 3 * time.Second
	idleMargin = time.Second

	// maxIdle is the maximum number of idle connections kept per address.
	maxIdle = 16

	// maxResponses is the maximum number of responses that are read to find
	// the one that belongs to a request. The connection is closed if all of
	// them belong to other requests.
	maxResponses = 3

	// maxDiscardBytes is the maximum number of bytes that are read from the
	// body of a discarded response.
	maxDiscardBytes = 1 << 20

	// readBuffer is the size of the read buffer of a connection in bytes. The
	// status line and header of most responses fit into it.
	readBuffer = 2048
)

// Request is a request to a backend server.
type Request struct {
	Method string
	Target string // Path and query, which are sent unchanged.
	Host   string
	Header http.Header
	Body   []byte

	// FreshConn requires a connection that has not been idle for long. A server
	// may close an idle connection at any time, so that it would be unknown
	// whether it received the request. Set it for requests that must not run
	// twice.
	FreshConn bool

	// Matches reports whether a response with the header belongs to the request.
	// If it is nil, every response is taken to belong to it.
	Matches func(http.Header) bool
}

// Response is a response of a backend server. The caller must close its body.
type Response struct {
	Status int
	Header http.Header
	Length int64 // Of the body; -1 if unknown.
	Body   io.ReadCloser
}

// Transport sends requests and keeps connections for reuse. It is safe for
// concurrent use. Create it with New.
type Transport struct {
	dialer net.Dialer
	clock  clockwork.Clock
	dialed func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// Option configures a Transport.
type Option func(*Transport)

// WithClock replaces the system clock.
func WithClock(c clockwork.Clock) Option {
	return func(t *Transport) { t.clock = c }
}

// WithDialed sets a function that is called for each new connection.
func WithDialed(dialed func()) Option {
	return func(t *Transport) { t.dialed = dialed }
}

// New returns a Transport.
func New(opts ...Option) *Transport {
	t := &Transport{
		dialer: NewDialer(dialTimeout),
		clock:  clockwork.NewRealClock(),
		dialed: func() {},
		idle:   make(map[string][]*conn),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// NewDialer returns a dialer whose connections detect within seconds that the
// peer no longer responds. The timeout applies to establishing a connection.
func NewDialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
		ControlContext: setUnackedTimeout,
	}
}

// Send sends the request and returns the response, whose body is still to be
// read. Cancellation of the context closes the connection, also while the body is
// being read. Errors are of kind NotSent or Broken.
func (t *Transport) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := t.connect(ctx, address, r.FreshConn)
	if err != nil {
		return nil, err
	}
	return c.roundTrip(ctx, r)
}

// connect returns an idle connection that can be reused, or a new one. If fresh,
// it reuses no connection that has been idle for freshLimit.
func (t *Transport) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	for {
		c := t.take(address)
		if c == nil {
			break
		}
		if c.reusable(t.clock.Now(), fresh) {
			return c, nil
		}
		c.close()
	}
	nc, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, NotSent.Wrap(err, "cannot connect to %s; try another backend server", address)
	}
	t.dialed()
	return &conn{Conn: nc, transport: t, address: address, reader: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// take removes and returns the idle connection to the address that was kept last,
// or nil if there is none.
func (t *Transport) take(address string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	t.idle[address] = idle[:len(idle)-1]
	return c
}

// keep stores an idle connection for reuse, or closes it if maxIdle are stored.
func (t *Transport) keep(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.address]) >= maxIdle {
		c.close()
		return
	}
	t.idle[c.address] = append(t.idle[c.address], c)
}

// parseKeepAlive returns the time for which a connection may be reused after it
// became idle, from the value of a Keep-Alive header. It returns idleLimit if the
// header has no valid timeout. The connection must not be reused if the result is
// not positive.
func parseKeepAlive(value string) time.Duration {
	const name = "timeout="
	for i := 0; i+len(name) <= len(value); i++ {
		if value[i:i+len(name)] != name {
			continue
		}
		end := i + len(name)
		for end < len(value) && value[end] >= '0' && value[end] <= '9' {
			end++
		}
		seconds, err := strconv.Atoi(value[i+len(name) : end])
		if err != nil {
			return idleLimit
		}
		return min(idleLimit, time.Duration(seconds)*time.Second-idleMargin)
	}
	return idleLimit
}
