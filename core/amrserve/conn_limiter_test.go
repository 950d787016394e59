package amrserve_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrserve"
)

// limitedServer is a server with connection limits that a test can change, and
// with a fake clock for them.
type limitedServer struct {
	address string
	clock   *clockwork.FakeClock
	limiter *amrserve.ConnLimiter
	idle    chan struct{} // Receives a value when a connection has become idle after a request.
	stop    context.CancelFunc
}

// startLimited starts a server with the limits, which stops at the end of the
// test.
func startLimited(t *testing.T, limits amrserve.ConnLimits) *limitedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{address: listener.Addr().String(), clock: clockwork.NewFakeClock(), idle: make(chan struct{}, 10)}
	s.limiter = amrserve.NewConnLimiter(s.clock)
	s.limiter.SetLimits(limits)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	var group errgroup.Group
	group.Go(func() error {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "complete") })
		return amrserve.Serve(ctx, listener, handler, amrserve.DefaultLimits, time.Second, amrserve.WithConnLimiter(s.limiter), amrserve.WithStateHook(s.observeIdle))
	})
	t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// observeIdle reports idle connections to s.idle.
func (s *limitedServer) observeIdle(_ net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		s.idle <- struct{}{}
	}
}

// client is one connection to the server.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *limitedServer) connect(t *testing.T) *client {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// status reads a response and returns its status.
func (c *client) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// closed advances the clock by up to 10 s and reports whether the server closed
// the connection.
func (c *client) closed(s *limitedServer) bool {
	buffer := make([]byte, 1)
	for range 200 {
		s.clock.Advance(50 * time.Millisecond)
		_ = c.conn.SetReadDeadline(clock.Now().Add(10 * time.Millisecond))
		_, err := c.conn.Read(buffer)
		var timeout net.Error
		open := errors.As(err, &timeout) && timeout.Timeout()
		if err != nil && !open {
			return true
		}
	}
	return false
}

// readable reports whether the server has sent something.
func (c *client) readable() bool {
	_ = c.conn.SetReadDeadline(clock.Now().Add(10 * time.Millisecond))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	_, err := c.reader.Peek(1)
	return err == nil
}

// advanceUntil advances the clock by up to 10 s until the condition holds.
func (s *limitedServer) advanceUntil(condition func() bool) {
	for range 200 {
		if condition() {
			return
		}
		s.clock.Advance(50 * time.Millisecond)
	}
}

const completeRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestHeaderBytes checks that a request with a header beyond the limit is answered
// with the status 431, and that a raised limit applies immediately.
func TestHeaderBytes(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.ConnLimits{HeaderBytes: 200})
	c := s.connect(t)
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
	c.send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 200) + "\r\n\r\n")
	is.Equal(c.status(), http.StatusRequestHeaderFieldsTooLarge)

	s.limiter.SetLimits(amrserve.ConnLimits{HeaderBytes: 2000}) // The limit is raised.
	c = s.connect(t)
	c.send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 200) + "\r\n\r\n")
	is.Equal(c.status(), http.StatusOK)
}

// TestIdleTimeout checks that an idle connection is closed after the limit, and not
// before.
func TestIdleTimeout(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.ConnLimits{IdleTimeout: 3 * time.Second})
	c := s.connect(t)
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
	s.clock.Advance(2 * time.Second)
	c.send(completeRequest) // Within the limit.
	is.Equal(c.status(), http.StatusOK)
	is.True(c.closed(s))
}

// TestIdleTimeoutShortened checks that a limit that is shortened while a connection
// is idle does not apply to this connection, since its client may rely on the
// previous limit.
func TestIdleTimeoutShortened(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.ConnLimits{IdleTimeout: 10 * time.Second})
	c := s.connect(t)
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
	<-s.idle // The server records the connection as idle only after it has sent the response.
	s.limiter.SetLimits(amrserve.ConnLimits{IdleTimeout: time.Second})
	for range 16 {
		s.clock.Advance(500 * time.Millisecond)
	}
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
}

// TestHeaderTimeout checks that a request whose header does not become complete within the
// limit is answered, and its connection closed.
func TestHeaderTimeout(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.ConnLimits{HeaderTimeout: time.Second})
	c := s.connect(t)
	c.send("GET / HTTP/1.1\r\nHo")
	s.advanceUntil(c.readable)
	is.Equal(c.status(), http.StatusRequestTimeout)
	is.True(c.closed(s))
}

// TestNoIdleTimeout checks that connections to a server without limits stay open.
func TestNoIdleTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	fake := clockwork.NewFakeClock()
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "complete") })
		return amrserve.Serve(ctx, listener, handler, amrserve.Limits{}, time.Second, amrserve.WithConnLimiter(amrserve.NewConnLimiter(fake)))
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	c := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
	for range 20 {
		fake.Advance(time.Minute)
		clock.Sleep(time.Millisecond)
	}
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
	is.NoErr(conn.Close())
	stop()
	is.NoErr(group.Wait())
}
