package amrreplay

import (
	"errors"
	"net"
)

// isDialError reports whether err means that no connection was established, so
// that no part of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
