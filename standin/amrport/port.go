// Package amrport chooses ports for stand-ins and tests. The ports are below
// the range from which the system assigns ports to outgoing connections, so
// that no connection can take the port of a process while the process is
// restarting.
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
	firstPort = 10_000
	endPort   = 32_000 // The range excludes endPort; outgoing connections use ports from 32768.
	maxTries  = 1000
)

// NoFreePort is the type of the error if no free port was found.
var NoFreePort = errorx.NewNamespace("port").NewType("none-free")

var (
	mu sync.Mutex
	// chosen holds the ports that this process has chosen, so that it
	// returns none of them twice.
	chosen = make(map[int]struct{})
)

// Listen returns a TCP listener on the loopback address and a port that this
// process has not chosen before. It returns an error of type NoFreePort if it
// finds no free port.
func Listen() (net.Listener, error) {
	for range maxTries {
		listener, err := net.Listen("tcp", chooseAddress())
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
	}
	return nil, NoFreePort.New("no free port found from %d to %d after %d tries", firstPort, endPort-1, maxTries)
}

// FreeAddress returns an address that Listen chose, after it has closed the
// listener. The port is free, and this process does not choose it again.
func FreeAddress() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// chooseAddress returns a loopback address with a random port that this process
// has not chosen before. The port is random since other test processes choose
// ports from the same range at the same time.
func chooseAddress() string {
	mu.Lock()
	defer mu.Unlock()
	port := firstPort + rand.IntN(endPort-firstPort)
	for range endPort - firstPort {
		if _, found := chosen[port]; !found {
			break
		}
		port = firstPort + (port-firstPort+1)%(endPort-firstPort)
	}
	chosen[port] = struct{}{}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}
