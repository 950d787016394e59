package amrsoak

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/standin/amrport"
)

// TestTCPProxyPassesResetsOn checks that a connection which the target resets while bytes are
// sent to it does not seem to end in order.
func TestTCPProxyPassesResetsOn(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	target, err := amrport.Listen()
	is.NoErr(err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := target.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed at the end of the test.
			}
			_, _ = conn.Write([]byte("part")) // The client detects an error.
			clock.Sleep(5 * time.Millisecond)
			reset(conn)
		}
	})
	proxy, err := NewTCPProxy(clock, target.Addr().String())
	is.NoErr(err)
	for range 20 {
		dialed, err := net.Dial("tcp", proxy.Address())
		is.NoErr(err)
		conn := amrhttp.NewTCPConn(dialed.(*net.TCPConn))
		group.Go(func() error {
			_, _ = conn.Write(make([]byte, 4<<20)) // Fails because of the reset.
			return nil
		})
		_, err = io.ReadAll(conn)
		is.True(err != nil)
		conn.Reset()
	}
	is.NoErr(target.Close())
	is.NoErr(proxy.Close())
	is.NoErr(group.Wait())
}

// TestTCPProxy checks the effect of each fault, and of a reset, on a
// connection to an echo server.
func TestTCPProxy(t *testing.T) {
	const holdTime = 50 * time.Millisecond
	is := is.New(t)
	echo, err := amrport.Listen()
	is.NoErr(err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed at the end of the test.
			}
			group.Go(func() error {
				defer conn.Close()
				_, _ = io.Copy(conn, conn) // The copy ends when the connection is closed.
				return nil
			})
		}
	})
	clock := clockwork.NewRealClock()
	proxy, err := NewTCPProxy(clock, echo.Addr().String())
	is.NoErr(err)
	conn, err := net.Dial("tcp", proxy.Address())
	is.NoErr(err)
	exchange := func(wait time.Duration) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(clock.Now().Add(wait)); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	is.NoErr(exchange(time.Second))
	for _, f := range []ProxyFaults{{HoldTo: true}, {HoldFrom: true}, {Delay: 10 * holdTime}} {
		proxy.Set(f)
		is.True(errors.Is(exchange(holdTime), os.ErrDeadlineExceeded))
		proxy.Set(ProxyFaults{})
		is.NoErr(conn.SetReadDeadline(clock.Now().Add(time.Second)))
		_, err := conn.Read(make([]byte, 1)) // The bytes that were held back arrive now.
		is.NoErr(err)
	}
	proxy.Reset()
	err = exchange(time.Second)
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))

	proxy.Set(ProxyFaults{Refuse: true})
	conn, err = net.Dial("tcp", proxy.Address())
	if err == nil { // The proxy resets the connection as soon as it is accepted, which may be before Dial returns.
		err = exchange(time.Second)
	}
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF))
	is.NoErr(proxy.Close())
	is.NoErr(echo.Close())
	is.NoErr(group.Wait())
}

// TestWritePieces checks that the proxy writes data in pieces of at most the given size, all of
// it and in order.
func TestWritePieces(t *testing.T) {
	is := is.New(t)
	reader, writer := net.Pipe()
	proxy := &TCPProxy{clock: clockwork.NewRealClock(), faults: ProxyFaults{Piece: 2}}
	var group errgroup.Group
	group.Go(func() error { return proxy.writePieces(writer, []byte("abcde")) })
	for _, piece := range []string{"ab", "cd", "e"} {
		buffer := make([]byte, 5)
		n, err := reader.Read(buffer)
		is.NoErr(err)
		is.Equal(string(buffer[:n]), piece)
	}
	is.NoErr(group.Wait())
}
