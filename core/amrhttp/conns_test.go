package amrhttp_test

import (
	"net"
	"testing"

	"golang.org/x/sync/errgroup"
)

// serveConns serves connections by the function, and closes them when it returns, until the end
// of the test, which waits for all of them. It returns the address.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed at the end of the test.
			}
			group.Go(func() error {
				defer conn.Close()
				serve(conn)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}
