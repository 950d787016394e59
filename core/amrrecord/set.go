package amrrecord

import (
	"cmp"
	"reflect"
	"slices"
)

// Set is an immutable set of records at one revision, resolved for one
// availability zone: of each record's variants, at most one is in force there.
// The zero value is the empty set at revision 0 in no zone. A modified copy
// shares its unmodified parts with the original, so that a change to one
// record in a large set is cheap.
type Set struct {
	revision uint64
	zone     string
	count    int
	// variants holds all variants of each record, by ID. The maps below are
	// derived from it.
	variants      shardedMap[variants]
	records       shardedMap[Record]   // Records in force, by ID.
	teamNameByKey shardedMap[string]   // By key digest.
	servers       shardedMap[[]Record] // Backend servers in force by deployment, in name order.
	partial       []ID                 // Records with a rollout to a share of the requests in this zone.
}

// Revision returns the revision of the set.
func (s Set) Revision() uint64 {
	return s.revision
}

// WithRevision returns a copy of the set with another revision.
func (s Set) WithRevision(revision uint64) Set {
	s.revision = revision
	return s
}

// WithAvailabilityZone returns the set with the same variants, resolved for
// the availability zone.
func (s Set) WithAvailabilityZone(zone string) Set {
	if s.zone == zone {
		return s
	}
	return Set{revision: s.revision, zone: zone}.With(s.Variants()...)
}

// With returns a copy of the set with the records added. A record without a
// rollout replaces the variants with its ID, except those without a rollout in
// an older schema version, which are kept for programs that do not support the
// newer one. A record with a rollout replaces only a variant that is being
// rolled out.
func (s Set) With(records ...Record) Set {
	b := newSetBuilder(s)
	for _, r := range records {
		b.put(r)
	}
	return b.build()
}

// Without returns a copy of the set without the records that have the given
// IDs.
func (s Set) Without(ids ...ID) Set {
	b := newSetBuilder(s)
	for _, id := range ids {
		b.remove(id)
	}
	return b.build()
}

// ForRequest returns the set as it is in force for the request with the given
// ID. It differs from s only while a record is being rolled out to a share of
// the requests. The result is the same for each call with the same ID.
func (s Set) ForRequest(requestID string) Set {
	if len(s.partial) == 0 {
		return s
	}
	b := newSetBuilder(s)
	for _, id := range s.partial {
		v, _ := s.variants.get(id.String())
		if r, ok := v.rollingOut(); ok && r.Rollout.includesRequest(id, requestID) {
			b.setInForce(id, r, true)
		}
	}
	return b.build()
}

// Len returns the number of records in force.
func (s Set) Len() int {
	return s.count
}

// Get returns the record in force with the given ID.
func (s Set) Get(id ID) (Record, bool) {
	return s.records.get(id.String())
}

// Records returns all records in force, ordered by kind and name.
func (s Set) Records() []Record {
	all := make([]Record, 0, s.count)
	for _, r := range s.records.all {
		all = append(all, r)
	}
	slices.SortFunc(all, compareByID)
	return all
}

// Variants returns all variants of the records with the given IDs, in the
// order of the IDs. Without IDs it returns all variants in the set, ordered by
// kind and name. The variants of one record are ordered as follows: first
// those without a rollout, by schema version, then the one that is being
// rolled out.
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
	slices.SortStableFunc(all, compareByID)
	return all
}

// Team returns the team with the given name.
func (s Set) Team(name string) (Team, bool) {
	return specOf[Team](s, ID{KindTeam, name})
}

// TeamByKey returns the name and the spec of the team that an API key belongs
// to. The digest is the one that KeyDigest returns for the key.
func (s Set) TeamByKey(digest string) (string, Team, bool) {
	name, ok := s.teamNameByKey.get(digest)
	if !ok {
		return "", Team{}, false
	}
	team, ok := s.Team(name)
	return name, team, ok
}

// Deployment returns the deployment with the given name.
func (s Set) Deployment(name string) (Deployment, bool) {
	return specOf[Deployment](s, ID{KindDeployment, name})
}

// RoutingPolicy returns the routing policy with the given name.
func (s Set) RoutingPolicy(name string) (RoutingPolicy, bool) {
	return specOf[RoutingPolicy](s, ID{KindRoutingPolicy, name})
}

// BackendServer returns the backend server with the given name.
func (s Set) BackendServer(name string) (BackendServer, bool) {
	return specOf[BackendServer](s, ID{KindBackendServer, name})
}

// BackendServers returns the records of the deployment's backend servers,
// ordered by name. The caller must not modify the slice.
func (s Set) BackendServers(deployment string) []Record {
	servers, _ := s.servers.get(deployment)
	return servers
}

// specOf returns the spec of the record in force with the given ID if it is of
// type T.
func specOf[T Spec](s Set, id ID) (T, bool) {
	r, _ := s.Get(id)
	spec, ok := r.Spec.(T)
	return spec, ok
}

func compareByID(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Kind(), b.Kind()), cmp.Compare(a.Name, b.Name))
}

// Diff returns the IDs whose variants differ between s and old, in lexical
// order. It skips the shards that the two sets share, so that it is fast if
// one set was derived from the other.
func (s Set) Diff(old Set) []ID {
	keys := s.variants.diffKeys(old.variants, func(a, b variants) bool { return reflect.DeepEqual(a, b) })
	slices.Sort(keys)
	ids := make([]ID, len(keys))
	for i, key := range keys {
		ids[i] = ParseID(key)
	}
	return ids
}
