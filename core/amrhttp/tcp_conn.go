package amrhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCPConn is a TCP connection whose Read returns io.EOF only if the peer has ended its
// direction of the connection in order.
//
// The kernel reports the failure of a connection, such as a reset, to one call only. If
// that is a Write, the next Read of the socket sees an ordinary end. Read therefore looks
// at the state of the socket, and at the result of the Write, before it reports an end.
//
// Create it with NewTCPConn.
type TCPConn struct {
	net.Conn
	tcp *net.TCPConn // The same connection.

	mu       sync.Mutex
	writable *sync.Cond // No write is in progress.
	writes   int        // Number of writes in progress.
	failure  error      // The failure that a call has reported; nil if none has.
}

// NewTCPConn returns a TCPConn for the connection, which must not be used directly any more.
func NewTCPConn(tcp *net.TCPConn) *TCPConn {
	c := &TCPConn{Conn: tcp, tcp: tcp}
	c.writable = sync.NewCond(&c.mu)
	return c
}

// Read reads from the connection. It returns io.EOF at the end of what the peer sends, and
// another error if the connection failed before that end.
func (c *TCPConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, c.endError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordFailure(err)
	return n, err
}

// Write writes to the connection.
func (c *TCPConn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.tcp.Write(p)
	c.endWrite(err)
	return n, err
}

// writeBuffers writes the buffers to the connection with as few calls as possible.
func (c *TCPConn) writeBuffers(buffers net.Buffers) error {
	c.beginWrite()
	_, err := buffers.WriteTo(c.tcp)
	c.endWrite(err)
	return err
}

// CloseWrite ends the direction to the peer.
func (c *TCPConn) CloseWrite() error {
	return c.tcp.CloseWrite()
}

// Reset closes the connection and discards the bytes that the peer has not received, so
// that they cannot take effect later.
func (c *TCPConn) Reset() {
	_ = c.tcp.SetLinger(0) // Returns an error only if the connection is closed.
	_ = c.tcp.Close()      // The same.
}

func (c *TCPConn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
}

func (c *TCPConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.recordFailure(err)
	}
	if c.writes--; c.writes == 0 {
		c.writable.Broadcast()
	}
}

// recordFailure keeps the error of a call if it tells that the connection has failed before
// the peer ended its direction in order. The caller must hold c.mu.
func (c *TCPConn) recordFailure(err error) {
	switch {
	case c.failure != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed):
	case errors.Is(err, syscall.EPIPE):
		// Either the failure has been reported before, or the peer reset the connection
		// after it had ended its direction.
	default:
		c.failure = err
	}
}

// endError returns the error for a socket that has no more bytes to read: io.EOF if the peer
// has ended its direction, or the failure of the connection.
func (c *TCPConn) endError() error {
	if c.isOpen() {
		return io.EOF // Writes may go on, so that they must not be waited for.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writes > 0 { // A write ends at once if the connection has failed.
		c.writable.Wait()
	}
	if c.failure != nil {
		return fmt.Errorf("the connection did not end in order: %w", c.failure)
	}
	return io.EOF
}

// tcpClosed is the state of a socket after a failure, or when both peers have ended their
// directions. As long as only the peer has, the socket has another state.
const tcpClosed = unix.BPF_TCP_CLOSE

// isOpen reports whether the connection has not failed and was not closed.
func (c *TCPConn) isOpen() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State != tcpClosed
	})
	return err == nil && open
}
