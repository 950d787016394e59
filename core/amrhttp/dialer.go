package amrhttp

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer establishes TCP connections that detect within seconds that the peer no longer
// responds, and that tell a failure from an ordinary end whether it is met while reading or
// while writing. Create it with NewDialer.
type Dialer struct {
	dialer net.Dialer
}

// NewDialer returns a Dialer. The timeout applies to establishing a connection.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
		ControlContext: controlSocket,
	}}
}

// DialContext connects to the address. The network must be one of TCP.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (d *Dialer) dial(ctx context.Context, network, address string) (*TCPConn, error) {
	nc, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		_ = nc.Close() // The connection is not used.
		return nil, fmt.Errorf("the network %s is not TCP", network)
	}
	return NewTCPConn(tcp), nil
}

// controlSocket sets unackedTimeout on a new TCP socket.
func controlSocket(_ context.Context, network, _ string, raw syscall.RawConn) error {
	if !strings.HasPrefix(network, "tcp") {
		return nil
	}
	return setUnackedTimeout(raw, unackedTimeout)
}

// setUnackedTimeout sets TCP_USER_TIMEOUT; 0 selects the default of the system.
func setUnackedTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
