package amrorder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthreach.example/core/amrrecord"
)

// The limits of a rollout.
const (
	MaxConcurrentLoads     = 2                // Concurrent loads in a deployment.
	MinServingShare        = 0.75             // Smallest share of a pool that must keep serving.
	MaxConsecutiveFailures = 3                // Consecutive failed loads of a version after which it is halted.
	LoadRetryAfter         = 10 * time.Second // Delay before another order to a backend server whose load failed.
	BusyRetryAfter         = time.Second      // Delay before another order to a backend server that did not accept one.
)

// unknownWeights represents the version of a backend server whose sidecar has
// not reported yet. It differs from every real version.
const unknownWeights = "\x00unknown"

// Rollout plans the loads that bring the backend servers of a deployment to the
// weights versions in its record. Old and new versions serve side by side until
// all loads are done. At most MaxConcurrentLoads backend servers load at the
// same time, and MinServingShare of each pool, rounded down to whole backend
// servers, keeps serving. A version is halted after MaxConsecutiveFailures
// failed loads, until the versions in the record change; restoring the previous
// versions in the record rolls back. Rollout is not safe for concurrent use;
// the zero value is ready to use.
type Rollout struct {
	versions []amrrecord.Version
	loading  map[string]string    // Version being loaded, by name of the backend server.
	retryAt  map[string]time.Time // Earliest time of the next load, by name of the backend server.
	failures map[string]int       // Consecutive failed loads, by version.
}

// RolloutServer is the state of a backend server as known to Rollout.
type RolloutServer struct {
	Name             string
	AvailabilityZone string
	Weights          string // Version that it holds; empty if it holds none.
	Ready            bool   // It accepts new work.
	Reachable        bool   // Its sidecar replies and its host is not leaving.
	Reported         bool   // Its sidecar has reported its state.
}

// LoadOrder is an order to a backend server to load a version of the weights.
type LoadOrder struct {
	Server  string
	Weights string
}

// RolloutNeeded reports whether a backend server should load another version
// than the one it holds. Only backend servers that are reachable and whose
// state is known count.
func RolloutNeeded(versions []amrrecord.Version, servers []RolloutServer) bool {
	var r Rollout
	r.update(versions)
	for _, p := range pools(versions, servers) {
		if len(r.pendingLoads(time.Time{}, p)) > 0 {
			return true
		}
	}
	return false
}

// Plan returns the loads to start at time now. The caller must report the end
// of each load with Finish or Postpone.
func (r *Rollout) Plan(now time.Time, versions []amrrecord.Version, servers []RolloutServer) []LoadOrder {
	r.update(versions)
	var loads []LoadOrder
	for _, p := range pools(versions, servers) {
		for _, load := range r.pendingLoads(now, p) {
			if len(r.loading) >= MaxConcurrentLoads {
				return loads
			}
			if !r.hasCapacityWithout(p, load.Server) {
				continue
			}
			r.loading[load.Server] = load.Weights
			loads = append(loads, load)
		}
	}
	return loads
}

// Finish records the end of a load, which failed if err is not nil. After a
// failure, the backend server gets no other load for LoadRetryAfter.
func (r *Rollout) Finish(now time.Time, load LoadOrder, err error) {
	delete(r.loading, load.Server)
	if err == nil {
		delete(r.failures, load.Weights)
		delete(r.retryAt, load.Server)
		return
	}
	if r.failures == nil {
		r.update(r.versions)
	}
	r.failures[load.Weights]++
	r.retryAt[load.Server] = now.Add(LoadRetryAfter)
}

// Postpone records that a load did not start for a reason other than a fault of
// the backend server, which gets no other load for BusyRetryAfter.
func (r *Rollout) Postpone(now time.Time, load LoadOrder) {
	delete(r.loading, load.Server)
	r.retryAt[load.Server] = now.Add(BusyRetryAfter)
}

// Loading returns the number of loads in progress.
func (r *Rollout) Loading() int {
	return len(r.loading)
}

// Halted returns the versions that are no longer loaded because of failures, in
// alphabetical order.
func (r *Rollout) Halted() []string {
	var halted []string
	for version, failures := range r.failures {
		if failures >= MaxConsecutiveFailures {
			halted = append(halted, version)
		}
	}
	slices.Sort(halted)
	return halted
}

// update sets the versions of the record. If they have changed, it clears the
// failures and the retry times.
func (r *Rollout) update(versions []amrrecord.Version) {
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

// hasCapacityWithout reports whether enough backend servers of the pool keep
// serving while the named one loads. A backend server that is not ready serves
// nothing, so it may always load. A pool of one backend server has no minimum,
// because it could never load otherwise.
func (r *Rollout) hasCapacityWithout(p pool, name string) bool {
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
	i := slices.IndexFunc(p.servers, func(s RolloutServer) bool { return s.Name == name })
	return serving >= need || !p.servers[i].Ready
}

// pendingLoads returns the loads that the pool still needs and that may start
// at time now. Loads of backend servers that are not ready come first, since
// they take no capacity away.
func (r *Rollout) pendingLoads(now time.Time, p pool) []LoadOrder {
	remaining := p.targets()
	var available []RolloutServer
	for _, s := range p.servers {
		held := s.Weights
		if version, ok := r.loading[s.Name]; ok {
			held = version
		} else if !s.Reported {
			held = unknownWeights
		}
		i := slices.IndexFunc(remaining, func(t target) bool { return t.weights == held })
		if i >= 0 && remaining[i].count > 0 {
			remaining[i].count--
			continue
		}
		if _, ok := r.loading[s.Name]; !ok && s.Reported && s.Reachable && !now.Before(r.retryAt[s.Name]) {
			available = append(available, s)
		}
	}
	slices.SortStableFunc(available, func(a, b RolloutServer) int {
		if a.Ready != b.Ready && !a.Ready {
			return -1
		}
		if a.Ready != b.Ready {
			return 1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	var loads []LoadOrder
	for _, t := range remaining {
		if r.failures[t.weights] >= MaxConsecutiveFailures {
			continue
		}
		for ; t.count > 0 && len(available) > 0; t.count-- {
			loads = append(loads, LoadOrder{Server: available[0].Name, Weights: t.weights})
			available = available[1:]
		}
	}
	return loads
}

// pool is a group of backend servers and the versions among which they are
// divided.
type pool struct {
	versions []amrrecord.Version
	servers  []RolloutServer // Sorted by name.
}

// pools returns a pool for each availability zone that the record gives
// versions of its own, and one for all other zones. It omits pools without
// backend servers or versions.
func pools(versions []amrrecord.Version, servers []RolloutServer) []pool {
	var general []amrrecord.Version
	versionsByZone := make(map[string][]amrrecord.Version)
	for _, v := range versions {
		if len(v.AvailabilityZones) == 0 {
			general = append(general, v)
		}
		for _, zone := range v.AvailabilityZones {
			versionsByZone[zone] = append(versionsByZone[zone], v)
		}
	}
	serversByZone := make(map[string][]RolloutServer)
	for _, s := range servers {
		zone := s.AvailabilityZone
		if _, ok := versionsByZone[zone]; !ok {
			zone = ""
		}
		serversByZone[zone] = append(serversByZone[zone], s)
	}
	versionsByZone[""] = general
	var all []pool
	for zone, list := range serversByZone {
		slices.SortFunc(list, func(a, b RolloutServer) int { return cmp.Compare(a.Name, b.Name) })
		if len(versionsByZone[zone]) > 0 {
			all = append(all, pool{versions: versionsByZone[zone], servers: list})
		}
	}
	slices.SortFunc(all, func(a, b pool) int { return cmp.Compare(a.servers[0].Name, b.servers[0].Name) })
	return all
}

// target is the number of backend servers that should hold a version.
type target struct {
	weights string
	share   int // Relative to the shares of the other versions.
	count   int // Number of backend servers.
}

// targets divides the backend servers of the pool among its versions in
// proportion to their shares. Each version with a share gets at least one
// backend server if there are enough. If no version has a share, all shares are
// equal.
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
			if targets[i].deficit(len(p.servers), total) > targets[best].deficit(len(p.servers), total) {
				best = i
			}
		}
		targets[best].count++
	}
	return targets
}

// deficit returns how far the version is below its share of n backend servers,
// in units of 1/total of a backend server. A version that has a share but no
// backend server yet gets a larger deficit than all others.
func (t target) deficit(n, total int) int {
	deficit := t.share*n - t.count*total
	if t.share > 0 && t.count == 0 {
		deficit += n * total
	}
	return deficit
}
