package amrmember

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// View is an immutable snapshot of the backend servers. The zero value is empty.
type View struct {
	groups  map[string]group // By deployment.
	changes uint64           // Number of changes between the empty view and this one.
}

// Eligible returns the backend servers of the deployment that may get new work,
// sorted by name. The caller must not modify the slice.
func (v View) Eligible(deployment string) []*Member {
	return v.groups[deployment].eligible
}

// Excluded returns the backend servers of the deployment that must not get new
// work, sorted by name. The caller must not modify the slice.
func (v View) Excluded(deployment string) []*Member {
	return v.groups[deployment].excluded
}

// Weights returns the number of eligible backend servers of the deployment that
// are known to hold each version of the weights. The caller must not modify the
// map.
func (v View) Weights(deployment string) map[string]int {
	return v.groups[deployment].weights
}

// Generation returns a number that changes whenever a backend server of the
// deployment changes, so that views of the same Members can be compared.
func (v View) Generation(deployment string) uint64 {
	return v.groups[deployment].generation
}

// Deployments returns the names of the deployments that have backend servers, in
// alphabetical order.
func (v View) Deployments() []string {
	return slices.Sorted(maps.Keys(v.groups))
}

// Member returns the backend server of the deployment with the name, and whether
// it exists.
func (v View) Member(deployment, name string) (*Member, bool) {
	g := v.groups[deployment]
	for _, list := range [][]*Member{g.eligible, g.excluded} {
		if i, ok := find(list, name); ok {
			return list[i], true
		}
	}
	return nil, false
}

// Member is the state of a backend server in a view.
type Member struct {
	Name               string
	Deployment         string
	Address            string // IP address and port of the sidecar.
	AvailabilityZone   string
	HonoursFence       bool   // It rejects orders that carry an outdated fencing token.
	SidecarIncarnation string // Empty until the sidecar has reported its state.
	EngineIncarnation  string
	WeightsVersion     string
	Exclusion          Exclusion
	EjectionEndedAt    time.Time // End of its last completed ejection; zero if there is none.
}

// Weight returns the fraction of its usual load that the backend server should
// get, between 0 and 1. It is 1 except during the ramp-up after an ejection.
func (m *Member) Weight(now time.Time, limits Limits) float64 {
	passed := now.Sub(m.EjectionEndedAt)
	if m.EjectionEndedAt.IsZero() || passed >= limits.RampUpTime {
		return 1
	}
	return limits.InitialWeight + (1-limits.InitialWeight)*float64(passed)/float64(limits.RampUpTime)
}

// Exclusion is the reason for which a backend server must not get new work.
type Exclusion string

// The reasons for an exclusion, beginning with the strongest. A backend server
// to which several apply has the strongest one.
const (
	Eligible        Exclusion = ""                  // It is not excluded.
	DrainedByRecord Exclusion = "drained-by-record" // Its record asks to drain it.
	Draining        Exclusion = "draining"          // Its sidecar reports that it is draining.
	Leaving         Exclusion = "leaving"           // The host list shows its host as leaving.
	Gone            Exclusion = "gone"              // Its host is no longer in the host list.
	Ejected         Exclusion = "ejected"           // Requests to it have failed.
	NotReady        Exclusion = "not-ready"         // Its sidecar reports that it is not ready.
)

// group contains the backend servers of a deployment. Its lists are sorted by
// name.
type group struct {
	eligible []*Member
	excluded []*Member
	weights  map[string]int // Number of eligible backend servers, by weights version.

	generation uint64
}

// withCounts returns the group with the generation and with the weights of its
// eligible backend servers counted.
func (g group) withCounts(generation uint64) group {
	g.generation = generation
	g.weights = make(map[string]int)
	for _, m := range g.eligible {
		if m.WeightsVersion != "" {
			g.weights[m.WeightsVersion]++
		}
	}
	return g
}

func (g group) size() int {
	return len(g.eligible) + len(g.excluded)
}

// with returns a view in which the next value of a member replaces the old one.
// The old value is the zero Member if the member is new.
func (v View) with(old, next Member) View {
	v = v.without(old)
	g := v.groups[next.Deployment]
	if next.Exclusion == Eligible {
		g.eligible = inserted(g.eligible, &next)
	} else {
		g.excluded = inserted(g.excluded, &next)
	}
	groups := maps.Clone(v.groups)
	if groups == nil {
		groups = make(map[string]group)
	}
	v.changes++
	groups[next.Deployment] = g.withCounts(v.changes)
	return View{groups: groups, changes: v.changes}
}

// without returns a view without the member.
func (v View) without(old Member) View {
	g, ok := v.groups[old.Deployment]
	if !ok {
		return v
	}
	if old.Exclusion == Eligible {
		g.eligible = removed(g.eligible, old.Name)
	} else {
		g.excluded = removed(g.excluded, old.Name)
	}
	groups := maps.Clone(v.groups)
	v.changes++
	groups[old.Deployment] = g.withCounts(v.changes)
	if g.size() == 0 {
		delete(groups, old.Deployment)
	}
	return View{groups: groups, changes: v.changes}
}

// find returns the position of the named member in the sorted list, or the one
// at which it would be inserted, and whether it is present.
func find(list []*Member, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(m *Member, name string) int {
		return cmp.Compare(m.Name, name)
	})
}

// inserted returns a copy of the sorted list to which the member is added.
func inserted(list []*Member, m *Member) []*Member {
	i, _ := find(list, m.Name)
	next := make([]*Member, 0, len(list)+1)
	next = append(next, list[:i]...)
	next = append(next, m)
	return append(next, list[i:]...)
}

// removed returns a copy of the list without the named member.
func removed(list []*Member, name string) []*Member {
	i, ok := find(list, name)
	if !ok {
		return list
	}
	next := make([]*Member, 0, len(list)-1)
	next = append(next, list[:i]...)
	return append(next, list[i+1:]...)
}
