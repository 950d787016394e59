package amrdirect

import (
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrreplica"
)

// Minimum times between a change of a table and the next call for changes. They
// let one call return several changes, since a change of weights affects many
// servers and records may change in quick succession. The delay is acceptable
// because routers notify one another immediately of servers that must get no
// requests.
const (
	operatorInterval = 100 * time.Millisecond
	serversInterval  = 200 * time.Millisecond
	sharedInterval   = 0 // With few routers, a change of the lease is read immediately.
)

// Times for which a table may delay its answer to a call for changes until a
// row changes.
const (
	// detectionMargin is the difference between Bounds.DetectionTime and the
	// wait. A call on a dead connection fails only some time after its wait,
	// and the next call follows it.
	detectionMargin = 600 * time.Millisecond

	// sharedCallWait is the wait for the shared table. It is longer than that
	// for the other tables because routers notify one another of changes of the
	// shared rows and write these rows conditionally, so that acting on an
	// outdated copy does no harm.
	sharedCallWait = 9 * time.Second
)

// Names of the tables in logs, metrics and requests between routers.
const (
	tableOperator = "operator"
	tableServers  = "servers"
	tableShared   = "shared"
)

// createFollowers creates the followers of the tables and the replicas that
// they fall back on.
func (r *Router) createFollowers() {
	self := amrreplica.Router{Host: r.settings.Host, Address: r.settings.PeersAddress, AvailabilityZone: r.settings.AvailabilityZone}
	r.replicas = amrreplica.NewPeers(self, r.settings.Seeds, r.clock, r.log)
	r.copies = &amrreplica.Server{Followers: make(map[string]*amrfollow.Follower), Clock: r.clock, Stopping: r.stopping.Load}
	for _, t := range []struct {
		name         string
		source       amrfollow.Source
		apply        func(amrfollow.Update)
		callInterval func() time.Duration
		wait         func() time.Duration
	}{
		{tableOperator, r.deps.Operator, r.rowApplier.applyOperator, func() time.Duration { return operatorInterval }, r.tableCallWait},
		{tableServers, r.replicas.Relayed(tableServers, r.deps.Servers), r.rowApplier.applyServers, func() time.Duration { return r.replicas.CallInterval(serversInterval) }, r.relayedWait(r.tableCallWait())},
		{tableShared, r.replicas.Relayed(tableShared, r.deps.Shared), r.applyShared, func() time.Duration { return r.replicas.CallInterval(sharedInterval) }, r.relayedWait(sharedCallWait)},
	} {
		apply := func(u amrfollow.Update) {
			r.observeEra(u.Era)
			t.apply(u)
		}
		f := amrfollow.New(t.name, t.source, r.log, apply, amrfollow.WithMinInterval(t.callInterval), amrfollow.WithWait(t.wait), amrfollow.WithClock(r.clock), amrfollow.WithReplica(r.replicas.ForTable(t.name)))
		r.copies.Followers[t.name] = f
		r.followers = append(r.followers, f)
	}
}

// observeEra records that the platform's store is said to be in the given era. If
// that is new, the rollout lease must be acquired again and all tables are read
// again.
func (r *Router) observeEra(era uint64) {
	for known := r.era.Load(); era > known; known = r.era.Load() {
		if !r.era.CompareAndSwap(known, era) {
			continue
		}
		r.log.Info("store has a new era", "era", era, "known-era", known)
		r.rollout.observeEra(era)
		for _, f := range r.followers {
			f.ObserveEra(era)
		}
	}
}

// tableCallWait returns how long the operators' and the servers' table may
// delay the answer to a call for changes.
func (r *Router) tableCallWait() time.Duration {
	if bound := r.settings.Bounds.DetectionTime; bound > detectionMargin {
		return bound - detectionMargin
	}
	return amrfollow.DefaultWait
}

// relayedWait returns a function that returns how long a table that other routers may
// follow through this one may delay the answer to a call for changes.
func (r *Router) relayedWait(wait time.Duration) func() time.Duration {
	return func() time.Duration {
		if r.replicas.IsRelay() || r.copies.Serving() {
			return min(wait, amrreplica.RelayWait)
		}
		return wait
	}
}
