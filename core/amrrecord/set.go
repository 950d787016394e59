package amrrecord

import (
	"cmp"
	"reflect"
	"slices"
)

// Set is an immutable set of records at one revision, as it is in force in one
// availability zone. The zero value is the empty set at revision 0. A changed
// copy shares all that did not change.
type Set struct {
	revision uint64
	zone     string
	count    int
	variants shardedMap[variants]
	records  shardedMap[Record]   // In force, by identity.
	teams    shardedMap[string]   // Names of teams by key digest.
	servers  shardedMap[[]Record] // Backend servers by deployment, in name order.
	partial  []ID                 // Being rolled out to a share of the requests.
}

// Revision returns the revision of the set.
func (s Set) Revision() uint64 {
	return s.revision
}

// WithRevision returns the set under another revision.
func (s Set) WithRevision(revision uint64) Set {
	s.revision = revision
	return s
}

// WithAvailabilityZone returns the set as it is in force in the availability
// zone.
func (s Set) WithAvailabilityZone(zone string) Set {
	if s.zone == zone {
		return s
	}
	return Set{revision: s.revision, zone: zone}.With(s.Variants()...)
}

// With returns the set with the records added or replaced. A record with a
// rollout stands beside the one that is in force everywhere.
func (s Set) With(records ...Record) Set {
	e := newSetEdit(s)
	for _, r := range records {
		e.put(r)
	}
	return e.done()
}

// Without returns the set without the records of the given identities.
func (s Set) Without(ids ...ID) Set {
	e := newSetEdit(s)
	for _, id := range ids {
		e.remove(id)
	}
	return e.done()
}

// For returns the set as it is in force for the request. It differs from s
// only while a record is being rolled out to a share of the requests.
func (s Set) For(request string) Set {
	if len(s.partial) == 0 {
		return s
	}
	e := newSetEdit(s)
	for _, id := range s.partial {
		v, _ := s.variants.get(id.String())
		if r, ok := v.rolling(); ok && r.Rollout.takes(id, request) {
			e.replace(id, r, true)
		}
	}
	return e.done()
}

// Len returns the number of records in force.
func (s Set) Len() int {
	return s.count
}

// Get returns the record in force with the identity.
func (s Set) Get(id ID) (Record, bool) {
	return s.records.get(id.String())
}

// Records returns all records in force, ordered by kind and name.
func (s Set) Records() []Record {
	all := make([]Record, 0, s.count)
	for _, r := range s.records.all {
		all = append(all, r)
	}
	slices.SortFunc(all, compareID)
	return all
}

// Variants returns all records, with those that stand beside others: first
// those in force everywhere in the order of their schema versions, then the
// one that is being rolled out. The records are ordered by kind and name. With
// ids it returns only the records of these identities.
func (s Set) Variants(ids ...ID) []Record {
	var all []Record
	for _, id := range ids {
		v, _ := s.variants.get(id.String())
		all = append(all, v...)
	}
	if len(ids) > 0 {
		return all
	}
	for _, v := range s.variants.all {
		all = append(all, v...)
	}
	slices.SortStableFunc(all, compareID)
	return all
}

// Team returns the team of the name.
func (s Set) Team(name string) (Team, bool) {
	return specOf[Team](s, ID{KindTeam, name})
}

// TeamByKey returns the name and the team that a bearer key belongs to, given
// the lower-case hex SHA-256 digest of the key.
func (s Set) TeamByKey(digest string) (string, Team, bool) {
	name, ok := s.teams.get(digest)
	if !ok {
		return "", Team{}, false
	}
	team, ok := s.Team(name)
	return name, team, ok
}

// Deployment returns the deployment of the name.
func (s Set) Deployment(name string) (Deployment, bool) {
	return specOf[Deployment](s, ID{KindDeployment, name})
}

// RoutingPolicy returns the routing policy of the name.
func (s Set) RoutingPolicy(name string) (RoutingPolicy, bool) {
	return specOf[RoutingPolicy](s, ID{KindRoutingPolicy, name})
}

// BackendServer returns the backend server of the name.
func (s Set) BackendServer(name string) (BackendServer, bool) {
	return specOf[BackendServer](s, ID{KindBackendServer, name})
}

// BackendServers returns the records of the deployment's backend servers, in
// name order. The caller must not change the slice.
func (s Set) BackendServers(deployment string) []Record {
	servers, _ := s.servers.get(deployment)
	return servers
}

func specOf[T Spec](s Set, id ID) (T, bool) {
	r, _ := s.Get(id)
	spec, ok := r.Spec.(T)
	return spec, ok
}

func compareID(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Kind(), b.Kind()), cmp.Compare(a.Name, b.Name))
}

// Changed returns the identities under which s and old hold different records,
// in order. It is fast for sets that were made from one another.
func (s Set) Changed(old Set) []ID {
	keys := s.variants.changed(old.variants, func(a, b variants) bool { return reflect.DeepEqual(a, b) })
	slices.Sort(keys)
	ids := make([]ID, len(keys))
	for i, key := range keys {
		ids[i] = ParseID(key)
	}
	return ids
}
