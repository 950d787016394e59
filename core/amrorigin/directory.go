// Package amrorigin remembers which software version of a backend server began each
// stream, so that a stream goes on only at that version, at whichever router its caller
// takes it up.
//
// While the servers of a pool may have had several versions, a router tells some others
// of each stream before it passes on the first event. They are determined by rendezvous
// hashing of the stream, so a router that does not know the stream knows whom to ask.
package amrorigin

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrtick"
)

const (
	// maxStreams is the maximum number of streams that a router remembers.
	maxStreams = 1 << 15

	// rememberTime is the time for which a router remembers a stream.
	rememberTime = 2 * streamLife

	// toldRouters is the number of routers that are told of a stream, and askedRouters that
	// of those that are asked. It is higher because the router that began the stream may
	// be one of them, which is not told.
	toldRouters  = 3
	askedRouters = toldRouters + 1

	// observeInterval is the time between two observations of the servers' versions while
	// no streams begin.
	observeInterval = time.Second

	// maxOrigins is the maximum number of streams in one message, which keeps it within
	// the length of a datagram.
	maxOrigins = 32
)

// Stream identifies a stream in messages between routers. It is a hash of the ID of the
// request that began the stream.
type Stream uint64

// StreamOf returns the stream that the request with the ID began.
func StreamOf(id string) Stream {
	return Stream(xxh3.HashString(id))
}

// PoolID identifies a pool in messages between routers. It is a hash of the pool's name.
type PoolID uint32

// PoolIDOf returns the ID of the named pool.
func PoolIDOf(name string) PoolID {
	return PoolID(xxh3.HashString(name))
}

// Origin tells where a stream began.
type Origin struct {
	Pool     PoolID
	Software amrpool.SoftwareID
}

// Certainty tells how an origin was found.
type Certainty int

// The certainties, the higher ones going first.
const (
	Unknown  Certainty = iota // No router can tell.
	Assumed                   // The servers have one version, as far as this router has seen.
	Inferred                  // The servers had no other version when the stream began.
	Known                     // A router knows the stream.
)

// String returns the text of the certainty in logs.
func (c Certainty) String() string {
	return [...]string{"unknown", "assumed", "inferred", "known"}[c]
}

// Messenger sends messages to other routers. The methods return false if a message was
// not sent.
type Messenger interface {
	// RoutersFor returns up to n other routers, by their rank for the key.
	RoutersFor(key uint64, n int) []amrgossip.HostID

	SendOrigins(to amrgossip.HostID, origins []amrgossip.StreamOrigin) bool
	SendOriginQuery(to amrgossip.HostID, q amrgossip.OriginQuery) bool
}

// Directory knows the origins of streams, together with those of other routers. It is safe
// for concurrent use. Create it with New.
type Directory struct {
	fleet *amrpool.Fleet
	clock clockwork.Clock
	log   *slog.Logger

	mu        sync.Mutex
	messenger Messenger // Nil until SetMessenger is called.
	streams   *expirable.LRU[Stream, record]
	pools     map[PoolID]*ledger
	sequence  uint32
	waiting   map[uint32]chan amrgossip.OriginReply

	shared  // What the routers share in tables.
	metrics *metrics
}

// record is a stream that a router remembers.
type record struct {
	origin Origin
	at     time.Time // Time at which the stream began or went on here.
	own    bool      // This router passed the stream on, and has neither told others of it nor written its row.
}

// New returns a Directory of a router that knows no others.
func New(fleet *amrpool.Fleet, clock clockwork.Clock, log *slog.Logger, opts ...Option) *Directory {
	d := &Directory{
		fleet: fleet, clock: clock, log: log,
		pools:    make(map[PoolID]*ledger),
		sequence: rand.Uint32N(1 << 16), // Differs from that of an earlier incarnation.
		waiting:  make(map[uint32]chan amrgossip.OriginReply),
		shared:   newShared(),
		metrics:  newMetrics(),
	}
	for _, opt := range opts {
		opt(d)
	}
	if d.streams == nil {
		d.streams = newStreams()
	}
	return d
}

// newStreams returns an empty collection of streams.
func newStreams() *expirable.LRU[Stream, record] {
	return expirable.NewLRU[Stream, record](maxStreams, nil, rememberTime)
}

// SetMessenger sets the messenger by which the other routers are reached.
func (d *Directory) SetMessenger(m Messenger) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messenger = m
}

// Run observes the versions of the servers, and writes rows if there is a store, until ctx
// is done. It always returns nil.
func (d *Directory) Run(ctx context.Context) error {
	var group errgroup.Group
	if d.store != nil {
		group.Go(func() error { return d.writePools(ctx) })
		group.Go(func() error { return d.writeOrigins(ctx) })
	}
	amrtick.Every(ctx, d.clock, observeInterval, d.observeAll)
	return group.Wait()
}

// observeAll observes the versions of the servers of all pools.
func (d *Directory) observeAll() {
	for _, pool := range d.fleet.Pools() {
		d.observe(pool)
	}
}

// Begin records that a server of the pool with the software version has begun the stream,
// or goes on with it. It must be called before the caller gets the first event. It has no
// effect on a stream that was withdrawn. Unless all
// streams of the pool begin at the same version, other routers are told, and the row of
// the stream is written later.
func (d *Directory) Begin(s Stream, pool string, software amrpool.SoftwareID) {
	now := d.clock.Now()
	d.observe(pool)
	origin := Origin{Pool: PoolIDOf(pool), Software: software}
	d.mu.Lock()
	l := d.ledgerOf(origin.Pool)
	lasting, expedited := l.isLasting(now), l.expedite(now, software)
	if d.isWithdrawn(s) {
		d.mu.Unlock()
		return
	}
	d.streams.Add(s, record{origin: origin, own: lasting, at: now})
	d.mu.Unlock()
	if expedited {
		signal(d.poolsDue)
	}
	if !lasting {
		d.publish([]StreamRow{{s, origin}})
	}
}

// unknownSoftware stands for the version of a stream that was withdrawn.
const unknownSoftware amrpool.SoftwareID = 0

// Withdraw records that the version at which the stream of the pool began is not known,
// whatever Begin was told. The routers that may have been told of the stream are told.
func (d *Directory) Withdraw(s Stream, pool string) {
	origin := Origin{Pool: PoolIDOf(pool), Software: unknownSoftware}
	d.mu.Lock()
	d.streams.Add(s, record{origin: origin, at: d.clock.Now()})
	d.mu.Unlock()
	d.publish([]StreamRow{{s, origin}})
}

// isWithdrawn reports whether this router knows that the stream was withdrawn. The caller must
// hold d.mu.
func (d *Directory) isWithdrawn(s Stream) bool {
	r, ok := d.streams.Peek(s)
	return ok && r.origin.Software == unknownSoftware
}

// observe updates the ledger of the pool. When another version has appeared, other routers
// are told of the streams that have begun before.
func (d *Directory) observe(pool string) {
	versions := d.fleet.SoftwareVersions(pool)
	id := PoolIDOf(pool)
	d.mu.Lock()
	if d.store != nil && !d.listed {
		d.mu.Unlock()
		return // The list may have been applied in part.
	}
	l := d.ledgerOf(id)
	l.name = pool
	due := l.dueAt
	appeared := l.observe(d.clock.Now(), versions, d.rank())
	scheduled := !l.dueAt.Equal(due)
	untold := d.takeUntold(id, appeared)
	d.mu.Unlock()
	if scheduled {
		signal(d.poolsDue)
	}
	if appeared {
		d.log.Info("servers of a pool have another software version than before", "pool", pool, "versions", len(versions), "streams-told", len(untold))
		d.publish(untold)
	}
}

// takeUntold returns the streams of the pool that have begun here, the oldest first, of
// which no others were told, if another version has appeared. It leaves out those that
// callers take up no more. The caller must hold d.mu.
func (d *Directory) takeUntold(pool PoolID, appeared bool) (untold []StreamRow) {
	if !appeared {
		return nil
	}
	now := d.clock.Now()
	for _, s := range d.streams.Keys() {
		r, ok := d.streams.Peek(s)
		if ok && r.own && r.origin.Pool == pool && now.Sub(r.at) < streamLife {
			untold = append(untold, StreamRow{s, r.origin})
			d.streams.Add(s, record{origin: r.origin, at: r.at})
		}
	}
	return untold
}

// ledgerOf returns the ledger of the pool. The caller must hold d.mu.
func (d *Directory) ledgerOf(pool PoolID) *ledger {
	l := d.pools[pool]
	if l == nil {
		l = &ledger{rowRead: d.rowsApplied, newPlatform: d.newPlatform} // Its row is missing if others have been read.
		d.pools[pool] = l
	}
	return l
}

// publish tells other routers of the streams that have begun here, and queues their rows.
func (d *Directory) publish(streams []StreamRow) {
	d.tell(streams)
	if d.store == nil || len(streams) == 0 {
		return
	}
	now := d.clock.Now()
	d.mu.Lock()
	for _, row := range streams {
		d.batch.add(now, row)
	}
	d.mu.Unlock()
	signal(d.originsWaiting)
}

// tell tells the routers that keep the streams of their origins.
func (d *Directory) tell(streams []StreamRow) {
	d.mu.Lock()
	messenger := d.messenger
	d.mu.Unlock()
	if messenger == nil {
		return
	}
	byHost := make(map[amrgossip.HostID][]amrgossip.StreamOrigin)
	for _, row := range streams {
		origin := amrgossip.StreamOrigin{Stream: uint64(row.Stream), Pool: uint32(row.Origin.Pool), Software: uint32(row.Origin.Software)}
		for _, host := range messenger.RoutersFor(uint64(row.Stream), toldRouters) {
			byHost[host] = append(byHost[host], origin)
		}
	}
	for host, origins := range byHost {
		for len(origins) > 0 {
			n := min(maxOrigins, len(origins))
			messenger.SendOrigins(host, origins[:n])
			origins = origins[n:]
		}
	}
}

// HandleOrigins records the origins of streams of which another router tells. A message about
// the beginning of a stream may arrive after that of its withdrawal.
func (d *Directory) HandleOrigins(origins []amrgossip.StreamOrigin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range origins {
		if d.isWithdrawn(Stream(o.Stream)) {
			continue
		}
		d.streams.Add(Stream(o.Stream), record{origin: Origin{Pool: PoolID(o.Pool), Software: amrpool.SoftwareID(o.Software)}})
	}
}
