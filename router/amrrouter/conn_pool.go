package amrrouter

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"amaranthreach.example/core/amrgate"
)

const (
	dialTimeout            = 500 * time.Millisecond
	maxIdleConns           = 2048 // Limit for one pool, over all addresses.
	maxIdleConnsPerAddress = 64
	idleConnTimeout        = 2 * time.Minute
	peerConnIdleTimeout    = 5 * time.Minute // Idle timeout of the server side; longer than idleConnTimeout, so that the client closes first.
	maxReplyBytes          = 16 << 20
	softCancelGrace        = 5 * time.Millisecond
)

// connPool is a pool of client connections to the Gate service of sidecars. A
// second pool of this type holds the connections to the Peer service of other
// routers. It is safe for concurrent use.
type connPool struct {
	pool      *drpcpool.Pool[string, drpcpool.Conn]
	tlsConfig *tls.Config
	dialer    net.Dialer
}

// newConnPool returns an empty pool that connects with the TLS configuration,
// or without TLS if it is nil.
func newConnPool(tlsConfig *tls.Config) *connPool {
	return &connPool{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnTimeout,
			Capacity:    maxIdleConns,
			KeyCapacity: maxIdleConnsPerAddress,
		}),
		tlsConfig: tlsConfig,
		dialer:    net.Dialer{Timeout: dialTimeout},
	}
}

// client returns a client of the sidecar at the address. It does not connect
// before the first call, so connection errors are returned by the calls.
func (p *connPool) client(ctx context.Context, address string) amrgate.DRPCGateClient {
	return amrgate.NewDRPCGateClient(p.pool.Get(ctx, address, p.dial))
}

// dial opens a connection to the address for the pool.
func (p *connPool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	var conn net.Conn
	var err error
	if p.tlsConfig == nil {
		conn, err = p.dialer.DialContext(ctx, "tcp", address)
	} else {
		conn, err = (&tls.Dialer{NetDialer: &p.dialer, Config: p.tlsConfig}).DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxReplyBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}}), nil
}

// close closes the pool.
func (p *connPool) close() {
	_ = p.pool.Close()
}
