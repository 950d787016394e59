// Package amrhttp sends HTTP requests to backend servers that may answer late,
// twice, in part or with bytes that are no answer.
//
// Unlike net/http's transport it never sends a request again by itself, tells
// whether a request may have reached the server, and drops answers that belong
// to another request.
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

// The kinds of errors of a Transport.
var (
	// NotSent says that no byte of the request was sent.
	NotSent = namespace.NewType("not-sent", errorx.Temporary())

	// Broken says that the request may have reached the server and no answer
	// to it came.
	Broken = namespace.NewType("broken")
)

const (
	// dialTimeout bounds the time to connect. A lost opening packet is sent
	// again only after a second; a new attempt elsewhere is sooner.
	dialTimeout = 250 * time.Millisecond

	// unackedTimeout is how long bytes may stay unacknowledged before the
	// connection is given up.
	unackedTimeout = 800 * time.Millisecond

	// probeInterval is the time between the probes of a silent connection, and
	// probeCount the number of lost ones that end it.
	probeInterval = time.Second
	probeCount    = 2

	// idleLimit is how long a connection may be idle before reuse where the
	// server does not tell, and idleMargin what is left of the time it tells.
	idleLimit  = 3 * time.Second
	idleMargin = time.Second

	// maxIdle is the number of idle connections kept for an address.
	maxIdle = 16

	// maxForeign is the number of foreign answers that are dropped on one
	// connection before it is given up.
	maxForeign = 3

	// maxForeignBytes bounds the body of a foreign answer.
	maxForeignBytes = 1 << 20

	readBuffer = 2048 // In bytes; heads of answers fit.
)

// Request is a request to a backend server.
type Request struct {
	Method string
	Target string // Path and query as they are sent.
	Host   string
	Header http.Header
	Body   []byte

	// Fresh asks for a connection that has not been idle: the server may have
	// closed an idle one, and the request may not be sent twice.
	Fresh bool

	// Own reports whether an answer with the header belongs to the request;
	// nil accepts all.
	Own func(http.Header) bool
}

// Response is an answer of a backend server. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Length int64 // Of the body; -1 where it is not known.
	Body   io.ReadCloser
}

// Transport keeps connections to backend servers. Create it with New.
type Transport struct {
	dialer net.Dialer
	clock  clockwork.Clock
	dialed func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// Option configures a Transport.
type Option func(*Transport)

// WithClock replaces the real clock.
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
		dialer: Dialer(dialTimeout),
		clock:  clockwork.NewRealClock(),
		dialed: func() {},
		idle:   make(map[string][]*conn),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Dialer returns a dialer whose connections fail soon when the other side
// falls silent.
func Dialer(timeout time.Duration) net.Dialer {
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

// Send sends the request and returns the head of its answer. The context must
// last until the body is closed; its end breaks the connection. Errors are of
// kind NotSent or Broken.
func (t *Transport) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := t.connect(ctx, address, r.Fresh)
	if err != nil {
		return nil, err
	}
	return c.roundTrip(ctx, r)
}

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
		return nil, NotSent.Wrap(err, "cannot connect to %s; another backend server may do", address)
	}
	t.dialed()
	return &conn{Conn: nc, transport: t, address: address, reader: bufio.NewReaderSize(nc, readBuffer)}, nil
}

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

func (t *Transport) keep(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.address]) >= maxIdle {
		c.close()
		return
	}
	t.idle[c.address] = append(t.idle[c.address], c)
}

// keepAlive returns how long a server keeps an idle connection, from the value
// of a Keep-Alive header.
func keepAlive(value string) time.Duration {
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
