package amrrouter

import "github.com/prometheus/client_golang/prometheus"

// registerStateMetrics registers the metrics that are computed when they are
// read: those of the records, the peers and the pending decisions.
func (r *Router) registerStateMetrics() {
	gauge := func(name, help string, value func() float64) {
		r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("amr_router_config_revision", "Revision of the records in force.",
		func() float64 { return float64(r.Revision()) })
	gauge("amr_router_config_age_seconds", "Time since the records were known to be the newest.",
		func() float64 { return r.follower.Age().Seconds() })
	gauge("amr_router_peers", "Live routers that the router knows, itself included.",
		func() float64 { return float64(len(r.hostRegistry.routers())) })
	gauge("amr_router_excluded_servers", "Backend servers that get no new work.",
		func() float64 { return float64(r.excludedServers()) })
	gauge("amr_router_explain_pending", "Decisions that are not in the object store.",
		func() float64 { return float64(r.decisions.recorder.Pending()) })
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "amr_router_explain_dropped_total",
		Help: "Decisions dropped because the object store did not take them in time.",
	}, func() float64 { return float64(r.decisions.recorder.Dropped()) }))
}

// excludedServers returns the number of backend servers, of all deployments, that get no
// new work.
func (r *Router) excludedServers() int {
	n := 0
	view := r.membership.view(r.follower.Current())
	for _, deployment := range view.Deployments() {
		n += len(view.Excluded(deployment))
	}
	return n
}
