package amrsoak

import (
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxDatagram is the size of the largest datagram that a UDPProxy forwards, in
// bytes.
const maxDatagram = 64 << 10

// UDPProxy is a proxy on a loopback address that forwards datagrams to a target
// address and can drop them. It forwards nothing in the other direction.
type UDPProxy struct {
	conn   *net.UDPConn
	target *net.UDPAddr
	group  errgroup.Group

	mu       sync.Mutex
	dropping bool
}

// NewUDPProxy returns a proxy that listens on a loopback address and forwards
// datagrams to the target. Close it to release the address.
func NewUDPProxy(target string) (*UDPProxy, error) {
	resolved, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &UDPProxy{conn: conn, target: resolved}
	p.group.Go(p.forwardAll)
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *UDPProxy) Address() string {
	return p.conn.LocalAddr().String()
}

// SetDropping sets whether all datagrams are dropped from now on.
func (p *UDPProxy) SetDropping(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = drop
}

// Close stops the proxy.
func (p *UDPProxy) Close() error {
	_ = p.conn.Close() // This ends forwardAll.
	return p.group.Wait()
}

// forwardAll forwards datagrams until the proxy is closed.
func (p *UDPProxy) forwardAll() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := p.conn.Read(buffer)
		if err != nil {
			return nil //nolint:nilerr // The proxy was closed.
		}
		if !p.isDropping() {
			_, _ = p.conn.WriteToUDP(buffer[:n], p.target) // A datagram may be lost on any network.
		}
	}
}

func (p *UDPProxy) isDropping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropping
}
