package amrserve_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrserve"
)

// limitedServer is a server whose callers are held to limits that the test
// changes, by a fake clock.
type limitedServer struct {
	address string
	clock   *clockwork.FakeClock
	limits  atomic.Pointer[amrserve.CallerLimits]
}

func startLimited(t *testing.T, limits amrserve.CallerLimits) *limitedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{address: listener.Addr().String(), clock: clockwork.NewFakeClock()}
	s.limits.Store(&limits)
	callers := amrserve.NewCallerConns(s.clock, func() amrserve.CallerLimits { return *s.limits.Load() })
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return callers.Run(ctx) })
	group.Go(func() error {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
		return amrserve.HTTP(ctx, listener, handler, amrserve.DefaultLimits, time.Second, amrserve.WithCallerConns(callers))
	})
	t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// caller is one connection to the server.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *limitedServer) connect(t *testing.T) *caller {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// status reads an answer and returns its status.
func (c *caller) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// closed waits until the server has closed the connection, while the clock
// goes on.
func (c *caller) closed(s *limitedServer) bool {
	buffer := make([]byte, 1)
	for range 200 {
		s.clock.Advance(50 * time.Millisecond)
		_ = c.conn.SetReadDeadline(clock.Now().Add(10 * time.Millisecond))
		_, err := c.conn.Read(buffer)
		var timeout net.Error
		waiting := errors.As(err, &timeout) && timeout.Timeout()
		if err != nil && !waiting {
			return true
		}
	}
	return false
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func TestHeaderBytes(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.CallerLimits{HeaderBytes: 200})
	c := s.connect(t)
	c.send(wholeRequest)
	is.Equal(c.status(), http.StatusOK)
	c.send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 200) + "\r\n\r\n")
	is.Equal(c.status(), http.StatusRequestHeaderFieldsTooLarge)

	s.limits.Store(&amrserve.CallerLimits{HeaderBytes: 2000}) // New records.
	c = s.connect(t)
	c.send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 200) + "\r\n\r\n")
	is.Equal(c.status(), http.StatusOK)
}

func TestIdleTimeout(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.CallerLimits{IdleTimeout: 3 * time.Second})
	c := s.connect(t)
	c.send(wholeRequest)
	is.Equal(c.status(), http.StatusOK)
	s.clock.Advance(2 * time.Second)
	c.send(wholeRequest) // Within the limit.
	is.Equal(c.status(), http.StatusOK)
	is.True(c.closed(s))
}

// TestIdleTimeoutShortened has the limit shortened while a connection is idle:
// its caller may not know, so the former limit holds for it.
func TestIdleTimeoutShortened(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.CallerLimits{IdleTimeout: 10 * time.Second})
	c := s.connect(t)
	c.send(wholeRequest)
	is.Equal(c.status(), http.StatusOK)
	s.limits.Store(&amrserve.CallerLimits{IdleTimeout: time.Second})
	for range 16 {
		s.clock.Advance(500 * time.Millisecond)
	}
	c.send(wholeRequest)
	is.Equal(c.status(), http.StatusOK)
}

func TestHeaderTimeout(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.CallerLimits{HeaderTimeout: time.Second})
	c := s.connect(t)
	c.send("GET / HTTP/1.1\r\nHo")
	is.True(c.closed(s))
}
