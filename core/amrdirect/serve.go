package amrdirect

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrroute"
	"amaranthreach.example/core/amrserve"
)

// Endpoint is a listen address with the handler that serves it. An endpoint
// with an empty address is not served.
type Endpoint struct {
	Address string
	Handler http.Handler
}

// Endpoints holds the endpoints that a router serves.
type Endpoints struct {
	Callers Endpoint
	Health  Endpoint
	Peers   Endpoint
	Metrics Endpoint
}

// ShutdownTimes holds the times of a graceful shutdown.
type ShutdownTimes struct {
	Delay time.Duration // Time from when the router becomes unready until it accepts no more connections.
	Grace time.Duration // Maximum time after that for requests in progress to complete.
}

// maxHeaderBytes limits the header of a caller's request, even if the records
// allow a larger one.
const maxHeaderBytes = 64 << 10

// refusalTimeout limits the time to send a response to a request that was refused
// before its deadline was known.
const refusalTimeout = 5 * time.Second

// ListenAndServe serves the endpoints, runs the router and, while it holds the
// rollout lease, gives orders to engines until ctx is done. Then the router
// becomes unready and, after the delay in which load balancers notice this,
// closes the callers' listener. Until then it may still take the lease. ListenAndServe returns when requests and the
// rollout in progress have completed or the grace time has passed.
func (r *Router) ListenAndServe(ctx context.Context, endpoints Endpoints, shutdown ShutdownTimes) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	closing, closeCallers := context.WithCancel(running)
	defer closeCallers()

	var group, orders errgroup.Group
	group.Go(func() error { return r.Run(running) })
	serving, endServing := context.WithCancel(running)
	defer endServing()
	orders.Go(func() error { return r.rollout.Run(running, ctx, serving, shutdown.Delay+shutdown.Grace) })
	for _, endpoint := range []Endpoint{endpoints.Health, endpoints.Peers, endpoints.Metrics} {
		conns := amrserve.WithConnLimiter(amrserve.NewConnLimiter(r.clock, amrserve.WithLogger(r.log)))
		group.Go(func() error { return r.serve(running, endpoint, amrserve.DefaultLimits, 0, conns) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
			return nil
		}
		r.MarkNotReady()
		r.log.Info("stopping", "delay", shutdown.Delay, "grace", shutdown.Grace)
		r.clock.Sleep(shutdown.Delay)
		closeCallers()
		return nil
	})
	limits := amrserve.DefaultLimits
	limits.HeaderBytes = maxHeaderBytes
	limits.WriteTimeout = refusalTimeout
	endpoints.Callers.Handler = r.askToLeave(endpoints.Callers.Handler)
	err := r.serve(closing, endpoints.Callers, limits, shutdown.Grace, amrserve.WithConnLimiter(r.callers))
	r.log.Info("stopped serving callers", "err", err)
	endServing()
	if err != nil {
		stop()
	}
	err = errors.Join(err, orders.Wait())
	stop()
	return errors.Join(err, group.Wait())
}

// askToLeave returns a handler that has callers close their connections with their next answers
// from the begin of a stop on. Those that use their connections often have then left when the
// others are closed, which a request may cross.
func (r *Router) askToLeave(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if r.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, request)
	})
}

// callerLimits returns the limits of callers' connections according to the records.
func callerLimits(table *amrroute.Table) amrserve.ConnLimits {
	limits := table.Limits()
	return amrserve.ConnLimits{
		HeaderBytes:   limits.HeaderBytes,
		HeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:   limits.IdleTimeout,
	}
}

// serve serves the endpoint until ctx is done, and then for at most the grace
// time until requests in progress have completed.
func (r *Router) serve(ctx context.Context, endpoint Endpoint, limits amrserve.Limits, grace time.Duration, opts ...amrserve.Option) error {
	if endpoint.Address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", endpoint.Address)
	if err != nil {
		r.log.Error("cannot listen; free the address or change the settings", "address", endpoint.Address, "err", err)
		return err
	}
	r.log.Info("serving", "address", listener.Addr().String())
	return amrserve.Serve(ctx, listener, endpoint.Handler, limits, grace, opts...)
}
