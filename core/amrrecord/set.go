package amrrecord

import (
	"cmp"
	"slices"
)

// Set is an immutable set of records at one revision. The zero value is the
// empty set at revision 0. A changed copy shares all that did not change.
type Set struct {
	revision uint64
	count    int
	records  shardedMap[Record]
	teams    shardedMap[string]   // Names of teams by key digest.
	servers  shardedMap[[]Record] // Backend servers by deployment, in name order.
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

// Len returns the number of records.
func (s Set) Len() int {
	return s.count
}

// Get returns the record with the identity.
func (s Set) Get(id ID) (Record, bool) {
	return s.records.get(id.String())
}

// Records returns all records, ordered by kind and name.
func (s Set) Records() []Record {
	all := make([]Record, 0, s.count)
	for _, r := range s.records.all {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Kind(), b.Kind()), cmp.Compare(a.Name, b.Name))
	})
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

// setEdit gathers changes to a set and keeps its indexes.
type setEdit struct {
	set     Set
	records *shardedEdit[Record]
	teams   *shardedEdit[string]
	servers *shardedEdit[[]Record]
	touched map[string]bool // Deployments whose slice of servers is a copy.
}

func newSetEdit(s Set) *setEdit {
	return &setEdit{s, s.records.edit(), s.teams.edit(), s.servers.edit(), map[string]bool{}}
}

func (e *setEdit) put(r Record) {
	e.remove(r.ID())
	e.set.count++
	e.records.put(r.ID().String(), r)
	switch spec := r.Spec.(type) {
	case Team:
		for _, digest := range spec.KeySHA256 {
			e.teams.put(digest, r.Name)
		}
	case BackendServer:
		servers := e.serversOf(spec.Deployment)
		i, _ := slices.BinarySearchFunc(servers, r.Name, compareName)
		e.servers.put(spec.Deployment, slices.Insert(servers, i, r))
	case Deployment, RoutingPolicy:
	}
}

func (e *setEdit) remove(id ID) {
	r, ok := e.records.get(id.String())
	if !ok {
		return
	}
	e.set.count--
	e.records.remove(id.String())
	switch spec := r.Spec.(type) {
	case Team:
		for _, digest := range spec.KeySHA256 {
			if owner, _ := e.teams.get(digest); owner == id.Name {
				e.teams.remove(digest)
			}
		}
	case BackendServer:
		servers := e.serversOf(spec.Deployment)
		if i, found := slices.BinarySearchFunc(servers, id.Name, compareName); found {
			e.servers.put(spec.Deployment, slices.Delete(servers, i, i+1))
		}
	case Deployment, RoutingPolicy:
	}
}

func (e *setEdit) done() Set {
	e.set.records = e.records.done()
	e.set.teams = e.teams.done()
	e.set.servers = e.servers.done()
	return e.set
}

// serversOf returns a copy of the deployment's servers that the edit may
// change.
func (e *setEdit) serversOf(deployment string) []Record {
	servers, _ := e.servers.get(deployment)
	if !e.touched[deployment] {
		e.touched[deployment] = true
		servers = slices.Clone(servers)
	}
	return servers
}

func compareName(r Record, name string) int {
	return cmp.Compare(r.Name, name)
}
