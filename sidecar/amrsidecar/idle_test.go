package amrsidecar

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestIdleConnectionIsClosed checks that a connection of a client that sends nothing
// is closed after the idle timeout, so that such a client cannot hold the connection
// forever.
func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	gate, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	settings := DefaultSettings()
	settings.Name, settings.MetricsAddress = "service-1", "127.0.0.1:0"
	settings.BackendType = BackendService
	settings.BackendURL, settings.PlatformURL = "http://127.0.0.1:1", "http://127.0.0.1:1"
	s := New(settings, WithListeners(Listeners{Gate: gate}), WithLogger(slog.New(slog.DiscardHandler)))
	s.idleTimeout = 50 * time.Millisecond
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	defer func() { stop(); is.NoErr(group.Wait()) }()

	conn, err := net.Dial("tcp", gate.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetReadDeadline(s.clock.Now().Add(5 * time.Second)))
	_, err = io.ReadAll(conn)
	is.NoErr(err) // EOF, rather than an exceeded read deadline.
}
