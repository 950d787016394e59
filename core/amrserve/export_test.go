package amrserve

import (
	"net"
	"net/http"
)

// WithStateHook sets a function that is called after a change of a connection's state was
// recorded, by the goroutine that serves the connection.
func WithStateHook(f func(net.Conn, http.ConnState)) Option {
	return func(o *options) { o.observe = f }
}
