package amrreplica

import (
	"context"
	"math/rand/v2"
	"time"

	"amaranthreach.example/core/amrfollow"
)

const (
	// RelayWait is the time for which a relay may hold a request for changes. A relay
	// lets the table hold its own requests for no longer, so that it can make two of
	// them before it counts as out of touch.
	RelayWait = 700 * time.Millisecond

	// snapshotTimeout limits a request for a whole copy, for which a router that starts
	// has to wait.
	snapshotTimeout = 250 * time.Millisecond

	// maxRelayAttempts is the maximum number of relays that are asked before the
	// table itself.
	maxRelayAttempts = 2
)

// Relayed returns a source that reads the changes of the table through a relay, and
// from the table itself while there is no relay that responds.
func (p *Peers) Relayed(table string, direct amrfollow.Source) amrfollow.Source {
	return &relayedTable{peers: p, table: table, direct: direct}
}

// relayedTable implements amrfollow.Source. It is used by one goroutine at a time.
type relayedTable struct {
	peers  *Peers
	table  string
	direct amrfollow.Source
	known  amrfollow.Position // Newest position that was returned.
}

// Snapshot returns all rows. It reads them from a relay, or at the start from another
// router, unless that knows less than was returned before.
func (t *relayedTable) Snapshot(ctx context.Context) (amrfollow.Batch, error) {
	address, ok := t.peers.snapshotSource()
	if ok {
		fetchCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		got, err := t.peers.fetch(fetchCtx, address, t.table, "", 0)
		if err == nil && got.connected && got.batch.Age <= maxAge && got.batch.Compare(t.known) >= 0 {
			return t.record(got.batch, nil)
		}
	}
	return t.record(t.direct.Snapshot(ctx))
}

// Changes returns the rows that changed after the position.
func (t *relayedTable) Changes(ctx context.Context, after amrfollow.Position, wait time.Duration) (amrfollow.Batch, error) {
	mayHold := min(wait, RelayWait)
	for _, relay := range first(t.peers.usableRelays(), maxRelayAttempts) {
		hold := mayHold
		if t.peers.suspects(relay) {
			hold = 0
		}
		query := changesQuery{after: after, wait: hold}
		got, err := t.peers.fetch(ctx, relay.Address, t.table, query.encode(), hold)
		if err == nil {
			t.peers.trust(relay)
			return t.record(got.batch, nil)
		}
		if ctx.Err() != nil {
			return amrfollow.Batch{}, ctx.Err()
		}
		t.peers.log.Info("relay did not return the changes of a table", "table", t.table, "relay", relay.Host, "err", err)
		t.peers.avoid(relay, err)
		mayHold = 0 // The time of another wait would be lost if the next relay fails too.
	}
	return t.record(t.direct.Changes(ctx, after, wait))
}

// snapshotSource returns the address of a router from which to read a whole copy: the
// preferred relay, or a random router while relays are not known yet. It returns false
// if this router should read the table itself.
func (p *Peers) snapshotSource() (address string, ok bool) {
	if relays := p.usableRelays(); len(relays) > 0 {
		return relays[0].Address, true
	}
	others := p.others()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routers > 0 || len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

// record returns its arguments, and records the position of the batch.
func (t *relayedTable) record(batch amrfollow.Batch, err error) (amrfollow.Batch, error) {
	if err == nil && batch.Compare(t.known) > 0 {
		t.known = batch.Position
	}
	return batch, err
}

// first returns the first n routers, or all if there are fewer.
func first(routers []Router, n int) []Router {
	return routers[:min(n, len(routers))]
}
