package amrhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrhttp"
)

// headerID is the header that identifies the request to which a response belongs.
const headerID = "X-Request"

// server responds to each request with the next of its scripted texts, byte for
// byte.
type server struct {
	listener  net.Listener
	responses []string
	next      atomic.Int64 // Index of the next text.
	conns     atomic.Int64 // Number of connections accepted so far.
	group     errgroup.Group
	stopped   chan struct{} // Closed at the end of the test.
}

// serve starts a server and stops it at the end of the test.
func serve(t *testing.T, responses []string) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener, responses: responses, stopped: make(chan struct{})}
	s.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil // The listener was closed.
			}
			s.conns.Add(1)
			s.group.Go(func() error { return s.respond(conn) })
		}
	})
	t.Cleanup(func() {
		close(s.stopped)
		_ = listener.Close()
	})
	return s
}

// respond serves a connection. Instead of a response, a text may be "reset", which
// resets the connection, or "hang", which sends nothing. With the prefix "early:",
// the response is sent before the body of the request is read. A suffix tells how the
// connection ends after the response: "<close>" closes it, "<reset>" resets it, and
// "<half-close>" ends only the direction to the client, while the body of the request
// is not read. At "<pause>", sending pauses so long that the client receives what comes
// before.
func (s *server) respond(conn net.Conn) error {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		n := int(s.next.Add(1)) - 1
		if n >= len(s.responses) {
			return nil
		}
		text, early := strings.CutPrefix(s.responses[n], "early:")
		if !early {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return nil
			}
		}
		switch text {
		case "reset":
			return conn.(*net.TCPConn).SetLinger(0)
		case "hang":
			_, _ = io.Copy(io.Discard, reader)
			return nil
		}
		text, closes := strings.CutSuffix(text, "<close>")
		text, resets := strings.CutSuffix(text, "<reset>")
		text, halfCloses := strings.CutSuffix(text, "<half-close>")
		for i, part := range strings.Split(text, "<pause>") {
			if i > 0 {
				clockwork.NewRealClock().Sleep(20 * time.Millisecond)
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return nil
			}
		}
		if halfCloses {
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				return err
			}
		}
		switch {
		case closes:
			return nil
		case resets:
			return conn.(*net.TCPConn).SetLinger(0)
		case halfCloses:
			<-s.stopped
			return nil
		case early:
			// If the body were read now, the client could send the request completely
			// and reuse the connection.
			s.awaitConns(2)
			_, _ = io.Copy(io.Discard, request.Body)
		}
	}
}

// awaitConns waits until the server has accepted n connections, for 2 s at most.
func (s *server) awaitConns(n int64) {
	clock := clockwork.NewRealClock()
	deadline := clock.Now().Add(2 * time.Second)
	for s.conns.Load() < n && clock.Now().Before(deadline) {
		clock.Sleep(time.Millisecond)
	}
}

// scriptBytes replaces what scripts write for bytes that their lines cannot contain, or for
// many bytes.
var scriptBytes = strings.NewReplacer(
	"\\", "", "<tab>", "\t", "<lf>", "\n", "<cr>", "\r", "<nul>", "\x00", "<0xe4>", "\xe4",
	"<kib>", strings.Repeat("x", 1<<10), "<mib>", strings.Repeat("x", 1<<20),
)

// TestTransport runs the cases in testdata/transport. The input of a case lists
// the responses of a server, separated by lines of "--", and the output lists the
// result of each request. With the argument "times", the request is sent that often, to a
// new server each time, and the output tells how often its response was complete.
func TestTransport(t *testing.T) {
	datadriven.RunTest(t, "testdata/transport", func(t *testing.T, d *datadriven.TestData) string {
		responses := parseResponses(d.Input)
		if d.HasArg("times") {
			return countComplete(t, d, responses)
		}
		return sendAll(t, d, responses)
	})
}

// parseResponses returns the responses in the input of a case.
func parseResponses(input string) []string {
	var responses []string
	for response := range strings.SplitSeq(input, "\n--\n") {
		response = strings.ReplaceAll(response, "\n", "\r\n")
		responses = append(responses, scriptBytes.Replace(response))
	}
	return responses
}

// bodyOf returns the body of the requests of a case, which is empty or long.
func bodyOf(d *datadriven.TestData) string {
	if d.HasArg("long") {
		return strings.Repeat("x", 8<<20)
	}
	return ""
}

// countComplete sends the request as often as the argument says and tells how often the
// response was complete.
func countComplete(t *testing.T, d *datadriven.TestData, responses []string) string {
	var times, complete int
	d.ScanArgs(t, "times", &times)
	for range times {
		if !strings.Contains(sendAll(t, d, responses), "broken") {
			complete++
		}
	}
	return fmt.Sprintf("complete: %d of %d\n", complete, times)
}

// sendAll sends one request after the other to a server with the responses. It returns
// their results, a line each.
func sendAll(t *testing.T, d *datadriven.TestData, responses []string) string {
	s := serve(t, responses)
	transport := amrhttp.New()
	var out strings.Builder
	for i := range len(responses) {
		out.WriteString(send(t, transport, s.listener.Addr().String(), i, bodyOf(d), d.HasArg("fresh")))
	}
	if d.HasArg("conns") {
		out.WriteString("connections: " + string(rune('0'+s.conns.Load())) + "\n")
	}
	return out.String()
}

// send sends the request with the number n and returns the result as a line.
func send(t *testing.T, transport *amrhttp.Transport, address string, n int, body string, fresh bool) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	id := string(rune('a' + n))
	response, err := transport.Send(ctx, address, &amrhttp.Request{
		Method:    http.MethodPost,
		Target:    "/x",
		Host:      "shop.example",
		Header:    http.Header{headerID: {id}},
		Body:      []byte(body),
		FreshConn: fresh,
		Owner:     ownerOf(id),
	})
	if err != nil {
		return kindOf(err) + "\n"
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return strings.TrimSpace(response.Header.Get(headerID)+" broken body "+string(data)) + "\n"
	}
	return strings.TrimSpace(response.Header.Get(headerID)+" "+http.StatusText(response.Status)+" "+string(data)) + "\n"
}

// ownerOf returns a function that tells whether a response belongs to the request
// with the id.
func ownerOf(id string) func(int, http.Header) amrhttp.Owner {
	return func(_ int, h http.Header) amrhttp.Owner {
		switch h.Get(headerID) {
		case id:
			return amrhttp.OwnerThis
		case "":
			return amrhttp.OwnerUnknown
		}
		return amrhttp.OwnerOther
	}
}

// kindOf returns the kind of the error as text.
func kindOf(err error) string {
	switch {
	case errorx.IsOfType(err, amrhttp.NotSent):
		return "not sent"
	case errorx.IsOfType(err, amrhttp.Broken):
		return "broken"
	}
	return err.Error()
}

// TestNotSent checks the error when no connection can be established.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = amrhttp.New().Send(t.Context(), address, &amrhttp.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	is.True(errorx.IsOfType(err, amrhttp.NotSent))
}

// TestCanceled checks that the connection is closed when the context is done, so
// that the server can stop its work.
func TestCanceled(t *testing.T) {
	is := is.New(t)
	s := serve(t, []string{"hang"})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := amrhttp.New().Send(ctx, s.listener.Addr().String(), &amrhttp.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	is.True(errorx.IsOfType(err, amrhttp.Broken))
	is.NoErr(s.listener.Close())
	is.NoErr(s.group.Wait()) // Returns once the server has found its connection closed.
}

// TestFresh checks that a request that must not run twice does not reuse a
// connection that has been idle for a while.
func TestFresh(t *testing.T) {
	is := is.New(t)
	ok := func(id string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request: " + id + "\r\n\r\nok"
	}
	s := serve(t, []string{ok("a"), ok("b"), ok("c")})
	clock := clockwork.NewFakeClock()
	transport := amrhttp.New(amrhttp.WithClock(clock))
	address := s.listener.Addr().String()
	is.Equal(send(t, transport, address, 0, "", true), "a OK ok\n")
	is.Equal(send(t, transport, address, 1, "", true), "b OK ok\n")
	is.Equal(s.conns.Load(), int64(1))
	clock.Advance(time.Second)
	is.Equal(send(t, transport, address, 2, "", true), "c OK ok\n")
	is.Equal(s.conns.Load(), int64(2))
}
