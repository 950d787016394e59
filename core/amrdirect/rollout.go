package amrdirect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrpool"
)

const (
	// leaseKey is the shared row of the lease of orders.
	leaseKey = "rollout"

	// leaseTTL is the time for which the lease of orders holds.
	leaseTTL = 1500 * time.Millisecond

	// rolloutTick is the time between two looks at a rollout in progress.
	rolloutTick = 50 * time.Millisecond

	// idleTick is the time between two looks where nothing is to be done.
	idleTick = time.Second

	// candidateDelay is how much longer than the last holder, and than the
	// candidates before it, a candidate waits for a rollout to begin.
	candidateDelay = 150 * time.Millisecond

	// endedDelay is how long the shared row may name a change that ended. Routers
	// learn of the new weights from the server itself.
	endedDelay = 400 * time.Millisecond

	// callTimeout bounds a call to an engine or the shared rows.
	callTimeout = 600 * time.Millisecond
)

// rollout brings engines to the weights that operators named, while this
// router holds the lease of orders. What it is about to change stands in the
// lease's row, so that all routers keep off those servers.
type rollout struct {
	ports Ports
	fleet *amrpool.Fleet
	pools func() map[string][]string // Pools by model.
	host  string
	boot  BootClock       // For the lease and the changes.
	clock clockwork.Clock // For the fleet and for waiting.
	log   *slog.Logger
	wake  chan struct{}
	mode  LoadMode
	loads *semaphore.Weighted // Parts of loadUnits, for engines that load.
	group errgroup.Group

	orders *prometheus.CounterVec // By result.

	mu        sync.Mutex
	lease     *amrorder.FollowedLease
	handover  *handover
	upgrades  map[string]*amrorder.Upgrade // By model.
	changes   map[string]amrpool.Change    // By server; those that this router carries out.
	namings   map[NewWeights]time.Duration // When versions were named, by the shared rows' clock.
	announced bool                         // The shared row has all changes.
	endedAt   time.Time                    // Since when it has changes that ended; zero for none.
	wantedAt  time.Time                    // Since when there is work; zero for none.
	rank      int
	held      bool
	news      *amrgossip.Rollout // What other routers are to be told; nil for nothing.
}

// BootClock tells a time that goes on while the host is suspended.
type BootClock interface {
	Now() time.Time
}

// Run plans and carries out changes. Once stopping is done, it finishes the
// rollout in progress within the limit, gives the lease up and returns. It
// returns at once when ctx is done.
func (r *rollout) Run(ctx, stopping context.Context, limit time.Duration) error {
	ended := stopping.Done()
	for ctx.Err() == nil {
		pause := idleTick
		busy := r.step(ctx)
		if busy {
			pause = rolloutTick
		}
		if stopping.Err() != nil && !busy {
			break
		}
		timer := r.clock.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-ended:
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, limit)
			defer cancel()
			ended = nil
		case <-r.wake:
		case <-timer.Chan():
		}
		timer.Stop()
	}
	err := r.group.Wait()
	r.resign(context.WithoutCancel(ctx))
	return err
}

// setRank sets the place of this router among the candidates for the lease.
func (r *rollout) setRank(rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank = rank
}

// holds reports whether this router may give orders.
func (r *rollout) holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.lease.Held(r.boot.Now())
	return ok
}

// nudge makes Run look again.
func (r *rollout) nudge() {
	select {
	case r.wake <- struct{}{}:
	default: // It will look already.
	}
}

// named notes that weights were named, at a time of the rows' clock.
func (r *rollout) named(w NewWeights, at time.Duration) {
	r.mu.Lock()
	if _, ok := r.namings[w]; !ok {
		r.namings[w] = at
	}
	r.mu.Unlock()
	r.nudge()
}

// step does what is due, and reports whether a rollout is in progress.
func (r *rollout) step(ctx context.Context) bool {
	now := r.boot.Now()
	wanted := r.wanted()
	r.mu.Lock()
	fence, held := r.lease.Held(now)
	if held != r.held {
		r.held = held
		r.log.Info("lease of orders", "held", held, "fence", fence, "holder", r.lease.Holder())
	}
	switch {
	case !wanted && len(r.changes) == 0 && r.announced && r.endedAt.IsZero():
		r.wantedAt = time.Time{}
		r.mu.Unlock()
		return false
	case r.wantedAt.IsZero():
		r.wantedAt = now
	}
	mayBegin := held || r.lease.Holder() == r.host || now.Sub(r.wantedAt) >= time.Duration(1+r.rank)*candidateDelay
	r.mu.Unlock()
	if !mayBegin {
		return true
	}
	var begun []begin
	if held {
		begun = r.plan(now)
	}
	r.mu.Lock()
	ended := !r.endedAt.IsZero() && now.Sub(r.endedAt) >= endedDelay
	due := !held || r.lease.RenewalDue(now) || !r.announced || ended
	r.mu.Unlock()
	if due && !r.announce(ctx) {
		r.abandon(now, begun)
		return true
	}
	for _, b := range begun {
		r.group.Go(func() error {
			r.carry(ctx, b)
			return nil
		})
	}
	return true
}

// begin is a server whose change begins.
type begin struct {
	server amrpool.State
	model  string
	part   int64 // Of loadUnits, that its load takes.
}

// wanted reports whether an engine has older weights than were named.
func (r *rollout) wanted() bool {
	for model, pools := range r.pools() {
		servers, _ := r.servers(model, pools)
		if r.upgrade(model).Wanted(r.fleet.Target(model), servers) {
			return true
		}
	}
	return false
}

func (r *rollout) upgrade(model string) *amrorder.Upgrade {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upgrades[model]
	if u == nil {
		u = amrorder.NewUpgrade()
		r.upgrades[model] = u
	}
	return u
}

// servers returns the engines that serve the model.
func (r *rollout) servers(model string, pools []string) ([]amrorder.UpgradeServer, map[string]amrpool.State) {
	var servers []amrorder.UpgradeServer
	states := make(map[string]amrpool.State)
	now := r.boot.Now()
	for _, pool := range pools {
		for _, s := range r.fleet.States(r.clock.Now(), pool) {
			version, known := s.Version[model]
			if s.Gone || !known {
				continue
			}
			states[s.Name] = s
			r.mu.Lock()
			allowed := r.handover.allowed(now, s.Name)
			r.mu.Unlock()
			servers = append(servers, amrorder.UpgradeServer{Name: s.Name, Version: version, Draining: s.Draining, Load: s.Load, Blocked: !allowed})
		}
	}
	return servers, states
}

// plan chooses the servers whose change begins and adds them to the changes.
func (r *rollout) plan(now time.Time) []begin {
	var begun []begin
	for model, pools := range r.pools() {
		servers, states := r.servers(model, pools)
		target := r.fleet.Target(model)
		u := r.upgrade(model)
		r.mu.Lock()
		for _, name := range u.Plan(now, target, servers) {
			r.changes[name] = amrpool.Change{Model: model, Version: target}
			r.announced = false
			begun = append(begun, begin{server: states[name], model: model, part: loadPart(len(servers))})
			r.log.Info("change of weights begins", "server", name, "model", model, "weights", target, "load", states[name].Load)
		}
		r.mu.Unlock()
	}
	return begun
}

// abandon takes back changes that could not be announced.
func (r *rollout) abandon(now time.Time, begun []begin) {
	for _, b := range begun {
		r.finish(now, b, false)
	}
}

// finish ends a server's change.
func (r *rollout) finish(now time.Time, b begin, ok bool) {
	u := r.upgrade(b.model)
	r.mu.Lock()
	u.Finish(now, b.server.Name, ok)
	delete(r.changes, b.server.Name)
	if r.endedAt.IsZero() {
		r.endedAt = now
	}
	r.mu.Unlock()
	r.nudge()
}
