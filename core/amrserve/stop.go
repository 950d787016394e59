package amrserve

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// quietPeriod is the time without a new connection or request after which a stop
	// closes the listener and the idle connections. It lets requests arrive that
	// clients had sent when the stop began. A new connection stays open as long.
	quietPeriod = 300 * time.Millisecond

	// maxAcceptPeriod is the maximum time for which the listener and idle connections
	// stay open after a stop has begun. Requests that arrive later may take longer
	// than the grace period.
	maxAcceptPeriod = 400 * time.Millisecond

	// quietPollInterval is the time between two checks for connections and for
	// requests in progress.
	quietPollInterval = 20 * time.Millisecond

	// backlogPollInterval is the time between two checks for connections that wait to be
	// accepted, and maxBacklogWait the maximum time for which a listener stays open because
	// of them.
	backlogPollInterval = time.Millisecond
	maxBacklogWait      = 200 * time.Millisecond

	// settleTime is the time for which a connection must be idle before a stop closes it.
	// Bytes of a next request that were read with the one before may still be in a buffer.
	settleTime = 50 * time.Millisecond
)

// clock measures the times of a stop.
var clock = clockwork.NewRealClock()

// stopState is the state of a graceful stop of a server.
type stopState struct {
	conns *ConnLimiter

	stopping   atomic.Bool  // Clients are asked to close their connections.
	closing    atomic.Bool  // Requests are refused, because connections are about to be closed.
	accepted   atomic.Int64 // Connections accepted so far.
	began      atomic.Int64 // Requests begun so far.
	inProgress atomic.Int64 // Requests in progress.
}

// wrap returns a handler that counts the requests that next is handling, and tells
// clients of the stop. It logs why an answer was broken off.
func (s *stopState) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.began.Add(1)
		s.inProgress.Add(1)
		defer s.inProgress.Add(-1)
		defer s.recordPanic(r)
		if !s.conns.begin(w, r) {
			panic(http.ErrAbortHandler)
		}
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if s.closing.Load() {
			http.Error(w, "the server is stopping; send the request to another one", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// recordPanic logs and counts a panic of the handler, and has http.Server close the
// connection. It must be deferred.
func (s *stopState) recordPanic(r *http.Request) {
	switch v := recover(); v {
	case nil:
		return
	case http.ErrAbortHandler:
		s.conns.recordEnd(endAborted, "remote", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
	default:
		s.conns.recordEnd(endPanic, "remote", r.RemoteAddr, "method", r.Method, "path", r.URL.Path, "panic", v, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// awaitQuiet asks clients to close their connections. When no connection or request has
// arrived for quietPeriod, or after maxAcceptPeriod, it has further requests refused and
// returns.
func (s *stopState) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxAcceptPeriod)
	defer cancel()
	defer s.closing.Store(true)
	s.stopping.Store(true)
	last, since := int64(-1), clock.Now()
	for ctx.Err() == nil && clock.Since(since) < quietPeriod {
		if n := s.accepted.Load() + s.began.Load(); n != last {
			last, since = n, clock.Now()
		}
		clock.Sleep(quietPollInterval)
	}
}

// closeListener closes the listener when no connection waits to be accepted, as those
// would be reset.
func closeListener(listener net.Listener) error {
	for begin := clock.Now(); connsWait(listener) && clock.Since(begin) < maxBacklogWait; {
		clock.Sleep(backlogPollInterval)
	}
	return listener.Close()
}

// connsWait reports whether connections wait to be accepted. It returns false if the
// listener does not tell.
func connsWait(listener net.Listener) bool {
	l, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		if err == nil {
			waiting = n
		}
	})
	return err == nil && waiting > 0
}

// awaitEnd closes the connections that are or become idle, until none is left or ctx is
// done. Then it answers requests whose header is not complete.
func (s *stopState) awaitEnd(ctx context.Context) {
	for {
		s.conns.closeIdle()
		if s.conns.count() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			s.conns.closeHeaders()
			return
		case <-clock.After(quietPollInterval):
		}
	}
}

// closeIdle closes the connections that are idle.
func (c *ConnLimiter) closeIdle() {
	now := c.clock.Now()
	for _, conn := range c.all() {
		if conn.leaveIdle(now, conn.stopLimit()) {
			c.end(conn, endStopping)
		}
	}
}

// closeHeaders closes the connections on which part of a header has been received.
func (c *ConnLimiter) closeHeaders() {
	now := c.clock.Now()
	for _, conn := range c.all() {
		if conn.leaveHeader(now, 0) {
			c.end(conn, endStopHeader)
		}
	}
}

// stopLimit returns the time for which the connection must be idle before a stop closes it.
func (c *trackedConn) stopLimit() time.Duration {
	if c.wasServed() {
		return settleTime
	}
	return quietPeriod
}
