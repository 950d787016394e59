// Package amrhttp is an HTTP/1.1 client for backend servers that may send late,
// duplicate, truncated, malformed or endless responses.
//
// Unlike the transport of net/http, it never retries a request by itself, its
// errors tell whether a request may have reached the server, it discards
// responses that belong to other requests, it rejects responses that are not
// valid by RFC 9112, and it limits the memory that a server can make a connection
// use. NewRoundTripper returns a transport of net/http that rejects such responses
// too.
package amrhttp

import (
	"context"
	"io"
	"net/http"
	"slices"
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

	// maxIdle is the maximum number of idle connections kept per address, and
	// maxIdleTotal that of all addresses together.
	maxIdle      = 16
	maxIdleTotal = 1024

	// sweepInterval is the minimum time between two searches for idle
	// connections that can no longer be reused.
	sweepInterval = time.Second

	// maxHeadBytes is the maximum size of what precedes the body of a response:
	// its status line and header, and all interim responses before it.
	maxHeadBytes = 16 << 10

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

	// BeforeSend is called when a connection is available, immediately before
	// the request is sent. It may change the header. If it returns an error,
	// nothing is sent. It may be nil.
	BeforeSend func(http.Header) error

	// Owner returns to which request a response with the status and the header
	// belongs. If it is nil, every response is taken to belong to this request.
	Owner func(status int, header http.Header) Owner
}

// Owner tells to which request a response belongs.
type Owner int

// The owners of a response.
const (
	// OwnerThis is the request that was sent last on the connection.
	OwnerThis Owner = iota

	// OwnerOther is another request. The response is discarded.
	OwnerOther

	// OwnerUnknown means that the response does not identify its request. On a
	// connection that has carried no other request, it belongs to this one. On
	// any other connection it may be a late copy of an earlier response, so
	// that the outcome of this request remains unknown.
	OwnerUnknown
)

// Response is a response of a backend server. The caller must close its body.
type Response struct {
	Status int
	Header http.Header
	Length int64 // Of the body; -1 if unknown.
	Body   io.ReadCloser

	// EndsWithConnection is set if the body has neither a length nor chunks, so
	// that its end is the end of the connection.
	EndsWithConnection bool
}

// Transport sends requests and keeps connections for reuse. It is safe for
// concurrent use. Create it with New.
type Transport struct {
	dialer *Dialer
	clock  clockwork.Clock

	mu        sync.Mutex
	idle      map[string][]*conn // By address; the connection that was kept last comes last.
	idleTotal int                // Number of connections in idle.
	sweptAt   time.Time          // Time of the last search for unusable connections.
}

// Option configures a Transport.
type Option func(*Transport)

// WithClock replaces the system clock.
func WithClock(c clockwork.Clock) Option {
	return func(t *Transport) { t.clock = c }
}

// New returns a Transport.
func New(opts ...Option) *Transport {
	t := &Transport{
		dialer: NewDialer(dialTimeout),
		clock:  clockwork.NewRealClock(),
		idle:   make(map[string][]*conn),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Send sends the request and returns the response, whose body is still to be
// read. Cancellation of the context closes the connection, also while the body is
// being read. Errors are of kind NotSent or Broken.
func (t *Transport) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := t.connect(ctx, address, r.FreshConn)
	if err != nil {
		return nil, err
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(r.Header); err != nil {
			t.keep(c)
			return nil, NotSent.Wrap(err, "the request to %s is no longer allowed", address)
		}
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
		c.Reset()
	}
	tcp, err := t.dialer.dial(ctx, "tcp", address)
	if err != nil {
		return nil, NotSent.Wrap(err, "cannot connect to %s; try another backend server", address)
	}
	return &conn{
		TCPConn: tcp, transport: t, address: address, responses: newResponseReader(tcp),
		idleSince: t.clock.Now(), reuseLimit: idleLimit, unackedTimeout: unackedTimeout,
	}, nil
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
	t.setIdle(address, idle[:len(idle)-1])
	return c
}

// keep stores an idle connection for reuse, or closes it if too many are stored.
// From time to time, it closes the stored connections that cannot be reused.
func (t *Transport) keep(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.clock.Now(); now.Sub(t.sweptAt) >= sweepInterval {
		t.sweptAt = now
		t.sweep(now)
	}
	if len(t.idle[c.address]) >= maxIdle || t.idleTotal >= maxIdleTotal {
		c.Reset()
		return
	}
	t.setIdle(c.address, append(t.idle[c.address], c))
}

// sweep closes the idle connections that cannot be reused: those that are idle
// for too long or closed by the server, and those on which bytes have arrived,
// which would take up memory. The caller must hold t.mu.
func (t *Transport) sweep(now time.Time) {
	for address, conns := range t.idle {
		t.setIdle(address, slices.DeleteFunc(conns, func(c *conn) bool {
			if c.reusable(now, false) {
				return false
			}
			c.Reset()
			return true
		}))
	}
}

// setIdle replaces the idle connections to the address. The caller must hold
// t.mu.
func (t *Transport) setIdle(address string, conns []*conn) {
	t.idleTotal += len(conns) - len(t.idle[address])
	if len(conns) == 0 {
		delete(t.idle, address)
		return
	}
	t.idle[address] = conns
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
