package amrdirect

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrfollow"
)

const (
	// replicaTimeout bounds a call to another router.
	replicaTimeout = 300 * time.Millisecond

	// replicaTries is the number of routers that are asked one after the other.
	replicaTries = 3

	// replicaPath is the path under which routers serve their copies.
	replicaPath = "/v1/tables/"

	// lastKnownQuery asks a router for its copy also where it is out of touch
	// with the table.
	lastKnownQuery = "last-known"
)

// NoReplica says that no other router could give its copy of a table.
var NoReplica = namespace.NewType("no-replica", errorx.Temporary())

// replicaAnswer is the answer of a router to another one.
type replicaAnswer struct {
	InTouch bool         `json:"in-touch"`
	Version uint64       `json:"version"`
	NowMS   int64        `json:"now-ms"` // Of the table's clock.
	Rows    []replicaRow `json:"rows"`
}

type replicaRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// replicas serves this router's copies of tables to other routers, and reads
// theirs.
type replicas struct {
	own       string // Address of this router.
	followers map[string]*amrfollow.Follower
	client    *http.Client
	clock     clockwork.Clock

	mu        sync.Mutex
	addresses []string // Of other routers.
}

// setAddresses sets where other routers serve their copies.
func (p *replicas) setAddresses(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == p.own })
}

// ServeHTTP answers with the copy of the table that the path names. Where this
// router is out of touch with the table itself, it answers 503 unless it is
// asked for what it knew last.
func (p *replicas) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := p.followers[r.PathValue("table")]
	if f == nil {
		http.Error(w, "no such table", http.StatusNotFound)
		return
	}
	lastKnown := r.URL.Query().Has(lastKnownQuery) && f.Copy().Version() > 0
	if !f.InTouch() && !lastKnown {
		http.Error(w, "out of touch with the table", http.StatusServiceUnavailable)
		return
	}
	answer := replicaAnswer{InTouch: f.InTouch(), Version: f.Copy().Version(), NowMS: f.Copy().TableNow(p.clock.Now()).Milliseconds()}
	for _, row := range f.Copy().Rows() {
		answer.Rows = append(answer.Rows, replicaRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // The other router notices a broken answer.
}

// of returns other routers' copies of the table.
func (p *replicas) of(table string) amrfollow.Replica {
	return tableReplica{replicas: p, table: table}
}

type tableReplica struct {
	replicas *replicas
	table    string
}

// Copy asks some of the other routers for their copies. One that is in touch
// with the table goes before the newest of those that were.
func (t tableReplica) Copy(ctx context.Context, lastKnown bool) (amrfollow.Batch, error) {
	t.replicas.mu.Lock()
	addresses := slices.Clone(t.replicas.addresses)
	t.replicas.mu.Unlock()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var newest amrfollow.Batch
	last := NoReplica.New("no other router is known")
	for _, address := range addresses[:min(replicaTries, len(addresses))] {
		batch, inTouch, err := t.ask(ctx, address, lastKnown)
		switch {
		case err != nil:
			last = NoReplica.Wrap(err, "no other router gave its copy of %s", t.table)
		case inTouch:
			return batch, nil
		case batch.Version > newest.Version:
			newest = batch
		}
	}
	if newest.Version > 0 {
		return newest, nil
	}
	return amrfollow.Batch{}, last
}

func (t tableReplica) ask(ctx context.Context, address string, lastKnown bool) (batch amrfollow.Batch, inTouch bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	url := "http://" + address + replicaPath + t.table
	if lastKnown {
		url += "?" + lastKnownQuery
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return amrfollow.Batch{}, false, err
	}
	response, err := t.replicas.client.Do(request)
	if err != nil {
		return amrfollow.Batch{}, false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return amrfollow.Batch{}, false, NoReplica.New("router at %s answered %s", address, response.Status)
	}
	var answer replicaAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return amrfollow.Batch{}, false, err
	}
	batch = amrfollow.Batch{Version: answer.Version, Now: time.Duration(answer.NowMS) * time.Millisecond}
	for _, row := range answer.Rows {
		batch.Rows = append(batch.Rows, amrfollow.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return batch, answer.InTouch, nil
}
