package amrdirect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrpool"
)

const (
	// leaseKey is the key of the shared row that holds the rollout lease.
	leaseKey = "rollout"

	// leaseTTL is the time after which the rollout lease expires unless it is
	// renewed.
	leaseTTL = 1500 * time.Millisecond

	// rolloutInterval is the time between steps while a rollout is in progress.
	rolloutInterval = 50 * time.Millisecond

	// idleInterval is the time between steps while no rollout is needed.
	idleInterval = time.Second

	// candidateDelay is the time for which the candidate with rank 0 waits
	// before it tries to take the lease. Each further rank waits longer by the
	// same time, so that the candidates do not all try at the same time. The
	// last holder does not wait.
	candidateDelay = 150 * time.Millisecond

	// stoppingDelay is how much longer a candidate waits that is stopping.
	stoppingDelay = 300 * time.Millisecond

	// endedRetention is how long the shared row may still name a change that
	// has ended. It may be long because routers learn the new version of the
	// weights from the server itself.
	endedRetention = 400 * time.Millisecond

	// callTimeout limits a call to an engine or to the shared table.
	callTimeout = 600 * time.Millisecond
)

// rollout orders engines to load the weights that operators declared while this
// router holds the rollout lease. It writes the servers that it is about to
// change to the row of the lease, so that all routers stop sending them
// requests.
type rollout struct {
	deps      Dependencies
	fleet     *amrpool.Fleet
	pools     func() map[string][]string // Returns the names of the pools that serve each model.
	host      string                     // Name of this router's host.
	boot      amrforward.BootClock       // Clock for the lease and the changes.
	clock     clockwork.Clock            // Clock for the fleet and for timers.
	log       *slog.Logger
	wake      chan struct{} // Wakes Run before its timer fires.
	mode      LoadMode
	loadSlots *semaphore.Weighted // Limits concurrent loads; its total weight is loadCapacity.
	group     errgroup.Group      // Runs the changes in progress.

	orders *prometheus.CounterVec // Orders to load weights by result.

	tableTime *tableTime           // Bounds the shared table's clock from above.
	tableNow  func() time.Duration // Returns a lower bound of it.

	reading func() amrfollow.Reading // Returns this router's last reading of the tables' clock.

	nextWaitLog time.Time // Earliest time at which logWaits looks again; used by Run only.

	mu          sync.Mutex
	orderTimes  orderNotes // Last orders of all hosts.
	eraAt       time.Time  // Time from which orderTimes has those of this host; zero for all.
	lease       *amrorder.FollowedLease
	handover    *handover
	upgrades    map[string]*amrorder.Upgrade     // By model.
	changes     map[string]amrpool.WeightsChange // Changes that this router is carrying out, by server name.
	declared    *declarationTimes                // When weights were declared.
	dated       map[TargetWeights]time.Duration  // Times of declarations that the fleet was told, by the shared table's clock.
	announced   bool                             // Whether the shared row contains all changes.
	endedAt     time.Time                        // Time since which the shared row may contain ended changes; zero if it contains none.
	neededSince time.Time                        // Time since which there is work to do; zero if there is none.
	stopping    bool                             // This router is stopping.
	rank        int                              // Position of this router among the candidates for the lease.
	held        bool                             // Whether this router held the lease at the last step.
	outgoing    []amrgossip.Progress             // Progress that is queued for the other routers.
	notify      func()                           // Called when there is progress to send.

	endNotified      bool                             // A notification of ended changes is scheduled.
	announcedChanges map[string]amrpool.WeightsChange // Changes whose begin was announced to the other routers, and whose end was not.
}

// newRollout returns a rollout without planned changes.
func (r *Router) newRollout() *rollout {
	return &rollout{
		deps:       r.deps,
		fleet:      r.fleet,
		pools:      r.modelPools,
		host:       r.settings.Host,
		boot:       r.boot,
		clock:      r.clock,
		log:        r.log,
		wake:       make(chan struct{}, 1),
		mode:       KeepRequests,
		loadSlots:  semaphore.NewWeighted(loadCapacity),
		orders:     newOrderCounter(),
		orderTimes: make(orderNotes),
		tableTime:  &r.tableTime,
		tableNow:   r.sharedTableNow,
		reading:    r.tableReading,
		lease:      amrorder.NewFollowedLease(r.boot.Now(), leaseKey, r.settings.Host, uuid.NewString(), leaseTTL),
		handover:   newHandover(r.boot.Now(), r.settings.Host, r.settings.Bounds.LeaseHandover),
		upgrades:   make(map[string]*amrorder.Upgrade),
		changes:    make(map[string]amrpool.WeightsChange),
		declared:   newDeclarationTimes(),
		dated:      make(map[TargetWeights]time.Duration),
		announced:  true,
		notify:     r.requestSend,

		announcedChanges: make(map[string]amrpool.WeightsChange),
	}
}

// Run plans and carries out changes until ctx is done. After stopping is done, it
// goes on while callers are served, since all other routers may be stopping too, and
// then with the rollout in progress, for at most the limit in all. It resigns the lease
// when no rollout is in progress any more. Before it returns, it waits for changes in
// progress.
func (r *rollout) Run(ctx, stopping, serving context.Context, limit time.Duration) error {
	stopped, served := stopping.Done(), serving.Done()
	for ctx.Err() == nil {
		pause := idleInterval
		busy := r.step(ctx)
		if busy {
			pause = rolloutInterval
		}
		if stopping.Err() != nil && !busy {
			if serving.Err() != nil {
				break
			}
			r.resign(ctx) // Others need not wait until the lease expires.
		}
		timer := r.clock.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-stopped:
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, limit)
			defer cancel()
			stopped = nil
			r.setStopping()
		case <-served:
			served = nil
		case <-r.wake:
		case <-timer.Chan():
		}
		timer.Stop()
	}
	err := r.group.Wait()
	r.resign(context.WithoutCancel(ctx))
	return err
}

// setStopping records that this router is stopping, so that it leaves the lease to others
// that are not.
func (r *rollout) setStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// mayTake reports whether it is this router's turn to take or renew the lease, if it is free.
// The caller must hold r.mu.
func (r *rollout) mayTake(now time.Time, held bool) bool {
	turn := r.neededSince.Add(time.Duration(1+r.rank) * candidateDelay)
	if r.stopping {
		return held || !now.Before(turn.Add(stoppingDelay))
	}
	return held || r.lease.Holder() == r.host || !now.Before(turn)
}

// setRank sets the position of this router among the candidates for the lease;
// the candidate with rank 0 takes it first.
func (r *rollout) setRank(rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank = rank
}

// holdsLease reports whether this router holds the lease and may give orders.
func (r *rollout) holdsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.lease.Held(r.boot.Now())
	return ok
}

// signal makes Run take its next step without waiting for the timer.
func (r *rollout) signal() {
	select {
	case r.wake <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

// step takes or renews the lease and starts changes where they are due. It
// reports whether a rollout is in progress.
func (r *rollout) step(ctx context.Context) bool {
	now := r.boot.Now()
	needed := r.needed()
	if needed {
		r.logWaits(now)
	}
	r.mu.Lock()
	fence, held := r.lease.Held(now)
	if held != r.held {
		r.held = held
		r.log.Info("lease of orders", "held", held, "fence", fence, "holder", r.lease.Holder(), "engines-waiting", len(r.handover.allowedFrom), "orders-known-since", now.Sub(r.handover.knownFrom))
	}
	switch {
	case !needed && len(r.changes) == 0 && r.announced && r.endedAt.IsZero():
		r.neededSince = time.Time{}
		r.mu.Unlock()
		return false
	case r.neededSince.IsZero():
		r.neededSince = now
	}
	mayStart := r.mayTake(now, held)
	r.mu.Unlock()
	if !mayStart {
		return true
	}
	var planned []plannedChange
	if held {
		planned = r.plan(now)
	}
	r.mu.Lock()
	ended := !r.endedAt.IsZero() && now.Sub(r.endedAt) >= endedRetention
	due := !held || r.lease.RenewalDue(now) || !r.announced || ended
	r.mu.Unlock()
	if due && !r.announce(ctx) {
		r.abandon(now, planned)
		return true
	}
	for _, c := range planned {
		r.group.Go(func() error {
			r.runChange(ctx, c)
			return nil
		})
	}
	return true
}

// plannedChange is the change of one server, which is about to start.
type plannedChange struct {
	server amrpool.State
	model  string
	units  int64 // Share of loadCapacity that the load acquires.
}

// needed reports whether a rollout is needed: whether any engine that is not
// draining holds older weights than those declared.
func (r *rollout) needed() bool {
	for model, pools := range r.pools() {
		servers, _ := r.servers(model, pools)
		if r.upgrade(model).Needed(r.fleet.Target(model), servers) {
			return true
		}
	}
	return false
}

// upgrade returns the planner for the model and creates it if necessary.
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

// servers returns the engines of the pools that serve the model, as input to
// the planner and as states by name.
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
			servers = append(servers, amrorder.UpgradeServer{Name: s.Name, Version: version, Draining: s.Draining, InProgress: s.TotalInFlight, Blocked: !allowed, Down: s.Faults >= 1})
		}
	}
	return servers, states
}

// plan selects the servers whose change starts now and adds them to the
// changes.
func (r *rollout) plan(now time.Time) []plannedChange {
	var planned []plannedChange
	for model, pools := range r.pools() {
		servers, states := r.servers(model, pools)
		p := r.modelPlan(model, pools, servers)
		u := r.upgrade(model)
		r.mu.Lock()
		for _, name := range r.planUpgrade(now, u, p) {
			r.changes[name] = amrpool.WeightsChange{Model: model, Version: p.target}
			r.announced = false
			planned = append(planned, plannedChange{server: states[name], model: model, units: unitsPerLoad(len(servers))})
			r.log.Info("change of weights begins", "server", name, "model", model, "weights", p.target, "load", states[name].TotalInFlight)
		}
		r.mu.Unlock()
	}
	return planned
}

// abandon ends planned changes as failed because they could not be announced.
func (r *rollout) abandon(now time.Time, planned []plannedChange) {
	for _, c := range planned {
		r.finish(now, c, false)
	}
}

// finish records the end of a server's change and whether it succeeded.
func (r *rollout) finish(now time.Time, c plannedChange, ok bool) {
	u := r.upgrade(c.model)
	r.mu.Lock()
	u.Finish(now, c.server.Name, ok)
	delete(r.changes, c.server.Name)
	if r.endedAt.IsZero() {
		r.endedAt = now
	}
	r.mu.Unlock()
	r.signal()
}
