package amrsoak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/standin/amrpace"
	"amaranthreach.example/standin/amrport"
)

// bufferBytes is the largest number of bytes that a TCPProxy forwards in
// one write.
const bufferBytes = 16 << 10

// smallBufferBytes is the size of the socket buffers of a TCPProxy with small buffers.
const smallBufferBytes = 32 << 10

// ProxyFaults describes the faults of a TCPProxy. With the zero value, all bytes
// are forwarded immediately.
type ProxyFaults struct {
	Refuse   bool          // Whether new connections are reset.
	End      bool          // Whether connections are closed when bytes to the target arrive, which are lost.
	HoldTo   bool          // Whether bytes to the target are held back.
	HoldFrom bool          // Whether bytes from the target are held back.
	Delay    time.Duration // Delay before the bytes of each read are forwarded.
	Piece    int           // Bytes from the target that are forwarded at a time, one piece every pieceInterval; 0 for all.
}

// TCPProxy is a proxy on a loopback address that forwards connections to a target
// address and can make them fail.
type TCPProxy struct {
	target   string // Address to which connections are forwarded.
	listener net.Listener
	clock    clockwork.Clock
	group    errgroup.Group

	smallBuffers atomic.Bool // Sockets hold few bytes on the way to the target.

	mu      sync.Mutex
	faults  ProxyFaults
	changed chan struct{}         // Closed and replaced when the faults change.
	conns   map[net.Conn]struct{} // Open connections, inbound and outbound.
	closed  bool                  // Whether new connections must be reset.
}

// NewTCPProxy returns a proxy that listens on a loopback address and forwards
// connections to the target. Close it to release the address.
func NewTCPProxy(clock clockwork.Clock, target string) (*TCPProxy, error) {
	listener, err := amrport.Listen()
	if err != nil {
		return nil, err
	}
	p := &TCPProxy{target: target, listener: listener, clock: clock, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	p.group.Go(p.acceptAll)
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *TCPProxy) Address() string {
	return p.listener.Addr().String()
}

// Set sets the faults of all connections, including the open ones. Refuse
// applies only to new connections.
func (p *TCPProxy) Set(f ProxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetSmallBuffers lets the sockets of new connections hold few bytes on the way to the target,
// so that a sender soon waits for a target that does not read.
func (p *TCPProxy) SetSmallBuffers() {
	p.smallBuffers.Store(true)
}

// Reset resets all open connections.
func (p *TCPProxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// Close stops listening, resets all connections and waits until they are closed.
func (p *TCPProxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Set(ProxyFaults{})
	p.Reset()
	return errors.Join(err, p.group.Wait())
}

// acceptAll accepts connections until the listener is closed.
func (p *TCPProxy) acceptAll() error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // The proxy was closed.
		}
		p.group.Go(func() error { p.handle(conn); return nil })
	}
}

// handle connects an inbound connection to the target and forwards bytes in both
// directions until both ends have closed it.
func (p *TCPProxy) handle(inbound net.Conn) {
	faults, _ := p.currentFaults()
	if faults.Refuse {
		reset(inbound)
		return
	}
	dialed, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(inbound) // The host of the target would also do so if no process listens there.
		return
	}
	if p.smallBuffers.Load() {
		_ = inbound.(*net.TCPConn).SetReadBuffer(smallBufferBytes) // Without it, the sender waits later.
		_ = dialed.(*net.TCPConn).SetWriteBuffer(smallBufferBytes) // The same.
	}
	// A reset by the target must not become an ordinary end.
	outbound := amrhttp.NewTCPConn(dialed.(*net.TCPConn))
	if !p.track(inbound, outbound) {
		reset(inbound)
		reset(outbound)
		return
	}
	defer p.untrack(inbound, outbound)
	var group errgroup.Group
	write := func(data []byte) error { _, err := outbound.Write(data); return err }
	writeBack := func(data []byte) error { return p.writePieces(inbound, data) }
	group.Go(func() error {
		p.forward(outbound, inbound, write, func(f ProxyFaults) bool { return f.HoldTo })
		return nil
	})
	group.Go(func() error {
		p.forward(inbound, outbound, writeBack, func(f ProxyFaults) bool { return f.HoldFrom })
		return nil
	})
	_ = group.Wait() // The functions return no errors.
}

// forward forwards bytes in one direction until an end closes or resets the
// connection. It holds them back while held returns true, and writes them by the function.
func (p *TCPProxy) forward(to, from net.Conn, write func([]byte) error, held func(ProxyFaults) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		p.waitUntilReleased(held)
		if faults, _ := p.currentFaults(); faults.End {
			reset(to)
			_ = from.Close() // It may be closed already.
			return
		}
		if n > 0 {
			if failed := write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(interface{ CloseWrite() error }).CloseWrite() // A failure is detected in the other direction.
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// writePieces writes the data to the connection, in pieces if the faults say so.
func (p *TCPProxy) writePieces(to net.Conn, data []byte) error {
	for len(data) > 0 {
		piece := data
		if faults, _ := p.currentFaults(); faults.Piece > 0 {
			p.clock.Sleep(pieceInterval)
			piece = data[:min(len(data), faults.Piece)]
		}
		if _, err := to.Write(piece); err != nil {
			return err
		}
		data = data[len(piece):]
	}
	return nil
}

// waitUntilReleased waits until the faults do not hold bytes back any more,
// and then for the delay.
func (p *TCPProxy) waitUntilReleased(held func(ProxyFaults) bool) {
	for {
		faults, changed := p.currentFaults()
		if !held(faults) {
			_ = amrpace.SleepUntil(context.Background(), p.clock, p.clock.Now().Add(faults.Delay))
			return
		}
		<-changed
	}
}

// currentFaults returns the faults and the channel that is closed when they
// change.
func (p *TCPProxy) currentFaults() (ProxyFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

// track registers the connections so that Reset resets them. It returns false if
// the proxy is closed; the caller must then reset them.
func (p *TCPProxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
	return !p.closed
}

// untrack closes the connections and removes them from those that Reset resets.
func (p *TCPProxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close() // It may be closed already.
	}
}

// reset closes the connection by a TCP reset.
func reset(conn net.Conn) {
	switch c := conn.(type) {
	case *amrhttp.TCPConn:
		c.Reset()
	case *net.TCPConn:
		_ = c.SetLinger(0) // Returns an error only if the connection is closed.
		_ = c.Close()      // The same.
	}
}
