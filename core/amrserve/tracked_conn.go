package amrserve

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// connState is the state of a connection.
type connState int

const (
	connIdle          connState = iota // No part of a request has been received.
	connReadingHeader                  // Part of a request's header has been received.
	connHandling                       // The request is being handled.
	connClosing                        // This process closes the connection, and reads no more from it.
)

// trackedConn is a TCP connection whose state is known to the byte: reading the first
// byte of a request and leaving the idle state are one step, so that a connection which
// has such a byte is never closed as idle.
type trackedConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	clock clockwork.Clock

	mu     sync.Mutex
	state  connState
	since  time.Time // Start of the state; not updated for handling, which has no limit.
	early  bool      // A byte of the next request was received while the one before was being handled.
	served bool      // A request has been received.
}

// newTrackedConn returns the connection, which is idle.
func newTrackedConn(tcp *net.TCPConn, clock clockwork.Clock) *trackedConn {
	raw, err := tcp.SyscallConn()
	if err != nil {
		panic(err) // Cannot happen for a connection that was accepted.
	}
	return &trackedConn{TCPConn: tcp, raw: raw, clock: clock, since: clock.Now()}
}

// Read reads from the connection and records that request data has arrived.
func (c *trackedConn) Read(p []byte) (int, error) {
	if !c.isHandling() {
		return c.readHeader(p)
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.recordEarly(p)
	}
	return n, err
}

// isHandling reports whether a request is being handled.
func (c *trackedConn) isHandling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connHandling
}

// readHeader reads bytes of a request's header.
func (c *trackedConn) readHeader(p []byte) (int, error) {
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		n, done, readErr = c.tryRead(int(fd), p)
		return done
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: readErr}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// tryRead reads what has arrived, and records it in the same step. It returns false if
// nothing has.
func (c *trackedConn) tryRead(fd int, p []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosing {
		return 0, true, net.ErrClosed
	}
	for {
		n, err = unix.Read(fd, p)
		if err != unix.EINTR { //nolint:errorlint // An errno is not wrapped.
			break
		}
	}
	switch {
	case err == unix.EAGAIN: //nolint:errorlint // An errno is not wrapped.
		return 0, false, nil
	case err != nil:
		return 0, true, os.NewSyscallError("read", err)
	case n > 0 && c.state == connIdle:
		c.state, c.since = connReadingHeader, c.clock.Now()
	}
	return n, true, nil
}

// recordEarly records a read while a request is being handled. While its handler runs,
// http.Server waits for the next request, or the end of the connection, by reading a single
// byte; it never reads a body so.
func (c *trackedConn) recordEarly(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connHandling && len(p) == 1 {
		c.early = true
	}
}

// track records a change of the state that http.Server reports.
func (c *trackedConn) track(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosing {
		return
	}
	if state == http.StateIdle {
		c.state, c.since = connIdle, c.clock.Now()
		if c.early {
			c.state = connReadingHeader
		}
		c.early = false
	}
}

// begin records that the header of a request is complete, and reports whether the request
// may be handled. If this process is closing the connection, it has given another answer.
func (c *trackedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosing {
		return false
	}
	c.state, c.served = connHandling, true
	return true
}

// wasServed reports whether a request has been received.
func (c *trackedConn) wasServed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// stateSince returns the start of the state.
func (c *trackedConn) stateSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// leaveIdle reports whether the connection has been idle for the limit or longer. If so,
// nothing is read from it any more, and the caller must close it.
func (c *trackedConn) leaveIdle(now time.Time, limit time.Duration) bool {
	return c.leave(connIdle, now, limit)
}

// leaveHeader reports whether the connection has waited for the rest of a header for the limit
// or longer. If so, nothing is read from it any more, and the caller must answer.
func (c *trackedConn) leaveHeader(now time.Time, limit time.Duration) bool {
	return c.leave(connReadingHeader, now, limit)
}

// leave reports whether the connection has been in the state for the limit or longer, and
// no bytes wait that this process has not read yet because the processor is busy. If so, its
// state becomes connClosing.
func (c *trackedConn) leave(state connState, now time.Time, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != state || now.Sub(c.since) < limit || c.bytesWait() {
		return false
	}
	c.state = connClosing
	return true
}

// bytesWait reports whether bytes have arrived that have not been read.
func (c *trackedConn) bytesWait() bool {
	waiting := 0
	err := c.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		if err == nil {
			waiting = n
		}
	})
	return err == nil && waiting > 0
}
