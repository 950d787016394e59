package amrrouter

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics that are updated as requests are processed.
type metrics struct {
	failedAttempts   *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	timeToFirstToken *prometheus.HistogramVec
	droppedChunks    prometheus.Counter
}

// newMetrics returns metrics that are registered with the registry.
func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amr_router_attempts_failed_total",
			Help: "Attempts that gave no whole answer, by reason.",
		}, []string{"reason"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amr_router_refusals_total",
			Help: "Refused requests by reason and whether they ran.",
		}, []string{"reason", "ran"}),
		timeToFirstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "amr_router_time_to_first_token_seconds",
			Help:    "Time to first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 18),
		}, []string{"deployment"}),
		droppedChunks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amr_router_chunks_dropped_total",
			Help: "Late or crossed chunks that were dropped.",
		}),
	}
	registry.MustRegister(m.failedAttempts, m.refusals, m.timeToFirstToken, m.droppedChunks)
	return m
}
