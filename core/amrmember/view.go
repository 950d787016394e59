package amrmember

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// View is an immutable view of the backend servers. The zero value is empty.
type View struct {
	groups  map[string]group // By deployment.
	changes uint64           // Made to get to this view.
}

// Eligible returns the backend servers of the deployment that may take new
// work, by name. The caller must not change the slice.
func (v View) Eligible(deployment string) []*Member {
	return v.groups[deployment].eligible
}

// Excluded returns the backend servers of the deployment that may not take new
// work, by name. The caller must not change the slice.
func (v View) Excluded(deployment string) []*Member {
	return v.groups[deployment].excluded
}

// Weights returns how many of the eligible backend servers of the deployment
// are known to hold each version of the weights. The caller must not change
// the map.
func (v View) Weights(deployment string) map[string]int {
	return v.groups[deployment].weights
}

// Generation returns a number that differs between two views of the same
// Members when the deployment's backend servers do.
func (v View) Generation(deployment string) uint64 {
	return v.groups[deployment].generation
}

// Deployments returns the deployments that have backend servers, by name.
func (v View) Deployments() []string {
	return slices.Sorted(maps.Keys(v.groups))
}

// Member returns the backend server of the deployment that has the name.
func (v View) Member(deployment, name string) (*Member, bool) {
	g := v.groups[deployment]
	for _, list := range [][]*Member{g.eligible, g.excluded} {
		if i, ok := find(list, name); ok {
			return list[i], true
		}
	}
	return nil, false
}

// Member is a backend server in a view.
type Member struct {
	Name               string
	Deployment         string
	Address            string // IP address and port of the sidecar.
	AvailabilityZone   string
	HonoursFence       bool
	SidecarIncarnation string // Empty until the sidecar was heard.
	EngineIncarnation  string
	WeightsVersion     string
	Exclusion          Exclusion
	ReturningSince     time.Time // When its last ejection ended.
}

// Weight returns the share of its usual work that the backend server should
// get while it returns from an ejection, from 0 to 1.
func (m *Member) Weight(now time.Time, limits Limits) float64 {
	passed := now.Sub(m.ReturningSince)
	if m.ReturningSince.IsZero() || passed >= limits.ReturnOver {
		return 1
	}
	return limits.InitialWeight + (1-limits.InitialWeight)*float64(passed)/float64(limits.ReturnOver)
}

// Exclusion says why a backend server may not take new work.
type Exclusion string

// The exclusions, the strongest first.
const (
	Eligible        Exclusion = ""
	DrainedByRecord Exclusion = "drained-by-record"
	Draining        Exclusion = "draining"
	Leaving         Exclusion = "leaving"
	Gone            Exclusion = "gone"
	Ejected         Exclusion = "ejected"
	NotReady        Exclusion = "not-ready"
)

// group holds the backend servers of one deployment, each list by name.
type group struct {
	eligible []*Member
	excluded []*Member
	weights  map[string]int // Number of eligible backend servers by version.

	generation uint64
}

// counted returns the group of the generation with the weights of its eligible backend servers.
func (g group) counted(generation uint64) group {
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

// with returns the view with the member in place of its former self.
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
	groups[next.Deployment] = g.counted(v.changes)
	return View{groups: groups, changes: v.changes}
}

// without returns the view without the member.
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
	groups[old.Deployment] = g.counted(v.changes)
	if g.size() == 0 {
		delete(groups, old.Deployment)
	}
	return View{groups: groups, changes: v.changes}
}

func find(list []*Member, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(m *Member, name string) int {
		return cmp.Compare(m.Name, name)
	})
}

// inserted returns a copy of the list with the member in it.
func inserted(list []*Member, m *Member) []*Member {
	i, _ := find(list, m.Name)
	next := make([]*Member, 0, len(list)+1)
	next = append(next, list[:i]...)
	next = append(next, m)
	return append(next, list[i:]...)
}

// removed returns a copy of the list without the member of the name.
func removed(list []*Member, name string) []*Member {
	i, ok := find(list, name)
	if !ok {
		return list
	}
	next := make([]*Member, 0, len(list)-1)
	next = append(next, list[:i]...)
	return append(next, list[i+1:]...)
}
