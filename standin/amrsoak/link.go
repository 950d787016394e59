package amrsoak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrpace"
	"amaranthreach.example/standin/amrport"
)

// chunkBytes is how much a link carries at once.
const chunkBytes = 16 << 10

// Condition is what a link does to connections. The zero value carries all
// bytes at once.
type Condition struct {
	Refuse   bool          // New connections are reset.
	HoldTo   bool          // Bytes towards the target wait.
	HoldFrom bool          // Bytes from the target wait.
	Delay    time.Duration // Of each chunk.
}

// Link is a loopback proxy in front of an address.
type Link struct {
	target   string
	listener net.Listener
	clock    clockwork.Clock
	group    errgroup.Group

	mu        sync.Mutex
	condition Condition
	changed   chan struct{} // Closed when the condition changes.
	conns     map[net.Conn]struct{}
	closed    bool
}

// NewLink returns a link to the address that is open.
func NewLink(clock clockwork.Clock, target string) (*Link, error) {
	listener, err := amrport.Listen()
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, clock: clock, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	l.group.Go(l.accept)
	return l, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Set sets the condition from now on.
func (l *Link) Set(c Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = c
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
}

// Close closes the link and all connections.
func (l *Link) Close() error {
	err := l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Set(Condition{})
	l.Reset()
	return errors.Join(err, l.group.Wait())
}

func (l *Link) accept() error {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // The link was closed.
		}
		l.group.Go(func() error { l.carry(conn); return nil })
	}
}

// carry connects a connection to the target until both ends have closed it.
func (l *Link) carry(near net.Conn) {
	condition, _ := l.present()
	if condition.Refuse {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(near) // As the target does while nothing listens there.
		return
	}
	if !l.track(near, far) {
		reset(near)
		reset(far)
		return
	}
	defer l.untrack(near, far)
	var group errgroup.Group
	group.Go(func() error { l.pump(far, near, func(c Condition) bool { return c.HoldTo }); return nil })
	group.Go(func() error { l.pump(near, far, func(c Condition) bool { return c.HoldFrom }); return nil })
	_ = group.Wait() // Neither returns an error.
}

// pump carries bytes one way until an end closes or resets the connection.
func (l *Link) pump(to, from net.Conn, held func(Condition) bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		l.pass(held)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite() // The other direction notices a failure.
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// pass waits as long as the condition holds bytes back.
func (l *Link) pass(held func(Condition) bool) {
	for {
		condition, changed := l.present()
		if !held(condition) {
			_ = amrpace.SleepUntil(context.Background(), l.clock, l.clock.Now().Add(condition.Delay))
			return
		}
		<-changed
	}
}

func (l *Link) present() (Condition, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition, l.changed
}

func (l *Link) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = struct{}{}
	}
	return !l.closed
}

func (l *Link) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
		_ = conn.Close() // It may be closed already.
	}
}

// reset closes the connection so that the other end sees a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
