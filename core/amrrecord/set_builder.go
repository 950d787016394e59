package amrrecord

import (
	"cmp"
	"slices"
)

// setBuilder applies changes to a copy of a set and keeps the indexes of the
// set up to date. The original set stays unchanged.
type setBuilder struct {
	set           Set
	variants      *shardedMapBuilder[variants]
	records       *shardedMapBuilder[Record]
	teamNameByKey *shardedMapBuilder[string]
	servers       *shardedMapBuilder[[]Record]
	copied        map[string]bool // Deployments whose slice in servers is already a copy.
}

func newSetBuilder(s Set) *setBuilder {
	s.partial = slices.Clone(s.partial)
	return &setBuilder{s, s.variants.builder(), s.records.builder(), s.teamNameByKey.builder(), s.servers.builder(), map[string]bool{}}
}

func (b *setBuilder) put(r Record) {
	id := r.ID()
	old, _ := b.variants.get(id.String())
	next := old.with(r)
	b.variants.put(id.String(), next)
	b.updateInForce(id, next)
}

func (b *setBuilder) remove(id ID) {
	b.variants.remove(id.String())
	b.updateInForce(id, nil)
}

// updateInForce puts into force the variant that applies in the zone of the
// set, and records whether another one is being rolled out to a share of the
// requests.
func (b *setBuilder) updateInForce(id ID, v variants) {
	r, ok := v.inForce(b.set.zone)
	b.setInForce(id, r, ok)
	b.set.partial = slices.DeleteFunc(b.set.partial, func(other ID) bool { return other == id })
	if r, ok := v.rollingOut(); ok && r.Rollout.includesZone(b.set.zone) && r.Rollout.partial() {
		b.set.partial = append(b.set.partial, id)
	}
}

// setInForce replaces the record in force with the given ID by r. If ok is
// false, no record with the ID is in force afterwards.
func (b *setBuilder) setInForce(id ID, r Record, ok bool) {
	if old, found := b.records.get(id.String()); found {
		b.set.count--
		b.records.remove(id.String())
		b.removeFromIndexes(old)
	}
	if ok {
		b.set.count++
		b.records.put(id.String(), r)
		b.addToIndexes(r)
	}
}

func (b *setBuilder) addToIndexes(r Record) {
	switch spec := r.Spec.(type) {
	case Team:
		for _, digest := range spec.KeySHA256 {
			b.teamNameByKey.put(digest, r.Name)
		}
	case BackendServer:
		servers := b.editableServers(spec.Deployment)
		i, _ := slices.BinarySearchFunc(servers, r.Name, compareByName)
		b.servers.put(spec.Deployment, slices.Insert(servers, i, r))
	case Deployment, RoutingPolicy:
	}
}

func (b *setBuilder) removeFromIndexes(r Record) {
	switch spec := r.Spec.(type) {
	case Team:
		for _, digest := range spec.KeySHA256 {
			if owner, _ := b.teamNameByKey.get(digest); owner == r.Name {
				b.teamNameByKey.remove(digest)
			}
		}
	case BackendServer:
		servers := b.editableServers(spec.Deployment)
		if i, found := slices.BinarySearchFunc(servers, r.Name, compareByName); found {
			b.servers.put(spec.Deployment, slices.Delete(servers, i, i+1))
		}
	case Deployment, RoutingPolicy:
	}
}

// build returns the modified set. The builder must not be used afterwards.
func (b *setBuilder) build() Set {
	b.set.variants = b.variants.build()
	b.set.records = b.records.build()
	b.set.teamNameByKey = b.teamNameByKey.build()
	b.set.servers = b.servers.build()
	return b.set
}

// editableServers returns the servers of the deployment in a slice that the
// builder may modify. It copies the slice on the first call for a deployment,
// because the original set may share it.
func (b *setBuilder) editableServers(deployment string) []Record {
	servers, _ := b.servers.get(deployment)
	if !b.copied[deployment] {
		b.copied[deployment] = true
		servers = slices.Clone(servers)
	}
	return servers
}

func compareByName(r Record, name string) int {
	return cmp.Compare(r.Name, name)
}
