package amrsidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrcache"
	"amaranthreach.example/core/amrgate"
)

// uploadBytes is the length of a body that takes a while to send.
const uploadBytes = 4 << 20

// rawServer sends the same bytes as the response to each request.
type rawServer struct {
	response string
	early    bool // It responds before it has read the request's body, and then resets the connection.
}

// serve starts the server and returns its URL.
func (s rawServer) serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed at the end of the test.
			}
			group.Go(func() error { return s.respond(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return "http://" + listener.Addr().String()
}

// respond serves a connection, which carries one request.
func (s rawServer) respond(conn *net.TCPConn) error {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil //nolint:nilerr // The client closed the connection.
	}
	if !s.early {
		_, _ = io.Copy(io.Discard, request.Body) // The client detects an error.
	}
	_, _ = io.WriteString(conn, s.response) // The same.
	if s.early {
		clockwork.NewRealClock().Sleep(5 * time.Millisecond) // The client receives the response.
		return conn.SetLinger(0)
	}
	return nil
}

// noObserver is an engineObserver that does nothing.
type noObserver struct{}

func (noObserver) observeState(backendState) {}

func (noObserver) applyEvents(string, []amrcache.Event) uint64 { return 0 }

// TestBrokenAnswers runs the cases in testdata/broken-answers. The input of a case is the
// response of a backend server, and the output is what becomes of a request to it. With the
// argument "early", the server responds before it has read the request and then resets the
// connection; the output tells how many of some requests were answered.
func TestBrokenAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/broken-answers", func(t *testing.T, d *datadriven.TestData) string {
		s := rawServer{response: strings.ReplaceAll(d.Input, "\n", "\r\n"), early: d.HasArg("early")}
		url := s.serve(t)
		var server backend = newService(url)
		if d.Cmd == "engine" {
			server = newEngine(url, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), noObserver{})
		}
		if !s.early {
			result, _ := runOnce(t, server)
			return result
		}
		const requests = 20
		answered := 0
		for range requests {
			if _, err := runOnce(t, server); err == nil {
				answered++
			}
		}
		return fmt.Sprintf("answered: %d of %d\n", answered, requests)
	})
}

// runOnce sends a request with a long body to the server. It describes the result, and returns
// the error if there is no answer.
func runOnce(t *testing.T, server backend) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var body strings.Builder
	result, err := server.run(ctx, longRequest(), func(c answerChunk) error {
		body.Write(c.body)
		body.WriteString(c.text)
		return nil
	})
	if err != nil {
		return describe(err), err
	}
	return strings.TrimSpace(http.StatusText(result.status)+" "+body.String()) + "\n", nil
}

// describe returns the error of an attempt with the innermost part of its cause.
func describe(err error) string {
	text := err.Error()
	var failed attemptError
	if errors.As(err, &failed) && failed.cause != nil {
		parts := strings.Split(failed.cause.Error(), ": ")
		text += ": " + parts[len(parts)-1]
	}
	return text + "\n"
}

// longRequest returns a request with a long body, or a long prompt.
func longRequest() *amrgate.DispatchRequest {
	text := strings.Repeat("x", uploadBytes)
	return &amrgate.DispatchRequest{
		RequestId: "r1", Prompt: text, MaxTokens: 4,
		ServiceCall: &amrgate.ServiceCall{Method: http.MethodPost, Path: "x", Body: []byte(text), ContentType: "text/plain"},
	}
}
