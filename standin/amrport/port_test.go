package amrport

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestFreeAddress checks that addresses are free and distinct, and that their
// ports are below those of outgoing connections.
func TestFreeAddress(t *testing.T) {
	const (
		addresses     = 200
		firstOutgoing = 32_768
	)
	is := is.New(t)
	seen := make(map[string]bool)
	for range addresses {
		address, err := FreeAddress()
		is.NoErr(err)
		is.True(!seen[address])
		seen[address] = true
		tcp, err := net.ResolveTCPAddr("tcp", address)
		is.NoErr(err)
		is.True(tcp.Port < firstOutgoing)
		listener, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(listener.Close())
	}
}
