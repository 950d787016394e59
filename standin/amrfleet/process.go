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
	listenPause = 20 * time.Millisecond
	listenWait  = 5 * time.Second
)

// Process is a router, a sidecar or an outside system that runs in this
// process on sockets of its own.
type Process struct {
	name      string
	listeners []*trackedListener
	cancel    context.CancelFunc
	group     errgroup.Group
	done      chan struct{}
	err       error
}

// Name returns the name of the process.
func (p *Process) Name() string {
	return p.name
}

// Stop asks the process to stop gracefully and waits until it has.
func (p *Process) Stop() error {
	p.cancel()
	<-p.done
	return p.err
}

// Kill closes the sockets of the process at once, as a crash would, and waits
// until it has ended.
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

// start runs run as a process with the sockets.
func start(ctx context.Context, name string, listeners []*trackedListener, run func(context.Context) error) *Process {
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

// trackedListener closes the connections that it accepted when it is killed.
type trackedListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	dead  bool
}

// listen opens a socket on the address, or on any port of the loopback address
// if it is empty. A port that another process has taken meanwhile is awaited.
func listen(address string) (*trackedListener, error) {
	if address == "" {
		l, err := amrport.Listen()
		return track(l), err
	}
	l, err := net.Listen("tcp", address)
	ticker := clockwork.NewRealClock().NewTicker(listenPause)
	defer ticker.Stop()
	for waited := time.Duration(0); errors.Is(err, syscall.EADDRINUSE) && waited < listenWait; waited += listenPause {
		<-ticker.Chan()
		l, err = net.Listen("tcp", address)
	}
	return track(l), err
}

func track(l net.Listener) *trackedListener {
	return &trackedListener{Listener: l, conns: make(map[net.Conn]struct{})}
}

// Accept waits for the next connection and keeps track of it.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.conns[conn] = struct{}{}
	return &trackedConn{Conn: conn, listener: l}, nil
}

func (l *trackedListener) kill() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
