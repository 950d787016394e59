package amrdirect

import (
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
)

// registerMetrics registers the gauges of the router's state and the counter of
// orders. It does nothing if the registerer is nil.
func (r *Router) registerMetrics(registerer prometheus.Registerer) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "amr_records_version", Help: "Version of the records in force."}, func() float64 {
			if table := r.forward.Table(); table != nil {
				return float64(table.Version())
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "amr_lease_held", Help: "1 while this router gives the orders."}, func() float64 {
			if r.rollout.holdsLease() {
				return 1
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "amr_store_era", Help: "Newest known era of the store, which rises each time that it is restored from an older copy."}, func() float64 {
			return float64(r.era.Load())
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "amr_routers", Help: "Routers that share the retry bounds."}, func() float64 {
			return float64(r.routers.Load())
		}),
		r.newServersCollector(),
		r.newCapacityCollector(),
		r.newRetriesCollector(),
		r.rollout.orders,
		newRolloutCollector(r.rollout),
	)
	registerer.MustRegister(newHeldCollector(r.held))
	for name, f := range r.copies.Followers {
		labels := prometheus.Labels{"table": name}
		registerer.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "amr_table_in_touch", Help: "1 while the table answers.", ConstLabels: labels}, func() float64 {
				if f.Connected() {
					return 1
				}
				return 0
			}),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "amr_table_age_seconds", Help: "Time since the table last answered.", ConstLabels: labels}, func() float64 {
				return r.clock.Since(f.Copy().LastContact()).Seconds()
			}),
		)
	}
}

// serversCollector collects the number of backend servers by pool and state, and that
// of those which have named a limit.
type serversCollector struct {
	router  *Router
	desc    *prometheus.Desc
	limited *prometheus.Desc
}

func (r *Router) newServersCollector() *serversCollector {
	return &serversCollector{
		router: r,
		desc:   prometheus.NewDesc("amr_backend_servers", "Backend servers by pool and state.", []string{"pool", "state"}, nil),

		limited: prometheus.NewDesc("amr_limited_servers", "Backend servers that have named a limit of the requests per second that they take.", []string{"pool"}, nil),
	}
}

// Describe sends the descriptors of the gauges.
func (c *serversCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.desc
	out <- c.limited
}

// Collect sends the current values of the gauges.
func (c *serversCollector) Collect(out chan<- prometheus.Metric) {
	now := c.router.clock.Now()
	for _, pool := range c.router.fleet.Pools() {
		counts := make(map[string]int)
		limited := 0
		for _, s := range c.router.fleet.States(now, pool) {
			counts[s.Status()]++
			if s.Limit > 0 {
				limited++
			}
		}
		out <- prometheus.MustNewConstMetric(c.limited, prometheus.GaugeValue, float64(limited), pool)
		for state, n := range counts {
			out <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(n), pool, state)
		}
	}
}

// retriesCollector collects the retries that remain in each pool's budget.
type retriesCollector struct {
	router *Router
	desc   *prometheus.Desc
}

func (r *Router) newRetriesCollector() *retriesCollector {
	return &retriesCollector{
		router: r,
		desc:   prometheus.NewDesc("amr_retries_left", "Repeated sends that this router's budget of a pool allows now.", []string{"pool"}, nil),
	}
}

// Describe sends the descriptor of the gauge.
func (c *retriesCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.desc
}

// Collect sends the current values of the gauge.
func (c *retriesCollector) Collect(out chan<- prometheus.Metric) {
	for pool, left := range c.router.forward.RetriesLeft(c.router.clock.Now()) {
		out <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(left), pool)
	}
}

// newOrderCounter returns the counter of orders to load weights.
func newOrderCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_orders_total", Help: "Orders to load weights, by result."}, []string{"result"})
}

// orderResult returns the value of the result label for an order that ended
// with the error.
func orderResult(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errorx.IsOfType(err, OrderOutcomeUnknown):
		return "unknown"
	case errorx.IsOfType(err, OrderRefused):
		return "refused"
	}
	return "failed"
}
