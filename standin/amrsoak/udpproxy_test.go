package amrsoak

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// TestUDPProxy checks that datagrams arrive, except those that are dropped, which
// do not arrive later either.
func TestUDPProxy(t *testing.T) {
	const wait = 50 * time.Millisecond
	is := is.New(t)
	clock := clockwork.NewRealClock()
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	proxy, err := NewUDPProxy(target.LocalAddr().String())
	is.NoErr(err)
	conn, err := net.Dial("udp", proxy.Address())
	is.NoErr(err)
	receive := func(wait time.Duration) (string, error) {
		is.NoErr(target.SetReadDeadline(clock.Now().Add(wait)))
		buffer := make([]byte, 8)
		n, err := target.Read(buffer)
		return string(buffer[:n]), err
	}
	for _, c := range []struct {
		notice string
		lost   bool
	}{{"one", false}, {"two", true}, {"three", false}} {
		proxy.SetDropping(c.lost)
		_, err := conn.Write([]byte(c.notice))
		is.NoErr(err)
		if c.lost {
			_, err := receive(wait)
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			continue
		}
		got, err := receive(time.Second)
		is.NoErr(err)
		is.Equal(got, c.notice)
	}
	is.NoErr(conn.Close())
	is.NoErr(proxy.Close())
	is.NoErr(target.Close())
}
