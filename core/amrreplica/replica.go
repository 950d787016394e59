// Package amrreplica lets routers read each other's copies of the platform's tables.
//
// A router that cannot reach a table reads the copy of one that can. When there are
// many routers, most of them also follow a table through a few routers in their
// availability zone, its relays, so that the calls to the table do not grow with the
// number of routers. A router whose relays do not respond in time, or have not heard
// of the table lately, follows the table itself.
package amrreplica

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrfollow"
)

const (
	// replicaTimeout limits a call to another router, beyond the time for which
	// that may hold the call.
	replicaTimeout = 300 * time.Millisecond

	// maxReplicaAttempts is the maximum number of routers that are asked, one
	// after another, for a copy.
	maxReplicaAttempts = 3
)

var namespace = errorx.NewNamespace("replica")

// NoReplica reports that no other router returned its copy of a table.
var NoReplica = namespace.NewType("no-replica", errorx.Temporary())

// outOfTouch reports that another router responded, but has not heard of the table
// lately.
var outOfTouch = NoReplica.NewSubtype("out-of-touch")

// ForTable returns an amrfollow.Replica that reads other routers' copies of the table.
func (p *Peers) ForTable(table string) amrfollow.Replica {
	return tableReplica{peers: p, table: table}
}

// tableReplica implements amrfollow.Replica for one table.
type tableReplica struct {
	peers *Peers
	table string
}

// Fetch asks up to maxReplicaAttempts other routers, in random order, for their
// copies. It returns the first copy of a router that can reach the table, or
// else the newest copy received. It returns an error of type NoReplica if it
// received none.
func (t tableReplica) Fetch(ctx context.Context, lastKnown bool) (amrfollow.Batch, error) {
	addresses := t.peers.others()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	query := ""
	if lastKnown {
		query = paramLastKnown
	}
	var newest amrfollow.Batch
	lastErr := NoReplica.New("no other router is known")
	for _, address := range addresses[:min(maxReplicaAttempts, len(addresses))] {
		got, err := t.peers.fetch(ctx, address, t.table, query, 0)
		switch {
		case err != nil:
			lastErr = NoReplica.Wrap(err, "no other router returned its copy of table %s", t.table)
		case got.connected:
			return got.batch, nil
		case got.batch.Compare(newest.Position) > 0:
			newest = got.batch
		}
	}
	if newest.Version > 0 {
		return newest, nil
	}
	return amrfollow.Batch{}, lastErr
}

// fetch returns the response of the router at the address, which may hold the call for
// the time wait.
func (p *Peers) fetch(ctx context.Context, address, table, query string, wait time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replicaTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathPrefix+table+"?"+query, nil)
	if err != nil {
		return response{}, err
	}
	r, err := p.client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer r.Body.Close()
	if r.StatusCode == http.StatusServiceUnavailable {
		return response{}, outOfTouch.New("router at %s is out of touch with the table", address)
	}
	if r.StatusCode != http.StatusOK {
		return response{}, NoReplica.New("router at %s answered %s", address, r.Status)
	}
	return readResponse(r)
}
