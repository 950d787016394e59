package amrrouter

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	attempts   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	dropped    prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amr_router_attempts_failed_total",
			Help: "Attempts that gave no whole answer, by reason.",
		}, []string{"reason"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amr_router_refusals_total",
			Help: "Refused requests by reason and whether they ran.",
		}, []string{"reason", "ran"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "amr_router_time_to_first_token_seconds",
			Help:    "Time to first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 18),
		}, []string{"deployment"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amr_router_chunks_dropped_total",
			Help: "Late or crossed chunks that were dropped.",
		}),
	}
	registry.MustRegister(m.attempts, m.refusals, m.firstToken, m.dropped)
	return m
}
