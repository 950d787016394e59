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
	"amaranthreach.example/core/amrserve"
)

const (
	// relistWindow is the time within which backend servers list themselves
	// again after their table has become reachable again, or was restored from
	// an older copy. The table may have lost their rows.
	relistWindow = 2500 * time.Millisecond

	// relistGrace is how long a server that disappears from the table within
	// relistWindow still gets requests when no other server is available.
	relistGrace = 1500 * time.Millisecond
)

// rowApplier decodes the rows of the platform's tables and updates the
// forwarder, the fleet and the rollout accordingly.
type rowApplier struct {
	decoder Decoder
	fleet   *amrpool.Fleet
	forward *amrforward.Forwarder
	callers *amrserve.ConnLimiter // Connections of callers.
	clock   clockwork.Clock
	log     *slog.Logger
	rollout *rollout
	quotas  *quotas
	listed  func() // Is called after a change of the list of backend servers was applied.

	identities *identities // Nil if nobody asks for them.

	mu            sync.Mutex
	reconnectedAt time.Time // Time at which the table of backend servers last became reachable again or was restored.
}

// applyOperator applies changed rows of the operators' table.
func (a *rowApplier) applyOperator(u amrfollow.Update) {
	now := a.clock.Now()
	for _, row := range u.Rows {
		if row.Deleted {
			continue // A declaration remains in force until another one replaces it.
		}
		declaration, err := a.decoder.Operator(row)
		if err != nil {
			a.log.Error("cannot read a row of the operators' table; keeping the previous declaration, write the row again", "row", row.Key, "version", row.Version, "err", err)
			continue
		}
		switch declaration := declaration.(type) {
		case Records:
			a.applyRecords(amrroute.Records(declaration), amrfollow.Position{Era: u.Era, Version: row.Version})
		case TargetWeights:
			a.fleet.SetTarget(now, declaration.Model, declaration.Version)
			a.log.Info("new weights named", "model", declaration.Model, "weights", declaration.Version, "row-version", row.Version)
			a.rollout.recordTarget(declaration, row, u)
		}
	}
}

// applyRecords puts a version of the records in force unless the same or a newer
// version already is. A store that was restored from an older copy returns older
// records until the operators have written the newer ones again.
func (a *rowApplier) applyRecords(records amrroute.Records, row amrfollow.Position) {
	if old := a.forward.Table(); old != nil && old.Version() >= records.Version {
		a.log.Warn("records are not newer than those in force; ignoring them", "records", records.Version, "in-force", old.Version(), "row-era", row.Era, "row-version", row.Version)
		return
	}
	for _, problem := range records.Problems() {
		a.log.Warn("records have a route with an undeclared pool or without a target; declare the pool or add a target", "records", records.Version, "problem", problem)
	}
	table := amrroute.New(records)
	a.quotas.setTable(table)
	a.forward.SetTable(table)
	a.callers.SetLimits(callerLimits(table))
	a.fleet.SetStores(table.Stores())
	a.log.Info("records in force", "records", records.Version, "routes", len(records.Routes), "pools", len(records.Pools), "teams", len(records.Teams), "row-era", row.Era, "row-version", row.Version)
}

// applyServers applies changed rows of the backend servers' table.
func (a *rowApplier) applyServers(u amrfollow.Update) {
	now := a.clock.Now()
	if u.Reconnected || u.Restored {
		a.mu.Lock()
		a.reconnectedAt = now
		a.mu.Unlock()
	}
	for _, row := range u.Rows {
		if row.Deleted {
			a.removeServer(now, row)
			continue
		}
		listing, err := a.decoder.Server(row)
		if err != nil {
			a.log.Warn("cannot read the entry of a backend server; it gets no new requests, check which process wrote the entry", "server", row.Key, "err", err)
			a.fleet.RemoveServer(now, row.Key, 0)
			continue
		}
		a.fleet.UpdateServer(listing)
		a.observeIncarnation(now, listing.Name, listing.Started)
		a.log.Info("backend server listed", "server", listing.Name, "pool", listing.Pool, "address", listing.Address, "zone", listing.AvailabilityZone, "draining", listing.Draining, "software", listing.Software, "weights", listing.Weights, "row-version", row.Version)
	}
	a.rollout.signal()
	a.listed()
}

// observeIncarnation records the listed incarnation of the server; zero if it has left.
func (a *rowApplier) observeIncarnation(now time.Time, server string, started time.Time) {
	if a.identities != nil {
		a.identities.observe(now, server, started)
	}
}

// removeServer removes the backend server whose row was deleted.
func (a *rowApplier) removeServer(now time.Time, row amrfollow.Row) {
	a.mu.Lock()
	relisting := !a.reconnectedAt.IsZero() && now.Sub(a.reconnectedAt) < relistWindow
	a.mu.Unlock()
	grace := time.Duration(0)
	if relisting {
		grace = relistGrace
	}
	a.fleet.RemoveServer(now, row.Key, grace)
	a.observeIncarnation(now, row.Key, time.Time{})
	a.log.Info("backend server left the list", "server", row.Key, "last-resort-for", grace, "row-version", row.Version)
}
