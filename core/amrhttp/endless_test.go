package amrhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrhttp"
)

// An endless response consists of a beginning and a part that is repeated until
// the client closes the connection.
type endless struct {
	beginning, repeated string
}

// endlessHeads are responses whose body never begins.
var endlessHeads = map[string]endless{
	"status line":       {"HTTP/1.1 200 ", "O"},
	"header line":       {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Line: x\r\n"},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"no protocol":       {"", "no answer "},
}

// endlessFrames are responses with a body in chunks that end in endless bytes
// other than data.
var endlessFrames = map[string]endless{
	"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;", "x"},
	"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n", "X-Line: x\r\n"},
}

// serveEndless sends the response on each connection until the client closes it.
func serveEndless(t *testing.T, e endless) string {
	t.Helper()
	repeated := []byte(strings.Repeat(e.repeated, 1+4096/len(e.repeated)))
	return serveConns(t, func(conn net.Conn) {
		_, err := io.WriteString(conn, e.beginning)
		for err == nil {
			_, err = conn.Write(repeated)
		}
	})
}

// sendEndless sends a request and reads the response. It returns the error.
func sendEndless(ctx context.Context, transport *amrhttp.Transport, address string) error {
	response, err := transport.Send(ctx, address, &amrhttp.Request{Method: http.MethodGet, Target: "/", Host: "shop.example", Header: http.Header{}})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestEndlessBytes checks that a connection on which a server sends bytes that are
// no response, without end, is closed long before the deadline of the request.
func TestEndlessBytes(t *testing.T) {
	const deadline = 20 * time.Second
	for _, group := range []map[string]endless{endlessHeads, endlessFrames} {
		for name, e := range group {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				err := sendEndless(ctx, amrhttp.New(), serveEndless(t, e))
				is.True(err != nil)
				is.NoErr(ctx.Err())
			})
		}
	}
}

// TestEndlessHeadsMemory checks that 1,000 requests at a time to a server that
// sends heads without end fit into the memory of the smallest host.
func TestEndlessHeadsMemory(t *testing.T) {
	const (
		requests    = 1000
		memoryLimit = 112 << 20
	)
	is := is.New(t)
	address := serveEndless(t, endlessHeads["header lines"])
	transport := amrhttp.New()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var senders errgroup.Group
	for range requests {
		senders.Go(func() error {
			if err := sendEndless(ctx, transport, address); !errorx.IsOfType(err, amrhttp.Broken) && !errorx.IsOfType(err, amrhttp.NotSent) {
				return err
			}
			return nil
		})
	}
	done := make(chan error, 1)
	var waiter errgroup.Group
	waiter.Go(func() error {
		done <- senders.Wait()
		return nil
	})
	clock := clockwork.NewRealClock()
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		if stats.HeapInuse > memoryLimit {
			cancel()
			t.Fatal("memory in use: " + strconv.FormatUint(stats.HeapInuse>>20, 10) + " MiB")
		}
		select {
		case err := <-done:
			is.NoErr(err)
			is.NoErr(ctx.Err())
			is.NoErr(waiter.Wait())
			return
		case <-clock.After(5 * time.Millisecond):
		}
	}
}
