package amrhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// maxSyncBody is the maximum length in bytes of a body that is sent completely
// before the response is read. A longer body is sent while the response is read,
// as a server may respond before it has read all of it.
const maxSyncBody = 4 << 10

// maxWindowBody is the length in bytes of a body that fits into the receive window
// of any server, so that it is sent at once even if the server does not read.
const maxWindowBody = 32 << 10

// freshLimit is the time for which a connection may have been idle to count as
// fresh.
const freshLimit = 500 * time.Millisecond

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	*TCPConn
	transport *Transport
	address   string
	responses *responseReader
	used      bool // The connection has carried a request.

	unackedTimeout time.Duration // Time for which sent bytes may remain unacknowledged; 0 if there is no limit.

	idleSince  time.Time     // Time of the end of the last request.
	reuseLimit time.Duration // Time for which it may be idle and still be reused.

	stop   func() bool    // Stops the context.AfterFunc that closes the connection when the context is done.
	sent   chan struct{}  // Closed when the request has been sent completely.
	writer errgroup.Group // Runs the sending of long bodies.
}

// reusable reports whether an idle connection can carry another request. If
// fresh, it must not have been idle for freshLimit.
func (c *conn) reusable(now time.Time, fresh bool) bool {
	idle := now.Sub(c.idleSince)
	if idle >= c.reuseLimit || fresh && idle >= freshLimit {
		return false
	}
	return c.responses.isEmpty() && isOpenAndEmpty(c.tcp)
}

// isOpenAndEmpty reports whether the connection is open and has no received bytes
// to read.
func isOpenAndEmpty(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// roundTrip sends the request and reads the response up to its body. It discards
// responses that belong to other requests.
func (c *conn) roundTrip(ctx context.Context, r *Request) (*Response, error) {
	used := c.used
	c.used = true
	if err := c.prepareFor(len(r.Body)); err != nil {
		c.Reset()
		return nil, NotSent.Wrap(err, "cannot set the options of the connection to %s", c.address)
	}
	c.stop = context.AfterFunc(ctx, c.Reset)
	if err := c.writeRequest(r); err != nil {
		c.abort()
		return nil, Broken.Wrap(err, "cannot send the whole request to %s; it may have run", c.address)
	}
	for range maxResponses {
		resp, err := c.responses.readHead(r.Method)
		if err != nil {
			c.abort()
			return nil, Broken.Wrap(err, "no response from %s; the request may have run", c.address)
		}
		owner := OwnerThis
		if r.Owner != nil {
			owner = r.Owner(resp.StatusCode, resp.Header)
		}
		if owner == OwnerUnknown && used {
			c.abort()
			return nil, Broken.New("a response from %s on a connection in use again does not identify its request, which may have run", c.address)
		}
		if owner != OwnerOther {
			return c.response(resp, owner == OwnerThis), nil
		}
		if err := discard(resp); err != nil {
			c.abort()
			return nil, Broken.Wrap(err, "cannot read a response from %s that belongs to another request; the request may have run", c.address)
		}
	}
	c.abort()
	return nil, Broken.New("the responses from %s belong to other requests; the request may have run", c.address)
}

// writeRequest writes the request to the connection. A body longer than
// maxSyncBody is sent in the background.
func (c *conn) writeRequest(r *Request) error {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	c.sent = make(chan struct{})
	if len(r.Body) <= maxSyncBody {
		defer close(c.sent)
		head.Write(r.Body)
		_, err := c.Write(head.Bytes())
		return err
	}
	c.writer.Go(func() error {
		if err := c.writeBuffers(net.Buffers{head.Bytes(), r.Body}); err == nil {
			close(c.sent)
		}
		return nil // roundTrip reads a response or finds that the connection has failed.
	})
	return nil
}

// sentCompletely reports whether the request has been sent completely.
func (c *conn) sentCompletely() bool {
	select {
	case <-c.sent:
		return true
	default:
		return false
	}
}

// discard reads a response to its end. It returns an error if the response cannot
// be read, has no length or has a body longer than maxDiscardBytes, so that the
// connection cannot carry another one.
func discard(resp *http.Response) error {
	if endsWithConnection(resp) {
		return io.ErrUnexpectedEOF
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes+1))
	if err == nil && n > maxDiscardBytes {
		return errors.New("the body is longer than " + strconv.Itoa(maxDiscardBytes) + " bytes")
	}
	return err
}

// endsWithConnection reports whether the body has neither a length nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// response returns the Response for a response that was read up to its body. After
// a response that does not identify its request, the connection is not reused,
// because a late copy of it could not be told from the next response.
func (c *conn) response(resp *http.Response, identified bool) *Response {
	reuseLimit := parseKeepAlive(resp.Header.Get("Keep-Alive"))
	ends := endsWithConnection(resp)
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,

		EndsWithConnection: ends,

		Body: &body{
			conn: c, response: resp, reusable: identified && !resp.Close && reuseLimit > 0, reuseLimit: reuseLimit,
			endsWithConnection: ends,
		},
	}
}

// abort closes the connection and ends its dependency on the request's context.
func (c *conn) abort() {
	c.stop()
	c.Reset()
}

// release returns the connection to the transport for reuse. It closes the
// connection instead if the request's context is done or bytes follow the
// response.
func (c *conn) release(limit time.Duration) {
	if !c.stop() || !c.responses.isEmpty() {
		c.Reset()
		return
	}
	c.idleSince = c.transport.clock.Now()
	c.reuseLimit = limit
	c.transport.keep(c)
}

// body is the body of a response.
type body struct {
	conn       *conn
	response   *http.Response
	reusable   bool          // The server allows reuse of the connection after the response.
	reuseLimit time.Duration // Time for which the connection may be idle and still be reused.
	ended      bool          // The body has been read to its end.
	closed     bool

	endsWithConnection bool // The body has neither a length nor chunks.
}

// Read reads from the body. It returns io.EOF at the end of a complete body, and
// another error if the body is truncated. A body without a length ends with the
// connection, so that a truncation is detected only if the connection does not end in
// order.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if err := checkNames(b.response.Trailer); err != nil {
			return n, err
		}
		b.ended = true
	case err != nil && b.endsWithConnection:
		err = fmt.Errorf("a response without a length broke off: %w", err)
	}
	return n, err
}

// Close releases the connection for reuse if the body has been read to its end
// and the request has been sent completely. Otherwise it closes the connection.
// It always returns nil.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.ended && b.reusable && b.conn.sentCompletely() {
		b.conn.release(b.reuseLimit)
		return nil
	}
	b.conn.abort()
	return nil
}

// prepareFor sets the time for which sent bytes may remain unacknowledged. For a
// body that may not fit into the server's receive window there is no limit: a
// server that is slow to read it lets no more bytes be sent, which the kernel does
// not distinguish from a server that no longer responds.
func (c *conn) prepareFor(bodyBytes int) error {
	timeout := unackedTimeout
	if bodyBytes > maxWindowBody {
		timeout = 0
	}
	if timeout == c.unackedTimeout {
		return nil
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return err
	}
	c.unackedTimeout = timeout
	return setUnackedTimeout(raw, timeout)
}
