package amrrecord

import (
	"cmp"
	"slices"
)

// setEdit gathers changes to a set and keeps its indexes.
type setEdit struct {
	set      Set
	variants *shardedEdit[variants]
	records  *shardedEdit[Record]
	teams    *shardedEdit[string]
	servers  *shardedEdit[[]Record]
	touched  map[string]bool // Deployments whose slice of servers is a copy.
}

func newSetEdit(s Set) *setEdit {
	s.partial = slices.Clone(s.partial)
	return &setEdit{s, s.variants.edit(), s.records.edit(), s.teams.edit(), s.servers.edit(), map[string]bool{}}
}

func (e *setEdit) put(r Record) {
	id := r.ID()
	old, _ := e.variants.get(id.String())
	next := old.with(r)
	e.variants.put(id.String(), next)
	e.settle(id, next)
}

func (e *setEdit) remove(id ID) {
	e.variants.remove(id.String())
	e.settle(id, nil)
}

// settle brings into force what the variants of the identity ask for.
func (e *setEdit) settle(id ID, v variants) {
	r, ok := v.inForce(e.set.zone)
	e.replace(id, r, ok)
	e.set.partial = slices.DeleteFunc(e.set.partial, func(other ID) bool { return other == id })
	if r, ok := v.rolling(); ok && r.Rollout.inZone(e.set.zone) && r.Rollout.partial() {
		e.set.partial = append(e.set.partial, id)
	}
}

// replace brings r into force under the identity, or nothing when ok is false.
func (e *setEdit) replace(id ID, r Record, ok bool) {
	if old, found := e.records.get(id.String()); found {
		e.set.count--
		e.records.remove(id.String())
		e.unindex(old)
	}
	if ok {
		e.set.count++
		e.records.put(id.String(), r)
		e.index(r)
	}
}

func (e *setEdit) index(r Record) {
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

func (e *setEdit) unindex(r Record) {
	switch spec := r.Spec.(type) {
	case Team:
		for _, digest := range spec.KeySHA256 {
			if owner, _ := e.teams.get(digest); owner == r.Name {
				e.teams.remove(digest)
			}
		}
	case BackendServer:
		servers := e.serversOf(spec.Deployment)
		if i, found := slices.BinarySearchFunc(servers, r.Name, compareName); found {
			e.servers.put(spec.Deployment, slices.Delete(servers, i, i+1))
		}
	case Deployment, RoutingPolicy:
	}
}

func (e *setEdit) done() Set {
	e.set.variants = e.variants.done()
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
