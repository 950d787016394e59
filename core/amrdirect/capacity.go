package amrdirect

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrtick"
)

const (
	// capacityLogInterval is the time between two searches for changed estimates.
	capacityLogInterval = 5 * time.Second

	// capacityLogChange is the relative change of an estimate from which it is logged.
	capacityLogChange = 0.25

	// maxCapacityLines is the maximum number of servers logged in each search.
	maxCapacityLines = 10
)

// capacityLog logs the servers whose estimated capacity has changed.
type capacityLog struct {
	log    *slog.Logger
	logged map[string]amrpool.ServerCapacity // Last logged estimates by server.
}

func newCapacityLog(log *slog.Logger) *capacityLog {
	return &capacityLog{log: log, logged: make(map[string]amrpool.ServerCapacity)}
}

// update logs the estimates that differ by more than a quarter from the last logged ones.
// It logs at most maxCapacityLines servers, and others when it is called again.
func (l *capacityLog) update(capacities []amrpool.ServerCapacity) {
	lines := 0
	known := make(map[string]amrpool.ServerCapacity)
	for _, c := range capacities {
		if !c.Observed {
			continue
		}
		old, ok := l.logged[c.Name]
		if ok && !changed(old.PrefillRate, c.PrefillRate) && !changed(old.StepTime.Seconds(), c.StepTime.Seconds()) || lines == maxCapacityLines {
			if ok {
				known[c.Name] = old
			}
			continue
		}
		lines++
		known[c.Name] = c
		l.log.Info("estimated capacity of a server changed", "pool", c.Pool, "server", c.Name,
			"prefill-tokens-per-second", math.Round(c.PrefillRate), "step-time", c.StepTime.Round(time.Microsecond), "knee", c.Knee)
	}
	l.logged = known
}

// changed reports whether the values differ by more than a quarter of the old one.
func changed(before, after float64) bool {
	return math.Abs(after-before) > capacityLogChange*before
}

// logCapacities logs the servers whose estimated capacity has changed until ctx is done.
// It always returns nil.
func (r *Router) logCapacities(ctx context.Context) error {
	l := newCapacityLog(r.log)
	amrtick.Every(ctx, r.clock, capacityLogInterval, func() { l.update(r.fleet.Capacities(r.clock.Now())) })
	return nil
}

// capacityCollector collects the estimated capacity of the servers at which this router
// has placed requests.
type capacityCollector struct {
	router *Router
	rate   *prometheus.Desc
	step   *prometheus.Desc
	pace   *prometheus.Desc
	knee   *prometheus.Desc
}

func (r *Router) newCapacityCollector() *capacityCollector {
	labels := []string{"pool", "server"}
	return &capacityCollector{
		router: r,
		rate:   prometheus.NewDesc("amr_server_prefill_tokens_per_second", "Estimated prompt tokens that a server reads per second at its usual pace.", labels, nil),
		step:   prometheus.NewDesc("amr_server_step_seconds", "Estimated time that a server takes for each generated token at its usual pace.", labels, nil),
		pace:   prometheus.NewDesc("amr_server_pace", "Smoothed time that work takes at a server, relative to the usual time.", labels, nil),
		knee:   prometheus.NewDesc("amr_server_knee_requests", "Number of requests from which steps of a server slow down more than in proportion; 0 if none is known.", labels, nil),
	}
}

// Describe sends the descriptors of the gauges.
func (c *capacityCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.rate, c.step, c.pace, c.knee} {
		out <- desc
	}
}

// Collect sends the current values of the gauges.
func (c *capacityCollector) Collect(out chan<- prometheus.Metric) {
	for _, s := range c.router.fleet.Capacities(c.router.clock.Now()) {
		if !s.Observed {
			continue
		}
		out <- prometheus.MustNewConstMetric(c.rate, prometheus.GaugeValue, s.PrefillRate, s.Pool, s.Name)
		out <- prometheus.MustNewConstMetric(c.step, prometheus.GaugeValue, s.StepTime.Seconds(), s.Pool, s.Name)
		out <- prometheus.MustNewConstMetric(c.pace, prometheus.GaugeValue, s.Pace, s.Pool, s.Name)
		out <- prometheus.MustNewConstMetric(c.knee, prometheus.GaugeValue, float64(s.Knee), s.Pool, s.Name)
	}
}
