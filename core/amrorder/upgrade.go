package amrorder

import (
	"cmp"
	"slices"
	"time"
)

// Upgrade plans which backend servers of a pool change their weights next, so
// that the others keep its capacity. It is not safe for concurrent use; create
// it with NewUpgrade.
type Upgrade struct {
	share   float64
	running map[string]time.Time // Start by name of the server.
	retryAt map[string]time.Time
}

const (
	// upgradeShare is the share of a pool that changes at once.
	upgradeShare = 0.34

	// upgradePause is the pause before a server whose change failed is tried
	// again.
	upgradePause = 300 * time.Millisecond
)

// UpgradeServer is a backend server as the planner sees it.
type UpgradeServer struct {
	Name     string
	Version  int
	Draining bool
	Blocked  bool    // It may not be ordered now.
	Load     float64 // Requests in progress.
}

// NewUpgrade returns a planner that has begun nothing.
func NewUpgrade() *Upgrade {
	return &Upgrade{share: upgradeShare, running: make(map[string]time.Time), retryAt: make(map[string]time.Time)}
}

// Wanted reports whether a server has older weights than the target.
func (u *Upgrade) Wanted(target int, servers []UpgradeServer) bool {
	for _, s := range servers {
		if s.Version < target && !s.Draining {
			return true
		}
	}
	return false
}

// Plan returns the servers whose change starts now, those with the least work
// first. Each is reported with Finish.
func (u *Upgrade) Plan(now time.Time, target int, servers []UpgradeServer) []string {
	free := max(1, int(u.share*float64(len(servers)))) - len(u.running)
	var behind []UpgradeServer
	for _, s := range servers {
		_, running := u.running[s.Name]
		if s.Version < target && !s.Draining && !s.Blocked && !running && !now.Before(u.retryAt[s.Name]) {
			behind = append(behind, s)
		}
	}
	slices.SortStableFunc(behind, func(a, b UpgradeServer) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Load, b.Load), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, s := range behind[:min(max(free, 0), len(behind))] {
		u.running[s.Name] = now
		names = append(names, s.Name)
	}
	return names
}

// Finish notes the end of a server's change.
func (u *Upgrade) Finish(now time.Time, name string, ok bool) {
	delete(u.running, name)
	if ok {
		delete(u.retryAt, name)
		return
	}
	u.retryAt[name] = now.Add(upgradePause)
}

// Running returns the names of the servers whose change has not ended.
func (u *Upgrade) Running() []string {
	names := make([]string, 0, len(u.running))
	for name := range u.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
