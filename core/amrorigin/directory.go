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

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrtick"
)

const (
	// maxStreams is the maximum number of streams that a router remembers.
	maxStreams = 1 << 15

	// rememberTime is the time for which a router remembers a stream.
	rememberTime = 2 * streamLife

	// keepers is the number of routers that are told of a stream, and askedRouters that
	// of those that are asked. It is higher because the router that began the stream may
	// be one of them, which is not told.
	keepers      = 3
	askedRouters = keepers + 1

	// replyTimeout is the time for which a router waits for replies before it asks again,
	// and maxAsked the number of times that it asks.
	replyTimeout = 30 * time.Millisecond
	maxAsked     = 2

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
	pools     map[PoolID]*history
	sequence  uint32
	waiting   map[uint32]chan amrgossip.OriginReply
}

// record is a stream that a router remembers.
type record struct {
	origin Origin
	own    bool // This router passed the stream on, and has not told others of it yet.
}

// New returns a Directory of a router that knows no others.
func New(fleet *amrpool.Fleet, clock clockwork.Clock, log *slog.Logger) *Directory {
	return &Directory{
		fleet: fleet, clock: clock, log: log,
		streams:  expirable.NewLRU[Stream, record](maxStreams, nil, rememberTime),
		pools:    make(map[PoolID]*history),
		sequence: rand.Uint32N(1 << 16), // Differs from that of an earlier incarnation.
		waiting:  make(map[uint32]chan amrgossip.OriginReply),
	}
}

// SetMessenger sets the messenger by which the other routers are reached.
func (d *Directory) SetMessenger(m Messenger) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messenger = m
}

// Run observes the versions of the servers until ctx is done. It always returns nil.
func (d *Directory) Run(ctx context.Context) error {
	amrtick.Every(ctx, d.clock, observeInterval, func() {
		for _, pool := range d.fleet.Pools() {
			d.observe(pool)
		}
	})
	return nil
}

// Begin records that a server of the pool with the software version has begun the stream,
// or goes on with it. It must be called before the caller gets the first event. Unless all
// streams of the pool begin at the same version, other routers are told.
func (d *Directory) Begin(s Stream, pool string, software amrpool.SoftwareID) {
	now := d.clock.Now()
	d.observe(pool)
	origin := Origin{Pool: PoolIDOf(pool), Software: software}
	d.mu.Lock()
	lasting := d.historyOf(origin.Pool).isLasting(now)
	d.streams.Add(s, record{origin: origin, own: lasting})
	d.mu.Unlock()
	if !lasting {
		d.tell(map[Stream]Origin{s: origin})
	}
}

// observe updates the history of the pool. When another version has appeared, other routers
// are told of the streams that have begun before.
func (d *Directory) observe(pool string) {
	versions := d.fleet.SoftwareVersions(pool)
	id := PoolIDOf(pool)
	d.mu.Lock()
	appeared := d.historyOf(id).observe(d.clock.Now(), versions)
	untold := make(map[Stream]Origin)
	if appeared {
		for _, s := range d.streams.Keys() {
			if r, ok := d.streams.Peek(s); ok && r.own && r.origin.Pool == id {
				untold[s] = r.origin
				d.streams.Add(s, record{origin: r.origin})
			}
		}
	}
	d.mu.Unlock()
	if appeared {
		d.log.Info("servers of a pool have another software version than before", "pool", pool, "versions", len(versions), "streams-told", len(untold))
		d.tell(untold)
	}
}

// historyOf returns the history of the pool. The caller must hold d.mu.
func (d *Directory) historyOf(pool PoolID) *history {
	h := d.pools[pool]
	if h == nil {
		h = &history{}
		d.pools[pool] = h
	}
	return h
}

// tell tells the routers that keep the streams of their origins.
func (d *Directory) tell(streams map[Stream]Origin) {
	d.mu.Lock()
	messenger := d.messenger
	d.mu.Unlock()
	if messenger == nil {
		return
	}
	byHost := make(map[amrgossip.HostID][]amrgossip.StreamOrigin)
	for s, o := range streams {
		for _, host := range messenger.RoutersFor(uint64(s), keepers) {
			byHost[host] = append(byHost[host], amrgossip.StreamOrigin{Stream: uint64(s), Pool: uint32(o.Pool), Software: uint32(o.Software)})
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

// HandleOrigins records the origins of streams of which another router tells.
func (d *Directory) HandleOrigins(origins []amrgossip.StreamOrigin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range origins {
		d.streams.Add(Stream(o.Stream), record{origin: Origin{Pool: PoolID(o.Pool), Software: amrpool.SoftwareID(o.Software)}})
	}
}

// Find returns the origin of a stream that a caller takes up, of which this router may not
// know. The pool is the one that a new stream of the caller would go to. It may block for
// some milliseconds while it waits for other routers.
func (d *Directory) Find(ctx context.Context, s Stream, pool string) (Origin, Certainty) {
	d.observe(pool)
	best := d.lookUp(s, PoolIDOf(pool))
	if best.certainty == Known || best.lasting {
		return best.origin, best.certainty
	}
	if asked := d.ask(ctx, s, PoolIDOf(pool)); asked.certainty > best.certainty {
		best = asked
	}
	return best.origin, best.certainty
}

// finding is the origin of a stream as far as a router knows it.
type finding struct {
	origin    Origin
	certainty Certainty
	lasting   bool // No other router can know better.
}

// lookUp returns what this router knows of the stream.
func (d *Directory) lookUp(s Stream, pool PoolID) finding {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.streams.Get(s); ok {
		return finding{origin: r.origin, certainty: Known}
	}
	h := d.historyOf(pool)
	switch before := h.beforeChange(now); {
	case h.isLasting(now):
		return finding{origin: Origin{pool, h.only}, certainty: Inferred, lasting: true}
	case before != 0:
		return finding{origin: Origin{pool, before}, certainty: Inferred}
	case h.only != 0 && h.earlierUntil.IsZero():
		return finding{origin: Origin{pool, h.only}, certainty: Assumed}
	}
	return finding{}
}

// ask asks the routers that may know the stream, and returns the best reply.
func (d *Directory) ask(ctx context.Context, s Stream, pool PoolID) finding {
	d.mu.Lock()
	messenger := d.messenger
	d.mu.Unlock()
	if messenger == nil {
		return finding{}
	}
	hosts := messenger.RoutersFor(uint64(s), askedRouters)
	d.mu.Lock()
	d.sequence++
	sequence := d.sequence
	replies := make(chan amrgossip.OriginReply, maxAsked*len(hosts))
	d.waiting[sequence] = replies
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting, sequence)
	}()
	q := amrgossip.OriginQuery{Sequence: sequence, Stream: uint64(s), Pool: uint32(pool)}
	best := finding{}
	for range maxAsked {
		sent := 0
		for _, host := range hosts {
			if messenger.SendOriginQuery(host, q) {
				sent++
			}
		}
		var complete bool
		best, complete = d.await(ctx, replies, sent, best)
		if complete {
			break
		}
	}
	return best
}

// await waits until the stream is known, the given number of replies has arrived, or the
// timeout has passed. It returns the best of them and the one before, and whether nothing
// better is to be expected.
func (d *Directory) await(ctx context.Context, replies <-chan amrgossip.OriginReply, count int, best finding) (finding, bool) {
	timeout := d.clock.After(replyTimeout)
	for range count {
		select {
		case r := <-replies:
			if c := Certainty(r.Certainty); c > best.certainty && c <= Known {
				best = finding{origin: Origin{PoolID(r.Pool), amrpool.SoftwareID(r.Software)}, certainty: c}
			}
		case <-timeout:
			return best, false
		case <-ctx.Done():
			return best, true
		}
		if best.certainty == Known {
			return best, true
		}
	}
	return best, true
}

// HandleOriginQuery returns what this router knows of a stream that another one asks for.
func (d *Directory) HandleOriginQuery(q amrgossip.OriginQuery) amrgossip.OriginReply {
	f := d.lookUp(Stream(q.Stream), PoolID(q.Pool))
	return amrgossip.OriginReply{Sequence: q.Sequence, Certainty: int(f.certainty), Pool: uint32(f.origin.Pool), Software: uint32(f.origin.Software)}
}

// HandleOriginReply hands a reply to the request that waits for it.
func (d *Directory) HandleOriginReply(r amrgossip.OriginReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.waiting[r.Sequence] <- r: // A nil channel, if nobody waits, is never ready.
	default: // Nobody waits, or the reply came twice.
	}
}
