package amrorder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthreach.example/core/amrrecord"
)

// The bounds of a rollout.
const (
	MaxLoads        = 2                // Loads at once per deployment.
	MinServingShare = 0.75             // Share of a pool that goes on serving.
	MaxFailures     = 3                // Failed loads of a version in a row that halt it.
	LoadRetryAfter  = 10 * time.Second // Pause before a backend server is tried again.
	BusyRetryAfter  = time.Second      // The same when it did not take the order.
)

// unknownWeights stands for the version of a backend server that was not heard.
const unknownWeights = "\x00unknown"

// Rollout plans the loads that bring a deployment's backend servers to the
// versions of its record. It keeps old and new versions serving side by side,
// loads at most MaxLoads at once and keeps the capacity of the others. A version
// whose loads fail again and again is halted until the record changes; writing
// the former versions into the record rolls back. Rollout is not safe for
// concurrent use; the zero value is ready to use.
type Rollout struct {
	versions []amrrecord.Version
	loading  map[string]string    // Version by name of the backend server.
	retryAt  map[string]time.Time // By name of the backend server.
	failures map[string]int       // Failed loads in a row by version.
}

// Server is a backend server as the planner sees it.
type Server struct {
	Name             string
	AvailabilityZone string
	Weights          string // Version that it holds; empty for none.
	Ready            bool   // It can take work.
	Reachable        bool   // Its sidecar answers and it is not leaving.
	Known            bool   // Its sidecar has been heard.
}

// Load is one order to load weights.
type Load struct {
	Server  string
	Weights string
}

// Wanted reports whether a backend server is known that should hold another
// version.
func Wanted(versions []amrrecord.Version, servers []Server) bool {
	var r Rollout
	r.reset(versions)
	for _, p := range pools(versions, servers) {
		if len(r.moves(time.Time{}, p)) > 0 {
			return true
		}
	}
	return false
}

// Plan returns the loads to start now. Each has to be reported with Finish or
// Postpone.
func (r *Rollout) Plan(now time.Time, versions []amrrecord.Version, servers []Server) []Load {
	r.reset(versions)
	var loads []Load
	for _, p := range pools(versions, servers) {
		for _, load := range r.moves(now, p) {
			if len(r.loading) >= MaxLoads {
				return loads
			}
			if !r.spare(p, load.Server) {
				continue
			}
			r.loading[load.Server] = load.Weights
			loads = append(loads, load)
		}
	}
	return loads
}

// Finish notes the end of a load.
func (r *Rollout) Finish(now time.Time, load Load, err error) {
	delete(r.loading, load.Server)
	if err == nil {
		delete(r.failures, load.Weights)
		delete(r.retryAt, load.Server)
		return
	}
	if r.failures == nil {
		r.reset(r.versions)
	}
	r.failures[load.Weights]++
	r.retryAt[load.Server] = now.Add(LoadRetryAfter)
}

// Postpone notes that a load was not carried out for no fault of the backend
// server.
func (r *Rollout) Postpone(now time.Time, load Load) {
	delete(r.loading, load.Server)
	r.retryAt[load.Server] = now.Add(BusyRetryAfter)
}

// Loading returns the number of loads that have not finished.
func (r *Rollout) Loading() int {
	return len(r.loading)
}

// Halted returns the versions that are not loaded any more, by name.
func (r *Rollout) Halted() []string {
	var halted []string
	for version, failures := range r.failures {
		if failures >= MaxFailures {
			halted = append(halted, version)
		}
	}
	slices.Sort(halted)
	return halted
}

// reset forgets failures when the record's versions changed.
func (r *Rollout) reset(versions []amrrecord.Version) {
	if r.loading == nil {
		r.loading = make(map[string]string)
	}
	same := slices.EqualFunc(r.versions, versions, func(a, b amrrecord.Version) bool {
		return a.Weights == b.Weights && a.Share == b.Share && slices.Equal(a.AvailabilityZones, b.AvailabilityZones)
	})
	if same && r.failures != nil {
		return
	}
	r.versions = versions
	r.failures = make(map[string]int)
	r.retryAt = make(map[string]time.Time)
}

// spare reports whether the pool keeps its capacity while the server loads.
func (r *Rollout) spare(p pool, name string) bool {
	serving := 0
	for _, s := range p.servers {
		if _, loading := r.loading[s.Name]; s.Ready && !loading && s.Name != name {
			serving++
		}
	}
	need := int(math.Floor(MinServingShare * float64(len(p.servers))))
	if len(p.servers) > 1 {
		need = max(need, 1)
	}
	i := slices.IndexFunc(p.servers, func(s Server) bool { return s.Name == name })
	return serving >= need || !p.servers[i].Ready
}

// moves returns the loads that the pool still needs, those that cost no
// capacity first.
func (r *Rollout) moves(now time.Time, p pool) []Load {
	missing := p.targets()
	var movable []Server
	for _, s := range p.servers {
		held := s.Weights
		if version, ok := r.loading[s.Name]; ok {
			held = version
		} else if !s.Known {
			held = unknownWeights
		}
		i := slices.IndexFunc(missing, func(t target) bool { return t.weights == held })
		if i >= 0 && missing[i].count > 0 {
			missing[i].count--
			continue
		}
		if _, ok := r.loading[s.Name]; !ok && s.Known && s.Reachable && !now.Before(r.retryAt[s.Name]) {
			movable = append(movable, s)
		}
	}
	slices.SortStableFunc(movable, func(a, b Server) int {
		if a.Ready != b.Ready && !a.Ready {
			return -1
		}
		if a.Ready != b.Ready {
			return 1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	var loads []Load
	for _, t := range missing {
		if r.failures[t.weights] >= MaxFailures {
			continue
		}
		for ; t.count > 0 && len(movable) > 0; t.count-- {
			loads = append(loads, Load{Server: movable[0].Name, Weights: t.weights})
			movable = movable[1:]
		}
	}
	return loads
}

// pool is a set of backend servers that share a set of versions.
type pool struct {
	versions []amrrecord.Version
	servers  []Server // By name.
}

// pools returns one pool for each availability zone that has versions of its
// own, and one for all other zones.
func pools(versions []amrrecord.Version, servers []Server) []pool {
	var general []amrrecord.Version
	byZone := make(map[string][]amrrecord.Version)
	for _, v := range versions {
		if len(v.AvailabilityZones) == 0 {
			general = append(general, v)
		}
		for _, zone := range v.AvailabilityZones {
			byZone[zone] = append(byZone[zone], v)
		}
	}
	members := make(map[string][]Server)
	for _, s := range servers {
		zone := s.AvailabilityZone
		if _, ok := byZone[zone]; !ok {
			zone = ""
		}
		members[zone] = append(members[zone], s)
	}
	byZone[""] = general
	var all []pool
	for zone, list := range members {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
		if len(byZone[zone]) > 0 {
			all = append(all, pool{versions: byZone[zone], servers: list})
		}
	}
	slices.SortFunc(all, func(a, b pool) int { return cmp.Compare(a.servers[0].Name, b.servers[0].Name) })
	return all
}

// target is the number of backend servers that a version should have.
type target struct {
	weights string
	share   int
	count   int
}

// targets divides the pool by the shares of its versions. Each version with a
// share gets a backend server while there are enough. When no version has a
// share, all have the same.
func (p pool) targets() []target {
	targets := make([]target, len(p.versions))
	total := 0
	for i, v := range p.versions {
		targets[i] = target{weights: v.Weights, share: max(v.Share, 0)}
		total += targets[i].share
	}
	if total == 0 {
		total = len(targets)
		for i := range targets {
			targets[i].share = 1
		}
	}
	for range p.servers {
		best := 0
		for i := range targets {
			if targets[i].lack(len(p.servers), total) > targets[best].lack(len(p.servers), total) {
				best = i
			}
		}
		targets[best].count++
	}
	return targets
}

// lack returns how far the version is from its share of n backend servers. A
// version with a share and no backend server comes first.
func (t target) lack(n, total int) int {
	lack := t.share*n - t.count*total
	if t.share > 0 && t.count == 0 {
		lack += n * total
	}
	return lack
}
