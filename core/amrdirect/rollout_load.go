package amrdirect

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrpool"
)

// staleMargin is the difference between the bound of weights and the age from which old
// weights are not used, unless that age is half of the bound because the bound is short.
const staleMargin = 2 * time.Second

// planUpgrade returns the names of the servers whose change starts now. The caller must
// hold r.mu.
func (r *rollout) planUpgrade(now time.Time, u *amrorder.Upgrade, p modelPlan) []string {
	if !p.byUrgency {
		return u.Plan(now, p.target, p.servers)
	}
	before := u.Status()
	overloaded := false
	for _, load := range p.loads {
		overloaded = overloaded || load.Overloaded(before.Overloaded)
	}
	names := u.PlanUnder(now, p.target, p.servers, amrorder.UpgradeConditions{
		Loads: concurrentLoads(len(p.servers)), Overloaded: overloaded, Bound: p.bound,
	})
	if status := u.Status(); status.Overloaded != before.Overloaded {
		r.log.Info("overload changes how many servers change weights at once", "model", p.model, "weights", p.target,
			"overloaded", overloaded, "away", status.Away, "limit", status.Limit, "loads", p.loads)
	}
	return names
}

// modelPlan is what a plan for the engines of a model depends on.
type modelPlan struct {
	model     string
	target    int
	servers   []amrorder.UpgradeServer
	byUrgency bool // All pools that serve the model admit requests by urgency.
	loads     []amrpool.PoolLoad
	bound     time.Duration // Time after the declaration of weights in which all engines must hold them.
}

// modelPlan returns what a plan for the pools of the model depends on.
func (r *rollout) modelPlan(model string, pools []string, servers []amrorder.UpgradeServer) modelPlan {
	p := modelPlan{model: model, target: r.fleet.Target(model), servers: servers, byUrgency: true, bound: weightsBound(r.fleet.StaleLimit())}
	now := r.clock.Now()
	for _, pool := range pools {
		if !r.fleet.AdmitsByUrgency(pool) {
			p.byUrgency = false
			continue
		}
		p.loads = append(p.loads, r.fleet.PoolLoad(now, pool))
		outdated := r.fleet.OutdatedFor(now, pool, model)
		for i := range servers {
			if age, ok := outdated[servers[i].Name]; ok {
				servers[i].Outdated = age
			}
		}
	}
	return p
}

// weightsBound returns the bound of weights by the age from which old weights are not used.
func weightsBound(staleLimit time.Duration) time.Duration {
	return staleLimit + min(staleLimit, staleMargin)
}

// advance records a stage of a change.
func (r *rollout) advance(c plannedChange, stage amrorder.ChangeStage) {
	u := r.upgrade(c.model)
	r.mu.Lock()
	defer r.mu.Unlock()
	u.Advance(r.boot.Now(), c.server.Name, stage)
}

// rolloutCollector collects the servers that get no requests because of a rollout, and how
// many may be so, by model.
type rolloutCollector struct {
	rollout          *rollout
	away, limit, low *prometheus.Desc
}

func newRolloutCollector(r *rollout) *rolloutCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"model"}, nil)
	}
	return &rolloutCollector{
		rollout: r,
		away:    desc("amr_rollout_away", "Servers that get no requests because this router changes their weights, in pools that admit by urgency."),
		limit:   desc("amr_rollout_away_limit", "Servers that may get no requests because of a change of weights at the same time."),
		low:     desc("amr_rollout_overloaded", "1 if fewer servers change weights at once because of overload."),
	}
}

// Describe sends the descriptors of the gauges.
func (c *rolloutCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.away, c.limit, c.low} {
		out <- desc
	}
}

// Collect sends the values at the last plan of the rollouts that this router carries out.
func (c *rolloutCollector) Collect(out chan<- prometheus.Metric) {
	c.rollout.mu.Lock()
	defer c.rollout.mu.Unlock()
	for model, u := range c.rollout.upgrades {
		status := u.Status()
		if status.Limit == 0 { // Not planned with PlanUnder.
			continue
		}
		overloaded := 0.0
		if status.Overloaded && status.Away > 0 {
			overloaded = 1
		}
		out <- prometheus.MustNewConstMetric(c.away, prometheus.GaugeValue, float64(status.Away), model)
		out <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, float64(status.Limit), model)
		out <- prometheus.MustNewConstMetric(c.low, prometheus.GaugeValue, overloaded, model)
	}
}
