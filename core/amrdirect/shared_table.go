package amrdirect

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"amaranthreach.example/core/amrcoord"
	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrlimit"
	"amaranthreach.example/core/amrreplica"
)

// applyShared applies changed rows of the shared table: the rollout lease, the
// quarantined parts of prompts, the signals of servers, the strikes of requests, the
// registrations of routers and the software versions of pools.
func (r *Router) applyShared(u amrfollow.Update) {
	r.rollout.applyShared(u)
	r.recordReadings(u)
	r.quarantine.applyShared(u)
	r.signals.applyShared(u)
	r.strikes.applyShared(u)
	r.registrar.applyShared(u, r.copies.Followers[tableShared].Copy())
	defer r.sharedApplied.Store(true)
	defer r.applySoftware()
	var hosts []string
	var routers []amrreplica.Router
	var peers []amrgossip.Peer
	var coordinators []amrcoord.Router
	var lenders []amrlimit.QuotaRouter
	for _, row := range r.copies.Followers[tableShared].Copy().Rows() {
		host, ok := strings.CutPrefix(row.Key, registrationPrefix)
		if !ok {
			continue
		}
		var registration registration
		if err := json.Unmarshal(row.Value, &registration); err != nil {
			r.log.Warn("cannot decode the registration of a router; ignoring it", "host", host, "err", err)
			continue
		}
		hosts = append(hosts, host)
		lenders = append(lenders, amrlimit.QuotaRouter{Host: amrgossip.IDOf(host), Capacity: registration.Capacity, Reachable: registration.Notices != ""})
		peers = append(peers, amrgossip.Peer{Host: host, Address: registration.Notices})
		if registration.Notices != "" {
			coordinators = append(coordinators, amrcoord.Router{Host: host, Capacity: registration.Capacity})
		}
		routers = append(routers, amrreplica.Router{
			Host: host, Address: registration.Address, AvailabilityZone: registration.AvailabilityZone, Capacity: registration.Capacity,
		})
	}
	if len(hosts) == 0 {
		return
	}
	if n := int64(len(hosts)); r.routers.Swap(n) != n {
		r.log.Info("routers changed", "count", n)
	}
	r.rank.Store(int64(writeRank(r.settings.Host, routers)))
	r.rollout.setRank(max(0, slices.Index(hosts, r.settings.Host)))
	r.replicas.SetRouters(routers)
	r.gossip.SetPeers(peers)
	r.placer.SetRouters(coordinators)
	r.quotas.setRouters(hosts, lenders)
}

// recordReadings records the readings in the changed registrations.
func (r *Router) recordReadings(u amrfollow.Update) {
	for _, row := range u.Rows {
		if registration, ok := decodeRegistration(row); ok && !row.Deleted {
			r.rollout.recordReading(registration.Reading.reading(), u.Now)
		}
	}
}

// tableReading returns this router's last reading of the tables' clock, from the operators'
// table, which it reads from the store itself; the zero value if it has not been read.
func (r *Router) tableReading() amrfollow.Reading {
	return r.copies.Followers[tableOperator].Copy().Reading()
}

// sharedTableNow returns an estimate of the reading of the shared table's clock, which is
// later in fact; 0 while the table has not been read.
func (r *Router) sharedTableNow() time.Duration {
	table := r.copies.Followers[tableShared].Copy()
	if !table.Filled() {
		return 0
	}
	return table.TableNow(r.clock.Now())
}
