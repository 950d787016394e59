package amrhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// blockingBytes is the size up to which a body is sent before the answer is
// read. A server may answer a longer one before it has read it.
const blockingBytes = 4 << 10

// freshLimit is how long a connection may have been idle to count as fresh.
const freshLimit = 500 * time.Millisecond

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	transport *Transport
	address   string
	reader    *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration

	stop   func() bool    // Ends the watch of the context of the request in progress.
	sent   chan struct{}  // Closed when the whole request was sent.
	writer errgroup.Group // Sends long bodies.
}

// reusable reports whether an idle connection can take another request.
func (c *conn) reusable(now time.Time, fresh bool) bool {
	idle := now.Sub(c.idleSince)
	if idle >= c.idleLimit || fresh && idle >= freshLimit {
		return false
	}
	return c.reader.Buffered() == 0 && quiet(c.Conn)
}

// quiet reports whether the connection is open and nothing has come on it.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
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

// close ends the connection at once. Bytes that the other side has not
// received are dropped, so that they have no effect later.
func (c *conn) close() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only on a closed connection.
	}
	_ = c.Close() // A second close reports that it is closed.
}

// roundTrip sends the request and reads the head of its answer.
func (c *conn) roundTrip(ctx context.Context, r *Request) (*Response, error) {
	c.stop = context.AfterFunc(ctx, c.close)
	if err := c.writeRequest(r); err != nil {
		c.end()
		return nil, Broken.Wrap(err, "cannot send the request to %s; it may have run", c.address)
	}
	for range maxForeign {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			c.end()
			return nil, Broken.Wrap(err, "no answer of %s; the request may have run", c.address)
		}
		if r.Own == nil || r.Own(resp.Header) {
			return c.response(resp), nil
		}
		if err := drop(resp); err != nil {
			break
		}
	}
	c.end()
	return nil, Broken.New("answers of %s belong to other requests; the request may have run", c.address)
}

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
	if len(r.Body) <= blockingBytes {
		defer close(c.sent)
		head.Write(r.Body)
		_, err := c.Write(head.Bytes())
		return err
	}
	c.writer.Go(func() error {
		buffers := net.Buffers{head.Bytes(), r.Body}
		_, err := buffers.WriteTo(c.Conn)
		if err == nil {
			close(c.sent)
		}
		return nil // The reader finds the connection broken, or an answer.
	})
	return nil
}

// wholeSent reports whether the whole request was sent.
func (c *conn) wholeSent() bool {
	select {
	case <-c.sent:
		return true
	default:
		return false
	}
}

// drop reads a foreign answer to its end.
func drop(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return io.ErrUnexpectedEOF // It lasts until the connection ends.
	}
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
	return err
}

func (c *conn) response(resp *http.Response) *Response {
	limit := keepAlive(resp.Header.Get("Keep-Alive"))
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Body:   &body{conn: c, reader: resp.Body, keep: !resp.Close && limit > 0, limit: limit},
	}
}

// end closes the connection and ends the watch of the context.
func (c *conn) end() {
	c.stop()
	c.close()
}

// release puts the connection back for reuse, where nothing more came on it.
func (c *conn) release(limit time.Duration) {
	if !c.stop() || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.idleSince = c.transport.clock.Now()
	c.idleLimit = limit
	c.transport.keep(c)
}

// body is the body of an answer. At its end the connection can be used again.
type body struct {
	conn   *conn
	reader io.ReadCloser
	keep   bool
	limit  time.Duration
	ended  bool
	closed bool
}

// Read reads from the body. It returns io.EOF only at the end of the whole
// body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close ends the use of the answer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.ended && b.keep && b.conn.wholeSent() {
		b.conn.release(b.limit)
		return nil
	}
	b.conn.end()
	return nil
}

func setUnackedTimeout(_ context.Context, network, _ string, raw syscall.RawConn) error {
	if !strings.HasPrefix(network, "tcp") {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
