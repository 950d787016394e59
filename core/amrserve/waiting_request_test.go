package amrserve_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrserve"
)

// busyServer is a server that reads nothing from connections which have become idle while its
// processor is busy.
type busyServer struct {
	t        *testing.T
	address  string
	clock    *clockwork.FakeClock
	limiter  *amrserve.ConnLimiter
	registry *prometheus.Registry
	log      *bytes.Buffer // Read it after the stop only.
	idle     chan struct{} // Receives a value when a connection has become idle.
	resume   chan struct{} // Lets the server read from such a connection.
	stop     context.CancelFunc
	group    errgroup.Group
}

// startBusy starts a server with the limits.
func startBusy(t *testing.T, limits amrserve.ConnLimits) *busyServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &busyServer{
		t: t, address: listener.Addr().String(), clock: clockwork.NewFakeClock(), registry: prometheus.NewRegistry(),
		log: new(bytes.Buffer), idle: make(chan struct{}, 10), resume: make(chan struct{}),
	}
	s.limiter = amrserve.NewConnLimiter(s.clock, amrserve.WithLogger(slog.New(slog.NewTextHandler(s.log, nil))), amrserve.WithRegisterer(s.registry))
	s.limiter.SetLimits(limits)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.group.Go(func() error {
		return amrserve.Serve(ctx, listener, http.HandlerFunc(s.serve), amrserve.DefaultLimits, time.Second, amrserve.WithConnLimiter(s.limiter), amrserve.WithStateHook(s.wait))
	})
	return s
}

// serve answers a request, or fails.
func (s *busyServer) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fails":
		panic("failed in the test")
	case "/aborts":
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "complete")
}

// wait waits until the server may go on reading from an idle connection.
func (s *busyServer) wait(_ net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		s.idle <- struct{}{}
		<-s.resume
	}
}

// connect returns a connection that was used for a request and from which the server does not
// read.
func (s *busyServer) connect() *client {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	c := &client{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
	c.send(completeRequest)
	if c.status() != http.StatusOK {
		s.t.Error("the first request was refused")
	}
	<-s.idle
	return c
}

// goOn lets the server read from all connections.
func (s *busyServer) goOn() {
	close(s.resume)
}

// end stops the server.
func (s *busyServer) end() {
	s.stop()
	if err := s.group.Wait(); err != nil {
		s.t.Error(err)
	}
}

// arrivalTime is the time in which bytes cross the loopback interface.
const arrivalTime = 50 * time.Millisecond

// TestRequestWaitsBeyondIdleTimeout guards against a whole request that is lost because its
// connection is closed as idle: the request has arrived, and the process has not read it yet.
func TestRequestWaitsBeyondIdleTimeout(t *testing.T) {
	is := is.New(t)
	s := startBusy(t, amrserve.ConnLimits{IdleTimeout: 3 * time.Second})
	c := s.connect()
	s.clock.Advance(2 * time.Second)
	c.send(completeRequest)
	clock.Sleep(arrivalTime)
	for range 20 {
		s.clock.Advance(250 * time.Millisecond)
		clock.Sleep(time.Millisecond)
	}
	s.goOn()
	is.Equal(c.status(), http.StatusOK)
	s.end()
}

// TestIdleTimeoutRaisedAndLowered guards against a request that is lost because the timeout on
// which its client relied was in force only for a while since the connection became idle.
func TestIdleTimeoutRaisedAndLowered(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.ConnLimits{IdleTimeout: time.Second})
	c := s.connect(t)
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
	<-s.idle
	s.limiter.SetLimits(amrserve.ConnLimits{IdleTimeout: 10 * time.Second})
	s.clock.Advance(10 * time.Millisecond)
	s.limiter.SetLimits(amrserve.ConnLimits{IdleTimeout: time.Second})
	for range 16 {
		s.clock.Advance(500 * time.Millisecond)
		clock.Sleep(time.Millisecond)
	}
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
	is.True(c.closed(s)) // The opposite: the former timeout does not apply to the next pause.
}

// TestStopWithWaitingRequest guards against a whole request that is lost because the server is
// stopped when the request has arrived and the process has not read it yet.
func TestStopWithWaitingRequest(t *testing.T) {
	is := is.New(t)
	s := startBusy(t, amrserve.ConnLimits{})
	c := s.connect()
	c.send(completeRequest)
	clock.Sleep(arrivalTime)
	s.stop()
	clock.Sleep(600 * time.Millisecond) // The server closes idle connections after 0.4 s.
	s.goOn()
	is.Equal(c.status(), http.StatusServiceUnavailable)
	s.end()
}

// TestStopWithPartOfHeader guards against a request that is lost because the server is stopped
// between the first and the last byte of the header.
func TestStopWithPartOfHeader(t *testing.T) {
	for name, test := range map[string]struct {
		rest time.Duration // Time from the stop until the rest of the header is sent.
	}{
		"soon":  {600 * time.Millisecond},
		"never": {time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startBusy(t, amrserve.ConnLimits{})
			c := s.connect()
			s.goOn()
			head, rest := completeRequest[:20], completeRequest[20:]
			c.send(head)
			clock.Sleep(arrivalTime)
			s.stop()
			if test.rest < time.Second {
				clock.Sleep(test.rest)
				c.send(rest)
			}
			is.Equal(c.status(), http.StatusServiceUnavailable)
			s.end()
		})
	}
}

// TestStopClosesIdleConnection checks the opposite: a connection without a request does not
// hold a stop up.
func TestStopClosesIdleConnection(t *testing.T) {
	is := is.New(t)
	s := startLimited(t, amrserve.ConnLimits{})
	c := s.connect(t)
	c.send(completeRequest)
	is.Equal(c.status(), http.StatusOK)
	<-s.idle
	s.clock.Advance(time.Second)
	before := clock.Now()
	s.stop()
	_, err := c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.True(clock.Since(before) < 800*time.Millisecond)
}

// TestBodyAfterLongIdleTime guards against a request that is refused because its connection was
// idle for longer than the body may take.
func TestBodyAfterLongIdleTime(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limits := amrserve.DefaultLimits
	limits.ReadTimeout = 200 * time.Millisecond
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return amrserve.Serve(ctx, listener, handler, limits, time.Second) })
	for name, status := range map[string]int{"abc": http.StatusOK, "a": http.StatusRequestTimeout} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		c := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
		clock.Sleep(300 * time.Millisecond)
		c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n" + name)
		is.Equal(c.status(), status) // Part of a body is waited for, but not for ever.
		is.NoErr(conn.Close())
	}
	stop()
	is.NoErr(group.Wait())
}

// TestEndsAreExplained guards against connections that end without an answer, of which neither
// the log nor a metric tells why.
func TestEndsAreExplained(t *testing.T) {
	is := is.New(t)
	s := startBusy(t, amrserve.ConnLimits{})
	for _, path := range []string{"/fails", "/aborts"} {
		conn, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		c := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
		c.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n")
		_, err = http.ReadResponse(c.reader, nil)
		is.True(err != nil)
		is.NoErr(conn.Close())
	}
	s.end()
	is.True(strings.Contains(s.log.String(), "reason=panic"))
	is.True(strings.Contains(s.log.String(), "failed in the test"))
	is.True(strings.Contains(s.log.String(), "reason=aborted"))
	is.Equal(testutil.CollectAndCount(s.registry, "amr_client_connections_ended_total"), 7)
}

// TestLongRequestAfterBody guards against a request that is canceled because it takes longer than
// its body may take to arrive.
func TestLongRequestAfterBody(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limits := amrserve.DefaultLimits
	limits.ReadTimeout = 100 * time.Millisecond
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-clock.After(400 * time.Millisecond):
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return amrserve.Serve(ctx, listener, handler, limits, time.Second) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	c := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
	for range 2 {
		c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
		is.Equal(c.status(), http.StatusOK)
	}
	is.NoErr(conn.Close())
	stop()
	is.NoErr(group.Wait())
}
