package amrsidecar

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus metrics of the sidecar.
type metrics struct {
	attempts *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "amr_sidecar_attempts_total",
			Help: "Attempts by outcome and reason.",
		}, []string{"outcome", "reason"}),
	}
	registry.MustRegister(m.attempts)
	return m
}
