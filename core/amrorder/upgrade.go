package amrorder

import (
	"cmp"
	"slices"
	"time"
)

// Upgrade plans when each backend server of a pool loads newer weights, so that
// most of the pool keeps serving. It is not safe for concurrent use; create it
// with NewUpgrade.
type Upgrade struct {
	maxShare float64              // Largest share of the pool that changes at the same time.
	running  map[string]*change   // Changes in progress, by name of the server.
	retryAt  map[string]time.Time // Earliest time of the next attempt, by name of the server.

	// Of PlanUnder:
	unanswered  map[string]bool // Servers that did not answer when their last change was tried.
	preparation learnedTime     // Time from the start of a change until its server is ready to load.
	load        learnedTime     // Time that a load takes.
	status      UpgradeStatus
}

const (
	// maxUpgradeShare is the largest share of a pool that changes its weights
	// at the same time.
	maxUpgradeShare = 0.34

	// upgradeRetryDelay is the delay before a change that failed is tried
	// again.
	upgradeRetryDelay = 300 * time.Millisecond
)

// UpgradeServer is the state of a backend server as known to Upgrade.
type UpgradeServer struct {
	Name       string
	Version    int     // Version of the weights that it holds.
	Draining   bool    // It accepts no new work and gets no new weights.
	Blocked    bool    // It must not get an order now.
	InProgress float64 // Requests in progress.

	// These fields matter to PlanUnder only.
	Down     bool          // It serves nothing, so its change takes no capacity away.
	Outdated time.Duration // Time since weights newer than its own were declared.
}

// NewUpgrade returns an Upgrade without changes in progress.
func NewUpgrade() *Upgrade {
	return &Upgrade{
		maxShare: maxUpgradeShare, running: make(map[string]*change), retryAt: make(map[string]time.Time), unanswered: make(map[string]bool),
	}
}

// Needed reports whether a server that is not draining has older weights than
// the target version.
func (u *Upgrade) Needed(target int, servers []UpgradeServer) bool {
	for _, s := range servers {
		if s.Version < target && !s.Draining {
			return true
		}
	}
	return false
}

// Plan returns the names of the servers whose change to the target version
// starts at time now. Servers with the oldest weights come first, and among
// them those with the fewest requests in progress. At least one server may
// change, even if the pool is small. The caller must report the end of each
// change with Finish.
func (u *Upgrade) Plan(now time.Time, target int, servers []UpgradeServer) []string {
	slots := max(1, int(u.maxShare*float64(len(servers)))) - len(u.running)
	outdated := u.outdated(now, target, servers)
	var names []string
	for _, s := range outdated[:min(max(slots, 0), len(outdated))] {
		u.running[s.Name] = newChange(now, false)
		names = append(names, s.Name)
	}
	return names
}

// outdated returns the servers whose change to the target version may start, in the order
// in which they change.
func (u *Upgrade) outdated(now time.Time, target int, servers []UpgradeServer) []UpgradeServer {
	var outdated []UpgradeServer
	for _, s := range servers {
		_, running := u.running[s.Name]
		if s.Version < target && !s.Draining && !s.Blocked && !running && !now.Before(u.retryAt[s.Name]) {
			outdated = append(outdated, s)
		}
	}
	slices.SortStableFunc(outdated, func(a, b UpgradeServer) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.InProgress, b.InProgress), cmp.Compare(a.Name, b.Name))
	})
	return outdated
}

// Finish records the end of a server's change and whether it succeeded. A
// failed change is not tried again before upgradeRetryDelay has passed.
func (u *Upgrade) Finish(now time.Time, name string, ok bool) {
	if c := u.running[name]; ok && c != nil && c.reached(ChangeLoading) {
		u.load.add(now.Sub(c.at[ChangeLoading]))
	}
	delete(u.running, name)
	if len(u.running) == 0 {
		u.status.Away = 0
	}
	if ok {
		delete(u.retryAt, name)
		return
	}
	u.retryAt[name] = now.Add(upgradeRetryDelay)
}

// Running returns the names of the servers whose change is in progress, in
// alphabetical order.
func (u *Upgrade) Running() []string {
	names := make([]string, 0, len(u.running))
	for name := range u.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
