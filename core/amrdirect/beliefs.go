package amrdirect

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

const (
	// returnTime is the time after the platform's return within which servers
	// that it lost meanwhile are listed again.
	returnTime = 2500 * time.Millisecond

	// returnGrace is how long a server that vanished in that time stays a last
	// resort.
	returnGrace = 1500 * time.Millisecond
)

// beliefs turns the rows of the platform into what the forwarder and the fleet
// go by.
type beliefs struct {
	decoder Decoder
	fleet   *amrpool.Fleet
	forward *amrforward.Forwarder
	clock   clockwork.Clock
	log     *slog.Logger
	rollout *rollout

	mu       sync.Mutex
	regained time.Time // When the list of servers last came back.
}

// operator takes in rows that operators wrote.
func (b *beliefs) operator(u amrfollow.Update) {
	now := b.clock.Now()
	for _, row := range u.Rows {
		if row.Deleted {
			continue // Declarations in force hold until they are replaced.
		}
		fact, err := b.decoder.Operator(row)
		if err != nil {
			b.log.Error("cannot read a row of the operators, what was in force holds; write it again", "row", row.Key, "version", row.Version, "err", err)
			continue
		}
		switch fact := fact.(type) {
		case Records:
			b.records(amrroute.Records(fact), row.Version)
		case NewWeights:
			b.fleet.Name(now, fact.Model, fact.Version)
			b.log.Info("new weights named", "model", fact.Model, "weights", fact.Version, "row-version", row.Version)
			b.rollout.named(fact, u.Now)
		}
	}
}

// records puts a version of the records in force, unless a newer one is.
func (b *beliefs) records(records amrroute.Records, rowVersion uint64) {
	if old := b.forward.Table(); old != nil && old.Version() >= records.Version {
		b.log.Warn("records are not newer than those in force, ignored", "records", records.Version, "in-force", old.Version())
		return
	}
	for _, problem := range records.Problems() {
		b.log.Warn("records have a route that cannot be served; declare its pool", "records", records.Version, "problem", problem)
	}
	table := amrroute.New(records)
	b.forward.SetTable(table)
	b.fleet.SetStores(table.Stores())
	b.log.Info("records in force", "records", records.Version, "routes", len(records.Routes), "pools", len(records.Pools), "teams", len(records.Teams), "row-version", rowVersion)
}

// servers takes in rows that backend servers wrote.
func (b *beliefs) servers(u amrfollow.Update) {
	now := b.clock.Now()
	if u.Regained {
		b.mu.Lock()
		b.regained = now
		b.mu.Unlock()
	}
	for _, row := range u.Rows {
		if row.Deleted {
			b.unlist(now, row)
			continue
		}
		listing, err := b.decoder.Server(row)
		if err != nil {
			b.log.Warn("cannot read the entry of a backend server, it gets no new work; see who wrote it", "server", row.Key, "err", err)
			b.fleet.Unlist(now, row.Key, 0)
			continue
		}
		b.fleet.List(now, listing)
		b.log.Info("backend server listed", "server", listing.Name, "pool", listing.Pool, "address", listing.Address, "zone", listing.AvailabilityZone, "draining", listing.Draining, "weights", listing.Weights, "row-version", row.Version)
	}
	b.rollout.nudge()
}

func (b *beliefs) unlist(now time.Time, row amrfollow.Row) {
	b.mu.Lock()
	returning := !b.regained.IsZero() && now.Sub(b.regained) < returnTime
	b.mu.Unlock()
	grace := time.Duration(0)
	if returning {
		grace = returnGrace
	}
	b.fleet.Unlist(now, row.Key, grace)
	b.log.Info("backend server left the list", "server", row.Key, "last-resort-for", grace, "row-version", row.Version)
}
