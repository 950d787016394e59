// Package amrserve runs HTTP servers with bounded headers, bodies and times,
// and stops them without cutting a request in progress.
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

// Limits bounds what a client can make a server hold.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	ReadTimeout   time.Duration // For header and body.
	IdleTimeout   time.Duration
}

// DefaultLimits are the limits of a server of callers.
var DefaultLimits = Limits{
	HeaderBytes:   32 << 10,
	BodyBytes:     8 << 20,
	HeaderTimeout: 5 * time.Second,
	ReadTimeout:   30 * time.Second,
	IdleTimeout:   2 * time.Minute,
}

// HTTP serves handler on listener until ctx is done. Then it lets requests in
// progress finish for at most the grace time and returns nil, or the error of
// the server when it failed earlier.
func HTTP(ctx context.Context, listener net.Listener, handler http.Handler, limits Limits, grace time.Duration) error {
	server := &http.Server{
		Handler:           http.MaxBytesHandler(handler, limits.BodyBytes),
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
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
	err := server.Shutdown(graceful)
	if err != nil {
		err = errors.Join(err, server.Close())
	}
	return errors.Join(err, group.Wait())
}
