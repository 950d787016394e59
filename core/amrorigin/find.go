package amrorigin

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
)

const (
	// replyTimeout is the time for which a router waits for replies before it asks again,
	// and maxAsked the number of times that it asks.
	replyTimeout = 30 * time.Millisecond
	maxAsked     = 2
)

// Find returns the origin of a stream that a caller takes up, of which this router may not
// know. The pool is the one that a new stream of the caller would go to. It may block for
// some milliseconds while it waits for other routers and the store.
func (d *Directory) Find(ctx context.Context, s Stream, pool string) (Origin, Certainty) {
	d.observe(pool)
	found, how := d.find(ctx, s, pool)
	if found.origin.Software == unknownSoftware {
		found.certainty, how = Unknown, Unknown.String()
	}
	d.metrics.found.WithLabelValues(how).Inc()
	return found.origin, found.certainty
}

// find returns the origin of the stream, and how it was found.
func (d *Directory) find(ctx context.Context, s Stream, pool string) (finding, string) {
	id := PoolIDOf(pool)
	best := d.lookUp(s, id)
	if best.certainty != Known && d.store != nil && d.awaitRows(ctx) {
		best = d.lookUp(s, id)
	}
	confirmed := true
	if best.lasting && d.store != nil {
		confirmed = d.confirmLists(ctx, s, pool)
		best = d.lookUp(s, id) // The lists may have changed.
	}
	if best.certainty == Known || best.lasting && confirmed {
		return best, best.certainty.String()
	}
	asked := d.ask(ctx, s, id)
	switch {
	case asked.best.certainty == Known || d.store == nil:
		if asked.best.certainty > best.certainty {
			best = asked.best
		}
		return best, best.certainty.String()
	case best.lasting && asked.mostAgree(best):
		return best, best.certainty.String()
	}
	return d.findStored(ctx, s, best, asked.best, asked.unanimous)
}

// confirmLists reports whether the lists from which the version of a pool's servers is
// concluded are current. A router that is cut off from the store does not hear of a version
// that others send streams to.
func (d *Directory) confirmLists(ctx context.Context, s Stream, pool string) bool {
	err := d.store.ConfirmLists(ctx)
	if err != nil {
		d.log.Info("cannot confirm the lists of servers and pools; asking other routers for the origin of a stream", "stream", uint64(s), "pool", pool, "lists-age", d.store.ListsAge(), "err", err)
		return false
	}
	d.observe(pool)
	return true
}

// findStored returns the origin of a stream that no router knows from its row. Without a
// row, a conclusion of the routers holds if all of them that may have been told of the
// stream answer, and draw it. If the store does not answer, none holds.
func (d *Directory) findStored(ctx context.Context, s Stream, own, asked finding, unanimous bool) (finding, string) {
	origin, err := d.store.ReadStream(ctx, s)
	switch {
	case err == nil:
		return finding{origin: origin, certainty: Known}, foundInStore
	case !errorx.IsOfType(err, amrplatform.NotFound):
		d.log.Warn("cannot read the origin of a stream", "stream", uint64(s), "err", err)
	case !unanimous:
	case own.certainty == Unknown:
		return asked, asked.certainty.String()
	case asked.certainty == Unknown || asked.origin == own.origin:
		return own, own.certainty.String()
	}
	return finding{}, Unknown.String()
}

// awaitRows waits until the rows of pools have been read after the start. It returns false
// if it need not wait.
func (d *Directory) awaitRows(ctx context.Context) bool {
	select {
	case <-d.rowsRead:
		return false
	default:
	}
	select {
	case <-d.rowsRead:
	case <-d.clock.After(LookupTimeout):
	case <-ctx.Done():
	}
	return true
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
	return d.ledgerOf(pool).infer(now, pool, d.store != nil)
}

// replies sums up what the routers that may know a stream have replied.
type replies struct {
	best      finding
	asked     int  // Number of routers that may know.
	lasting   int  // Number of those that conclude that one version has lasted.
	complete  bool // Nothing better is to be expected.
	agreed    bool // All that have replied conclude the same.
	unanimous bool // All routers have replied to the first query and conclude the same.
}

// mostAgree reports whether this router and those that have replied are most of those that
// may know the stream, and all conclude that the version of the finding has lasted. While the
// store is away for all routers, none of them can hear of another version. A router that is
// cut off does not get so many replies.
func (r *replies) mostAgree(own finding) bool {
	others := r.agreed && r.best.origin == own.origin && r.best.certainty == Inferred
	return r.asked == 0 && r.agreed || others && 2*(r.lasting+1) > r.asked+1
}

// ask asks the routers that may know the stream.
func (d *Directory) ask(ctx context.Context, s Stream, pool PoolID) replies {
	d.mu.Lock()
	messenger := d.messenger
	d.mu.Unlock()
	alone := replies{agreed: d.isAlone(), unanimous: d.isAlone()}
	if messenger == nil {
		return alone
	}
	hosts := messenger.RoutersFor(uint64(s), askedRouters)
	if len(hosts) == 0 {
		return alone
	}
	received := make(chan amrgossip.OriginReply, maxAsked*len(hosts))
	var got replies
	for round := range maxAsked {
		sequence := d.expect(received)
		defer d.expectNoMore(sequence)
		q := amrgossip.OriginQuery{Sequence: sequence, Stream: uint64(s), Pool: uint32(pool)}
		sent := 0
		for _, host := range hosts {
			if messenger.SendOriginQuery(host, q) {
				sent++
			}
		}
		got = d.await(ctx, received, q, sent, got.best)
		got.asked = len(hosts)
		got.unanimous = got.complete && got.agreed && round == 0 && sent == len(hosts)
		if got.complete {
			break
		}
	}
	return got
}

// expect directs the replies to a query to the channel, and returns the number of the query.
func (d *Directory) expect(received chan amrgossip.OriginReply) (sequence uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	d.waiting[d.sequence] = received
	return d.sequence
}

// expectNoMore drops later replies to the query.
func (d *Directory) expectNoMore(sequence uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, sequence)
}

// isAlone reports whether there are no other routers.
func (d *Directory) isAlone() bool {
	if d.store == nil {
		return true
	}
	_, routers := d.store.Rank()
	return routers <= 1
}

// await waits until the stream is known, the given number of replies to the query has
// arrived, or the timeout has passed. The best reply before is known. Of replies to an earlier
// query, only one that knows the stream counts.
func (d *Directory) await(ctx context.Context, received <-chan amrgossip.OriginReply, q amrgossip.OriginQuery, count int, best finding) replies {
	timeout := d.clock.After(replyTimeout)
	got := replies{best: best, agreed: true}
	for replied := 0; replied < count; {
		select {
		case r := <-received:
			reply := finding{origin: Origin{PoolID(r.Pool), amrpool.SoftwareID(r.Software)}, certainty: Certainty(r.Certainty)}
			if r.Sequence == q.Sequence {
				replied++
				got.add(reply)
			} else if reply.certainty == Known {
				got.best = reply
			}
		case <-timeout:
			return got
		case <-ctx.Done():
			got.complete = true
			return got
		}
		if got.best.certainty == Known {
			break
		}
	}
	got.complete = true
	return got
}

// add adds a reply.
func (r *replies) add(reply finding) {
	r.agreed = r.agreed && reply.certainty != Unknown && (r.best.certainty == Unknown || reply.origin == r.best.origin)
	if reply.certainty == Inferred {
		r.lasting++
	}
	if reply.certainty > r.best.certainty && reply.certainty <= Known {
		r.best = reply
	}
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
