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

	"amaranthreach.example/standin/amrport"
)

// TestLink checks what each condition does to a connection to an echo server.
func TestLink(t *testing.T) {
	const held = 50 * time.Millisecond
	is := is.New(t)
	echo, err := amrport.Listen()
	is.NoErr(err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return nil //nolint:nilerr // The test is over.
			}
			group.Go(func() error {
				defer conn.Close()
				_, _ = io.Copy(conn, conn) // It ends with the connection.
				return nil
			})
		}
	})
	clock := clockwork.NewRealClock()
	link, err := NewLink(clock, echo.Addr().String())
	is.NoErr(err)
	conn, err := net.Dial("tcp", link.Address())
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
	for _, c := range []Condition{{HoldTo: true}, {HoldFrom: true}, {Delay: 10 * held}} {
		link.Set(c)
		is.True(errors.Is(exchange(held), os.ErrDeadlineExceeded))
		link.Set(Condition{})
		is.NoErr(conn.SetReadDeadline(clock.Now().Add(time.Second)))
		_, err := conn.Read(make([]byte, 1)) // What was held comes later.
		is.NoErr(err)
	}
	link.Reset()
	err = exchange(time.Second)
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))

	link.Set(Condition{Refuse: true})
	conn, err = net.Dial("tcp", link.Address())
	is.NoErr(err) // It is reset once it is accepted.
	is.True(exchange(time.Second) != nil)
	is.NoErr(link.Close())
	is.NoErr(echo.Close())
	is.NoErr(group.Wait())
}
