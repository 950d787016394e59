package amrrecord

import (
	"cmp"
	"slices"
)

// Set is an immutable set of records at one revision. The zero value is the
// empty set at revision 0.
type Set struct {
	revision uint64
	records  map[ID]Record
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

// With returns the set with the records added or replaced.
func (s Set) With(records ...Record) Set {
	next := s.clone()
	for _, r := range records {
		next.records[r.ID()] = r
	}
	return next
}

// Without returns the set without the records of the given identities.
func (s Set) Without(ids ...ID) Set {
	next := s.clone()
	for _, id := range ids {
		delete(next.records, id)
	}
	return next
}

// Get returns the record with the identity.
func (s Set) Get(id ID) (Record, bool) {
	r, ok := s.records[id]
	return r, ok
}

// Records returns all records, ordered by kind and name.
func (s Set) Records() []Record {
	all := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Compare(a.ID().String(), b.ID().String())
	})
	return all
}

// Team returns the team of the name.
func (s Set) Team(name string) (Team, bool) {
	spec, ok := s.records[ID{KindTeam, name}].Spec.(Team)
	return spec, ok
}

// Deployment returns the deployment of the name.
func (s Set) Deployment(name string) (Deployment, bool) {
	spec, ok := s.records[ID{KindDeployment, name}].Spec.(Deployment)
	return spec, ok
}

// RoutingPolicy returns the routing policy of the name.
func (s Set) RoutingPolicy(name string) (RoutingPolicy, bool) {
	spec, ok := s.records[ID{KindRoutingPolicy, name}].Spec.(RoutingPolicy)
	return spec, ok
}

// BackendServer returns the backend server of the name.
func (s Set) BackendServer(name string) (BackendServer, bool) {
	spec, ok := s.records[ID{KindBackendServer, name}].Spec.(BackendServer)
	return spec, ok
}

func (s Set) clone() Set {
	next := Set{revision: s.revision, records: make(map[ID]Record, len(s.records)+1)}
	for id, r := range s.records {
		next.records[id] = r
	}
	return next
}
