// Package amrgossip lets routers tell one another at once what each decides by:
// the requests it has at each backend server, which prompt parts are being read
// or are in a store, and which servers change their weights.
//
// Notices go by datagram and are never repeated. A lost one makes a choice
// worse, never wrong.
package amrgossip

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

const (
	// tick is the time between two notices of loads.
	tick = 50 * time.Millisecond

	// maxDatagram is the size of the largest datagram, so that it travels in
	// one packet.
	maxDatagram = 1400

	// maxLoads, maxParts and maxStrikes bound what one notice tells.
	maxLoads   = 40
	maxParts   = 25
	maxStrikes = 8

	// maxChanges bounds the changes of weights in a notice of them, which go by
	// themselves.
	maxChanges = 24
)

// Notice is what a router tells the others.
type Notice struct {
	_     struct{} `cbor:",toarray"`
	From  string   // Name of the router's host.
	Loads []Load
	Parts []Part

	Strikes []Strike
	Rollout *Rollout // Nil in most notices.
}

// Rollout is what the holder of the lease of orders tells of a rollout.
type Rollout struct {
	_        struct{} `cbor:",toarray"`
	Row      uint64   // Version of the shared row that has the changes; 0 where only Done is told.
	Changing []Change // Servers that are about to change their weights, or change them. Notices of one row add up.
	Done     []Change // Those that have just done so.
}

// Change is a change of a server's weights.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Server  uint64   // Hash of its name.
	Model   string
	Version int
}

// Strike says that a run of a request broke off with its backend server, or
// that the request ran well and its strikes are forgotten.
type Strike struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint [16]byte
	Server      uint64 // Hash of its name.
	Cleared     bool
}

// Load is the requests of a router at one backend server.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Server   uint64   // Hash of its name.
	InFlight int
	Pending  int // Prompt tokens sent that are not known to be read.
	Filled   int // Tokens of its memory taken since the last notice, beyond the parts told of.
}

// Part is the state of a prompt part.
type Part struct {
	_       struct{} `cbor:",toarray"`
	Version int      // Of the weights it is made under.
	Key     uint64
	State   PartState
	Place   uint64 // Hash of the name of the store, or of the server that has it cached.
	Tokens  int
}

// PartState says where a part is.
type PartState int

// The states of a part.
const (
	Reading PartState = iota // A server reads it, and it is to be saved to the store.
	Stored                   // It is in a store.
	Cached                   // A server has it cached.
)

// Beliefs are what notices are made of, and what they change.
type Beliefs interface {
	// Notices returns what is to be told of since the last call: the loads that
	// changed, parts, strikes and the rollout. The sender is left empty.
	Notices() Notice

	// Heard takes in a notice of another router.
	Heard(now time.Time, n Notice)

	// Urgent returns a channel that is ready when there is something to be told
	// of at once.
	Urgent() <-chan struct{}
}

// Exchange sends and receives notices. Create it with New.
type Exchange struct {
	own     string
	address string
	beliefs Beliefs
	clock   clockwork.Clock
	log     *slog.Logger

	mu    sync.Mutex
	peers []*net.UDPAddr
}

// New returns an exchange of the router on the named host, which receives at
// the address.
func New(own, address string, beliefs Beliefs, clock clockwork.Clock, log *slog.Logger) *Exchange {
	return &Exchange{own: own, address: address, beliefs: beliefs, clock: clock, log: log}
}

// SetPeers sets where the other routers receive.
func (e *Exchange) SetPeers(addresses []string) {
	var peers []*net.UDPAddr
	for _, address := range addresses {
		if address == e.address || address == "" {
			continue
		}
		peer, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			e.log.Warn("a router registered an address that cannot be used, it gets no notices", "address", address, "err", err)
			continue
		}
		peers = append(peers, peer)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

// Run sends and receives until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	if e.address == "" {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp", e.address)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		e.log.Error("cannot receive notices of other routers, load is estimated", "address", e.address, "err", err)
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // Ends receive.
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return e.receive(ctx, conn) })
	group.Go(func() error { return e.send(ctx, conn) })
	return group.Wait()
}

func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.log.Debug("cannot receive a notice", "err", err)
			}
			continue
		}
		var notice Notice
		if err := cbor.Unmarshal(buffer[:n], &notice); err != nil {
			e.log.Warn("cannot read a notice of a router, ignored", "err", err)
			continue
		}
		if notice.From != e.own {
			e.beliefs.Heard(e.clock.Now(), notice)
		}
	}
	return nil
}

func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	ticker := e.clock.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-e.beliefs.Urgent():
		}
		for _, notice := range split(e.beliefs.Notices()) {
			notice.From = e.own
			e.tell(conn, notice)
		}
	}
}

// split returns the notices, each small enough for a datagram, that tell all of
// what is to be told.
func split(all Notice) []Notice {
	notices := splitRollout(all.Rollout)
	loads, parts, strikes := all.Loads, all.Parts, all.Strikes
	for len(loads) > 0 || len(parts) > 0 || len(strikes) > 0 {
		n, m, k := min(len(loads), maxLoads), min(len(parts), maxParts), min(len(strikes), maxStrikes)
		notices = append(notices, Notice{Loads: loads[:n], Parts: parts[:m], Strikes: strikes[:k]})
		loads, parts, strikes = loads[n:], parts[m:], strikes[k:]
	}
	return notices
}

func splitRollout(r *Rollout) []Notice {
	if r == nil {
		return nil
	}
	var notices []Notice
	for done := range slices.Chunk(r.Done, maxChanges) {
		notices = append(notices, Notice{Rollout: &Rollout{Done: done}})
	}
	for changing := range slices.Chunk(r.Changing, maxChanges) {
		notices = append(notices, Notice{Rollout: &Rollout{Row: r.Row, Changing: changing}})
	}
	if r.Row > 0 && len(r.Changing) == 0 {
		notices = append(notices, Notice{Rollout: &Rollout{Row: r.Row}})
	}
	return notices
}

func (e *Exchange) tell(conn *net.UDPConn, notice Notice) {
	data, err := cbor.Marshal(notice)
	if err != nil || len(data) > maxDatagram {
		e.log.Error("cannot send a notice", "bytes", len(data), "err", err)
		return
	}
	e.mu.Lock()
	peers := slices.Clone(e.peers)
	e.mu.Unlock()
	for _, peer := range peers {
		if _, err := conn.WriteToUDP(data, peer); err != nil {
			e.log.Debug("cannot send a notice", "peer", peer.String(), "err", err)
		}
	}
}
