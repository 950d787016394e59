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
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

// Limits limits the memory and the connection time that a client can use at a
// server.
type Limits struct {
	HeaderBytes   int           // Maximum size of a request's header; see http.Server.MaxHeaderBytes.
	BodyBytes     int64         // Maximum size of a request's body.
	HeaderTimeout time.Duration // Maximum time to read a request's header.
	ReadTimeout   time.Duration // Maximum time to read a request's header and body.
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

const (
	// quietPeriod is the time without a request in progress after which a stop
	// closes the remaining connections. It lets requests arrive that clients had
	// sent on open connections when the stop began.
	quietPeriod = 300 * time.Millisecond

	// quietPollInterval is the time between two checks for requests in progress.
	quietPollInterval = 20 * time.Millisecond
)

// Option configures a server. It may change the server's fields and returns the
// listener to use in place of the given one.
type Option func(*http.Server, net.Listener) net.Listener

// WithConnLimiter has c enforce its limits on the connections of the server. The
// method Run of c must run while the server runs.
func WithConnLimiter(c *ConnLimiter) Option {
	return func(s *http.Server, l net.Listener) net.Listener {
		s.ConnState = c.Track
		s.Handler = c.Handler(s.Handler)
		return c.Listener(l)
	}
}

// Serve serves handler on listener until ctx is done and then stops gracefully:
// it accepts no new connections and lets requests in progress finish for at most
// the grace period. After a short time without requests in progress it closes the
// remaining connections, also those on which no request has arrived. If requests
// are still in progress at the end of the grace period, Serve logs their number
// and closes their connections, which is not an error.
//
// Serve returns nil after a stop, or the error of the server if it failed before
// ctx was done.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, limits Limits, grace time.Duration, opts ...Option) error {
	var inProgress requests
	server := &http.Server{
		Handler:           inProgress.count(http.MaxBytesHandler(handler, limits.BodyBytes)),
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	for _, opt := range opts {
		listener = opt(server, listener)
	}
	var group errgroup.Group
	stopped := make(chan struct{})
	group.Go(func() error {
		defer close(stopped)
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	select {
	case <-ctx.Done():
	case <-stopped:
		return group.Wait()
	}
	graceful, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	group.Go(func() error {
		inProgress.waitQuiet(graceful)
		cancel()
		return nil
	})
	if err := server.Shutdown(graceful); err != nil {
		if n := inProgress.n.Load(); n > 0 {
			slog.Warn("grace period expired; closing connections with requests in progress", "requests", n, "grace", grace)
		}
		err = server.Close()
		return errors.Join(err, group.Wait())
	}
	cancel()
	return group.Wait()
}

// requests counts the requests in progress.
type requests struct {
	n atomic.Int64
}

// count returns a handler that counts the requests that next is handling.
func (r *requests) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.n.Add(1)
		defer r.n.Add(-1)
		next.ServeHTTP(w, request)
	})
}

// waitQuiet returns when no request has been in progress for quietPeriod, or when
// ctx is done.
func (r *requests) waitQuiet(ctx context.Context) {
	clock := clockwork.NewRealClock()
	quietSince := clock.Now()
	for ctx.Err() == nil && clock.Since(quietSince) < quietPeriod {
		if r.n.Load() > 0 {
			quietSince = clock.Now()
		}
		clock.Sleep(quietPollInterval)
	}
}
