package amrsidecar_test

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
)

// TestFailedAttemptIsLogged checks that the log names the request and what was wrong with the
// response of its backend server.
func TestFailedAttemptIsLogged(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var server errgroup.Group
	server.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		if _, err := io.ReadAtLeast(conn, make([]byte, 4096), 1); err != nil {
			return err
		}
		_, err = io.WriteString(conn, "HTTP/1.1 000 Error\r\nContent-Length: 3\r\n\r\none")
		return err
	})
	var log bytes.Buffer
	client := startSidecarOf(t, clockwork.NewRealClock(), "http://"+listener.Addr().String(), slog.New(slog.NewTextHandler(&log, nil)))
	stream, err := client.Dispatch(t.Context(), &amrgate.DispatchRequest{
		RequestId: "r1", Revision: 1, DeadlineMs: 1000, ServiceCall: &amrgate.ServiceCall{Method: "POST", Path: "x"},
	})
	is.NoErr(err)
	var failed *amrgate.Failed
	for failed == nil {
		reply, err := stream.Recv()
		is.NoErr(err)
		failed = reply.GetFailed()
	}
	is.Equal(failed.GetReason(), string(amrreason.EngineLost))
	is.NoErr(stream.Close())
	is.NoErr(listener.Close())
	is.NoErr(server.Wait())
	text := log.String() // The line is written before the reply is sent.
	is.True(strings.Contains(text, `msg="attempt failed"`))
	is.True(strings.Contains(text, "id=r1 "))
	is.True(strings.Contains(text, "the status 000"))
}
