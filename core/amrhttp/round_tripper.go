package amrhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// roundTripper sends requests by an http.Transport and rejects responses that are none.
type roundTripper struct {
	*http.Transport
}

// NewRoundTripper returns an http.RoundTripper that sends requests by a copy of the transport,
// with its pool of connections and its retries. It returns an error for a response whose head is
// not valid, and the body of a response without a length returns one if the connection did not
// end in order. Over TLS, only the status and the names of fields are checked.
func NewRoundTripper(t *http.Transport) http.RoundTripper {
	t = t.Clone()
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		switch c := nc.(type) {
		case *TCPConn:
			return &checkedConn{TCPConn: c}, nil
		case *net.TCPConn:
			return &checkedConn{TCPConn: NewTCPConn(c)}, nil
		}
		return nc, nil
	}
	return roundTripper{t}
}

// RoundTrip implements http.RoundTripper.
func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*checkedConn); ok {
				c.expectHead()
			}
		},
	})
	response, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkParsed(response); err != nil {
		_ = response.Body.Close() // The response is not used.
		return nil, err
	}
	response.Request = r
	return response, nil
}

// checkParsed returns an error if a head that has been parsed is not valid, as far as that can
// still be told.
func checkParsed(response *http.Response) error {
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	return checkNames(response.Header)
}

// checkedConn is a connection that checks the heads of the responses which are read from it.
type checkedConn struct {
	*TCPConn

	headMu  sync.Mutex
	scanner *headScanner // nil unless a head is expected.
	invalid error        // What is wrong with a head; nil if nothing is.
}

// expectHead lets the bytes that are read next be checked, up to the end of a response's head.
func (c *checkedConn) expectHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.scanner = newHeadScanner()
}

// Read reads from the connection. It returns an error, and none of the bytes, if a head is not
// valid.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.invalid == nil {
		c.invalid = c.check(p[:n])
	}
	if c.invalid != nil {
		return 0, c.invalid
	}
	return n, err
}

// check checks the bytes that belong to heads. The caller must hold c.headMu.
func (c *checkedConn) check(p []byte) error {
	for c.scanner != nil && len(p) > 0 {
		n, status, err := c.scanner.scan(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if status >= minFinalStatus {
			c.scanner = nil
		}
	}
	return nil
}
