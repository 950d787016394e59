// Package amrserve runs HTTP servers with limits on header size, body size and
// time, and stops them gracefully: requests in progress may finish within a grace
// period.
package amrserve

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits limits the memory and the connection time that a client can use at a
// server.
type Limits struct {
	HeaderBytes   int           // Maximum size of a request's header; see http.Server.MaxHeaderBytes.
	BodyBytes     int64         // Maximum size of a request's body.
	HeaderTimeout time.Duration // Maximum time to read a request's header.
	ReadTimeout   time.Duration // Maximum time to read a request's header and body.
	WriteTimeout  time.Duration // Maximum time from the end of a request's header to the end of its response, unless the handler sets another one; 0 means no limit.
	IdleTimeout   time.Duration // Maximum time that a connection stays open without a request.
}

// DefaultLimits are the limits of a server for API clients.
var DefaultLimits = Limits{
	HeaderBytes:   32 << 10,
	BodyBytes:     8 << 20,
	HeaderTimeout: 5 * time.Second,
	ReadTimeout:   30 * time.Second,
	IdleTimeout:   2 * time.Minute,
}

// Option configures a server.
type Option func(*options)

// options are what options of a server set.
type options struct {
	conns   *ConnLimiter
	observe func(net.Conn, http.ConnState) // Called after a change of a connection's state was recorded.
}

// WithConnLimiter has c enforce its limits on the connections of the server, if these
// are TCP connections.
func WithConnLimiter(c *ConnLimiter) Option {
	return func(o *options) { o.conns = c }
}

// Serve serves handler on listener until ctx is done and then stops gracefully.
// From then on each response asks the client to close its connection. New
// connections and requests are accepted for a short time, because clients learn of a
// stop with some delay. Then Serve closes the listener and the idle connections, refuses
// further requests, and waits for those in progress. If some are still in progress at the end
// of the grace period, Serve logs their number and closes their connections, which is
// not an error.
//
// Serve returns nil after a stop, or the error of the server if it failed before
// ctx was done.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, limits Limits, grace time.Duration, opts ...Option) error {
	o := options{conns: NewConnLimiter(clock), observe: func(net.Conn, http.ConnState) {}}
	for _, opt := range opts {
		opt(&o)
	}
	state := stopState{conns: o.conns}
	server := newServer(o, state.wrap(o.conns.Handler(http.MaxBytesHandler(handler, limits.BodyBytes))), limits)
	if isTCP(listener) {
		o.conns.takeOver(server)
	}
	var group errgroup.Group
	stopped := make(chan struct{})
	group.Go(func() error {
		defer close(stopped)
		err := server.Serve(&trackedListener{Listener: listener, conns: o.conns, accepted: &state.accepted})
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && ctx.Err() != nil {
			return nil
		}
		return err
	})
	sweeping, endSweeps := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() error { o.conns.run(sweeping); return nil })
	defer endSweeps()
	select {
	case <-ctx.Done():
	case <-stopped:
		endSweeps()
		return group.Wait()
	}
	graceful, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	state.awaitQuiet(graceful)
	err := state.stop(graceful, server, listener, stopped)
	endSweeps()
	return errors.Join(err, server.Close(), group.Wait())
}

// newServer returns the server of the handler.
func newServer(o options, handler http.Handler, limits Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		WriteTimeout:      limits.WriteTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		ConnContext:       withConn,
		ConnState: func(conn net.Conn, state http.ConnState) {
			o.conns.track(conn, state)
			o.observe(conn, state)
		},
	}
}

// stop closes the listener, whose connections have all been accepted when stopped is
// closed, and waits for the end of the connections. It logs what the end of ctx cuts off.
func (s *stopState) stop(ctx context.Context, server *http.Server, listener net.Listener, stopped <-chan struct{}) error {
	err := closeListener(listener)
	<-stopped
	if isTCP(listener) {
		s.awaitEnd(ctx)
	} else if err := server.Shutdown(ctx); err != nil && ctx.Err() == nil {
		slog.Warn("cannot stop gracefully; closing connections", "err", err)
	}
	if n := s.inProgress.Load(); n > 0 {
		s.conns.recordEnd(endGrace, "requests", n)
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
