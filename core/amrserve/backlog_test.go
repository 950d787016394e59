package amrserve

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConnsWait guards against a listener that is closed while connections wait to be accepted,
// which are then reset with the requests on them.
func TestConnsWait(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.True(!connsWait(listener))
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	clock.Sleep(50 * time.Millisecond)
	is.True(connsWait(listener))
	accepted, err := listener.Accept()
	is.NoErr(err)
	is.True(!connsWait(listener))
	is.NoErr(accepted.Close())
	is.NoErr(conn.Close())
	is.NoErr(closeListener(listener))
}
