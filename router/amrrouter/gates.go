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
	dialTimeout       = 500 * time.Millisecond
	idleConnections   = 2048 // To all backend servers.
	idleForOneServer  = 64   // Connections.
	idleExpiration    = 2 * time.Minute
	peerIdleTimeout   = 5 * time.Minute // Outlasts idleExpiration at the peers.
	maxReplyBytes     = 16 << 20
	softCancelTimeout = 5 * time.Millisecond
)

// gates holds connections to sidecars.
type gates struct {
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	config *tls.Config
	dialer net.Dialer
}

func newGates(config *tls.Config) *gates {
	return &gates{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    idleConnections,
			KeyCapacity: idleForOneServer,
		}),
		config: config,
		dialer: net.Dialer{Timeout: dialTimeout},
	}
}

// client returns a client of the sidecar at the address. The connection is
// made by the first call.
func (g *gates) client(ctx context.Context, address string) amrgate.DRPCGateClient {
	return amrgate.NewDRPCGateClient(g.pool.Get(ctx, address, g.dial))
}

func (g *gates) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	var conn net.Conn
	var err error
	if g.config == nil {
		conn, err = g.dialer.DialContext(ctx, "tcp", address)
	} else {
		conn, err = (&tls.Dialer{NetDialer: &g.dialer, Config: g.config}).DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxReplyBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelTimeout,
	}}), nil
}

func (g *gates) close() {
	_ = g.pool.Close()
}
