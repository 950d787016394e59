// Package amrgossip carries messages between routers by UDP: facts that all routers
// must learn soon, and the queries by which a router asks another one to place a
// request at a backend server.
//
// Messages are neither acknowledged nor retransmitted, and a router sends no more
// bytes than its budget allows. A lost message makes the choice of a backend server
// less efficient, or delays the quarantine of a request that crashes servers, but
// never makes a choice incorrect.
package amrgossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"
)

const (
	// maxDatagram is the maximum length of a datagram in bytes. It fits into
	// one packet on Ethernet, so that a datagram is not fragmented.
	maxDatagram = 1400

	// headerBytes is the size of the IP and UDP headers of a datagram, which count
	// towards the budget.
	headerBytes = 28

	// factsInterval is the time between two messages with facts. Facts that arrive
	// within it are passed on together.
	factsInterval = 20 * time.Millisecond

	// placementReserve is the share of the budget that is reserved for facts.
	placementReserve = 0.5
)

// DefaultBudget is the default number of bytes per second, headers included, that a
// router may send to others. A request that another router places takes up to 300.
const DefaultBudget = 64000

// State is the state of a router that takes part in the exchange.
type State interface {
	// TakeFacts returns the facts that the router has observed since the last call.
	TakeFacts() Facts

	// TakeReports returns the reports for other routers since the last call. Each is
	// sent only to the routers that collect it.
	TakeReports() Reports

	// ApplyReports applies reports that this router collects.
	ApplyReports(now time.Time, r Reports)

	// ApplyFacts applies facts that another router observed.
	ApplyFacts(now time.Time, f Facts)

	// ObserveEra is called with the era of the platform's store that another router
	// knows, if there is one.
	ObserveEra(era uint64)

	// Era returns the newest era of the platform's store that the router knows.
	Era() uint64

	// SendRequested returns a channel that is ready to receive from when there are
	// facts to take.
	SendRequested() <-chan struct{}
}

// Placements handles the messages by which routers place requests for each other.
type Placements interface {
	// HandleQuery passes the reply to a query to send, which reports whether it was
	// sent.
	HandleQuery(now time.Time, from HostID, q Query, send func(Reply) bool)

	// HandleReply handles a reply.
	HandleReply(now time.Time, from HostID, r Reply)

	// HandleUpdates handles updates of requests that this router placed.
	HandleUpdates(now time.Time, from HostID, updates []Update)

	// HandlePong handles the answer to a ping.
	HandlePong(now time.Time, from HostID)

	// HandleCommon handles common parts that the coordinator of another group knows.
	HandleCommon(now time.Time, parts []Common)

	// SendCommon sends the common parts that this router has learned of to the
	// coordinators that need to know them.
	SendCommon()
}

// IDOf returns the ID of the named host.
func IDOf(host string) HostID {
	return HostID(xxh3.HashString(host))
}

// Exchange sends and receives the messages of a router. Create it with New.
type Exchange struct {
	host       HostID
	address    string // UDP address at which this router receives; empty if the exchange is disabled.
	state      State
	placements Placements
	origins    Origins
	quotas     Quotas
	clock      clockwork.Clock
	log        *slog.Logger
	metrics    *metrics
	wake       chan struct{} // Wakes the sending of facts.

	mu       sync.Mutex
	conn     *net.UDPConn // Nil while the exchange does not run.
	peers    []peer
	byHost   map[HostID]*net.UDPAddr
	spreader *Spreader
	budget   budget
}

// peer is a router with its resolved address.
type peer struct {
	host    HostID
	address *net.UDPAddr
}

// Option configures an Exchange.
type Option func(*Exchange)

// WithBudget replaces DefaultBudget. There is no limit if it is 0.
func WithBudget(bytesPerSecond float64) Option {
	return func(e *Exchange) { e.budget = newBudget(e.clock.Now(), bytesPerSecond) }
}

// WithPlacements sets the handler of placements. Without one, such messages are
// ignored.
func WithPlacements(p Placements) Option {
	return func(e *Exchange) { e.placements = p }
}

// WithRegisterer sets the registerer of the exchange's metrics.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(e *Exchange) { e.metrics = newMetrics(r) }
}

// New returns an exchange for the router on the named host. It receives at the
// UDP address, and is disabled if the address is empty.
func New(host, address string, state State, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Exchange {
	seed := uint64(IDOf(host))
	e := &Exchange{
		host: IDOf(host), address: address, state: state, clock: clock, log: log,
		metrics: newMetrics(nil), wake: make(chan struct{}, 1), byHost: make(map[HostID]*net.UDPAddr),
		spreader: NewSpreader(rand.New(rand.NewPCG(seed, uint64(clock.Now().UnixNano())))),
		budget:   newBudget(clock.Now(), DefaultBudget),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetPeers sets the other routers. It ignores this router itself and routers without
// an address, and logs addresses that are invalid.
func (e *Exchange) SetPeers(peers []Peer) {
	var resolved []peer
	byHost := make(map[HostID]*net.UDPAddr)
	for _, p := range peers {
		if p.Address == e.address || p.Address == "" {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", p.Address)
		if err != nil {
			e.log.Warn("cannot resolve the notices address of a router; sending it no notices", "host", p.Host, "address", p.Address, "err", err)
			continue
		}
		host := IDOf(p.Host)
		resolved = append(resolved, peer{host: host, address: address})
		byHost[host] = address
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers, e.byHost = resolved, byHost
}

// Run sends and receives messages until ctx is done. If it cannot listen at the
// address, it logs an error and returns nil, as the router can work without the
// exchange. It returns an error only for an invalid address.
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
		e.log.Error("cannot receive notices from other routers; estimating their load", "address", e.address, "err", err)
		return nil
	}
	e.mu.Lock()
	e.conn = conn
	e.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // Makes receive return.
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return e.receive(ctx, conn) })
	group.Go(func() error { return e.spread(ctx) })
	return group.Wait()
}

// receive handles messages until ctx is done.
func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				e.log.Debug("cannot receive a notice", "err", err)
			}
			continue
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			e.log.Warn("cannot decode a notice; ignoring it", "err", err)
			continue
		}
		if m.From != e.host {
			e.handle(m)
		}
	}
	return nil
}

// handle handles a message of another router.
func (e *Exchange) handle(m message) {
	now := e.clock.Now()
	if m.Era > 0 {
		e.state.ObserveEra(m.Era)
	}
	if m.Facts != nil {
		e.handleFacts(now, *m.Facts)
	}
	if len(m.Reports)+len(m.Crashes)+len(m.Sound) > 0 {
		e.state.ApplyReports(now, Reports{Strikes: m.Reports, Crashes: m.Crashes, Sound: m.Sound})
	}
	if m.Ping != 0 {
		e.send(m.From, message{Pong: m.Ping}, kindPlacement)
	}
	e.handleOrigins(m)
	e.handleQuota(m)
	if e.placements == nil {
		return
	}
	if m.Pong != 0 {
		e.placements.HandlePong(now, m.From)
	}
	if len(m.Common) > 0 {
		e.placements.HandleCommon(now, m.Common)
	}
	if len(m.Updates) > 0 {
		e.placements.HandleUpdates(now, m.From, m.Updates)
	}
	if m.Reply != nil {
		m.Reply.WithinLimit, m.Reply.Refusal = m.WithinLimit, m.Refusal
		e.placements.HandleReply(now, m.From, *m.Reply)
	}
	if m.Query != nil {
		m.Query.Software, m.Query.Team, m.Query.Zone, m.Query.Spread = m.Software, m.Team, m.Zone, m.Spread
		m.Query.Priority = m.priority()
		e.placements.HandleQuery(now, m.From, *m.Query, func(reply Reply) bool {
			return e.send(m.From, message{Reply: &reply, WithinLimit: reply.WithinLimit, Refusal: reply.Refusal}, kindPlacement)
		})
	}
}

// handleFacts applies the facts that are news and passes them on.
func (e *Exchange) handleFacts(now time.Time, f Facts) {
	e.mu.Lock()
	news := e.spreader.Add(f)
	e.mu.Unlock()
	if news.Empty() {
		return
	}
	e.state.ApplyFacts(now, news)
	select {
	case e.wake <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

// spread passes facts on until ctx is done.
func (e *Exchange) spread(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.state.SendRequested():
		case <-e.wake:
		}
		e.report()
		if e.placements != nil {
			e.placements.SendCommon()
		}
		for e.spreadOnce() {
			select {
			case <-ctx.Done():
				return nil
			case <-e.clock.After(factsInterval):
			}
			e.report() // Reports do not wait until all facts have been passed on.
		}
	}
}

// spreadOnce passes facts on to fanout different routers, and reports whether there
// are more.
func (e *Exchange) spreadOnce() bool {
	own := e.state.TakeFacts()
	e.mu.Lock()
	e.spreader.Add(own)
	targets := e.chooseTargets()
	var messages []message
	for range targets {
		if f := e.spreader.Next(); !f.Empty() {
			messages = append(messages, message{Facts: &f})
		}
	}
	if len(targets) == 0 {
		e.spreader.Drop() // There is no other router.
	}
	more := e.spreader.Pending()
	e.mu.Unlock()
	for i, m := range messages {
		e.send(targets[i], m, kindFacts)
	}
	return more
}

// chooseTargets returns up to fanout different routers. The caller must hold e.mu.
func (e *Exchange) chooseTargets() []HostID {
	var targets []HostID
	for range min(fanout, len(e.peers)) {
		host := e.peers[e.spreader.Choose(len(e.peers))].host
		for slices.Contains(targets, host) {
			host = e.peers[e.spreader.Choose(len(e.peers))].host
		}
		targets = append(targets, host)
	}
	return targets
}

// SendQuery sends a query, with updates that are due, to the router on the host. It
// reports whether the query was sent.
func (e *Exchange) SendQuery(to HostID, q Query, updates []Update) bool {
	return e.send(to, queryMessage(q, updates), kindPlacement)
}

// SendUpdates sends updates to the router on the host, and reports whether they were
// sent.
func (e *Exchange) SendUpdates(to HostID, updates []Update) bool {
	return e.send(to, message{Updates: updates}, kindPlacement)
}

// SendCommon sends common parts to the router on the host.
func (e *Exchange) SendCommon(to HostID, parts []Common) {
	for some := range slices.Chunk(parts, maxFactItems) {
		e.send(to, message{Common: some}, kindPlacement)
	}
}

// SendPing asks the router on the host for a sign of life.
func (e *Exchange) SendPing(to HostID) {
	e.send(to, message{Ping: 1}, kindPlacement)
}

// send sends the message if the budget allows it. It logs a message that is longer
// than maxDatagram and does not send it.
func (e *Exchange) send(to HostID, m message, kind messageKind) bool {
	m.From, m.Era = e.host, e.state.Era()
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		e.log.Error("notice is too long or cannot be encoded; not sending it", "bytes", len(data), "err", err)
		return false
	}
	reserved := 0.0
	if kind == kindPlacement {
		reserved = placementReserve
	}
	e.mu.Lock()
	conn, address := e.conn, e.byHost[to]
	allowed := conn != nil && address != nil && e.budget.take(e.clock.Now(), len(data)+headerBytes, reserved)
	e.mu.Unlock()
	if !allowed {
		e.metrics.dropped.WithLabelValues(string(kind)).Inc()
		return false
	}
	if _, err := conn.WriteToUDP(data, address); err != nil {
		e.log.Debug("cannot send a notice", "peer", address.String(), "err", err)
		return false
	}
	e.metrics.sent.WithLabelValues(string(kind)).Inc()
	e.metrics.bytes.WithLabelValues(string(kind)).Add(float64(len(data) + headerBytes))
	return true
}
