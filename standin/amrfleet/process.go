package amrfleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrport"
)

const (
	listenRetryInterval = 20 * time.Millisecond
	listenRetryTimeout  = 5 * time.Second
)

// Process is a router, a sidecar or a stand-in. It runs in goroutines of the
// current operating system process and has its own listeners.
type Process struct {
	name      string
	listeners []*trackedListener
	cancel    context.CancelFunc
	group     errgroup.Group
	done      chan struct{}
	err       error // Set before done is closed.
}

// Name returns the name of the process.
func (p *Process) Name() string {
	return p.name
}

// Stop stops the process gracefully, waits until it has ended and returns the
// error with which it ended.
func (p *Process) Stop() error {
	p.cancel()
	<-p.done
	return p.err
}

// Kill simulates a crash of the process: it resets all connections that the
// process has accepted, closes its listeners, and waits until it has ended.
func (p *Process) Kill() {
	for _, l := range p.listeners {
		l.kill()
	}
	p.cancel()
	<-p.done
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// startProcess runs run in a goroutine as the process with the name and the
// listeners. The process ends when run returns.
func startProcess(ctx context.Context, name string, listeners []*trackedListener, run func(context.Context) error) *Process {
	ctx, cancel := context.WithCancel(ctx)
	p := &Process{name: name, listeners: listeners, cancel: cancel, done: make(chan struct{})}
	p.group.Go(func() error {
		defer close(p.done)
		defer cancel()
		p.err = run(ctx)
		return p.err
	})
	return p
}

// trackedListener keeps track of the connections that it has accepted, so that
// kill can close them.
type trackedListener struct {
	net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	killed bool
}

// listen listens on the address, or on a free port of the loopback interface if
// the address is empty. If the port is in use, listen retries for 5 seconds,
// since another process may have taken it while its owner was restarting.
func listen(address string) (*trackedListener, error) {
	if address == "" {
		l, err := amrport.Listen()
		return newTrackedListener(l), err
	}
	l, err := net.Listen("tcp", address)
	ticker := clockwork.NewRealClock().NewTicker(listenRetryInterval)
	defer ticker.Stop()
	for waited := time.Duration(0); errors.Is(err, syscall.EADDRINUSE) && waited < listenRetryTimeout; waited += listenRetryInterval {
		<-ticker.Chan()
		l, err = net.Listen("tcp", address)
	}
	return newTrackedListener(l), err
}

func newTrackedListener(l net.Listener) *trackedListener {
	return &trackedListener{Listener: l, conns: make(map[net.Conn]struct{})}
}

// Accept waits for the next connection and keeps track of it until it is
// closed.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.conns[conn] = struct{}{}
	return &trackedConn{Conn: conn, listener: l}, nil
}

// kill closes the listener and all connections that it has accepted. TCP
// connections are reset.
func (l *trackedListener) kill() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close reset the connection.
		}
		_ = conn.Close()
	}
}

// trackedConn is a connection that a trackedListener has accepted.
type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
