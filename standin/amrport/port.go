// Package amrport chooses ports for stand-ins and tests. They lie below those
// that the system gives to outgoing connections, so that no connection takes the
// port of a process that is down between its stop and its next start.
package amrport

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/joomcode/errorx"
)

const (
	first = 10_000
	last  = 32_000 // Exclusive; outgoing connections get 32768 and above.
	tries = 1000
)

// NoneFree is the type of the error when no free port was found.
var NoneFree = errorx.NewNamespace("port").NewType("none-free")

var (
	mu    sync.Mutex
	taken = make(map[int]struct{}) // By this process, so that it gives no port twice.
)

// Listen opens a socket on a port of the loopback address that this process has
// not chosen before.
func Listen() (net.Listener, error) {
	for range tries {
		listener, err := net.Listen("tcp", choose())
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
	}
	return nil, NoneFree.New("no free port from %d to %d in %d tries", first, last-1, tries)
}

// Address returns an address as Listen chooses it, with no socket open on it.
func Address() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// choose draws an address at random, since other test processes choose as well.
func choose() string {
	mu.Lock()
	defer mu.Unlock()
	port := first + rand.IntN(last-first)
	for range last - first {
		if _, found := taken[port]; !found {
			break
		}
		port = first + (port-first+1)%(last-first)
	}
	taken[port] = struct{}{}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}
