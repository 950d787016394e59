package amrserve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrserve"
)

var clock = clockwork.NewRealClock()

// server is an HTTP server whose handler blocks until release is closed.
type server struct {
	address string
	stop    context.CancelFunc
	group   errgroup.Group
	arrived chan struct{} // Receives a value for each request.
	release chan struct{}
}

// start starts a server with the grace period.
func start(t *testing.T, grace time.Duration) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	s := &server{address: listener.Addr().String(), stop: stop, arrived: make(chan struct{}), release: make(chan struct{})}
	s.group.Go(func() error {
		return amrserve.Serve(ctx, listener, http.HandlerFunc(s.serve), amrserve.DefaultLimits, grace)
	})
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.arrived <- struct{}{}
	select {
	case <-s.release:
		_, _ = io.WriteString(w, "complete")
	case <-r.Context().Done():
	}
}

// get sends a request and returns the body of the response.
func (s *server) get() (string, error) {
	response, err := http.Get("http://" + s.address)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestStopFinishesRequests checks that a stop lets a request in progress finish and
// does not wait for a connection on which no request has arrived.
func TestStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	const grace = time.Minute
	s := start(t, grace)
	unused, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer unused.Close()
	var client errgroup.Group
	client.Go(func() error {
		body, err := s.get()
		if body != "complete" && err == nil {
			err = io.ErrUnexpectedEOF
		}
		return err
	})
	<-s.arrived
	s.stop()
	clock.AfterFunc(100*time.Millisecond, func() { close(s.release) })
	before := clock.Now()
	is.NoErr(s.group.Wait())
	is.NoErr(client.Wait())
	is.True(clock.Since(before) < grace/4)
}

// TestStopClosesConnectionsAfterGrace checks that the connection of a request that
// outlasts the grace period is closed, and that the server returns no error.
func TestStopClosesConnectionsAfterGrace(t *testing.T) {
	is := is.New(t)
	s := start(t, 50*time.Millisecond)
	var client errgroup.Group
	client.Go(func() error {
		if _, err := s.get(); err == nil {
			return io.ErrUnexpectedEOF
		}
		return nil
	})
	<-s.arrived
	s.stop()
	is.NoErr(s.group.Wait())
	is.NoErr(client.Wait())
}
