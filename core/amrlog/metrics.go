package amrlog

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers the counters of the records that the handler dropped
// and of the lines that the writer dropped.
func RegisterMetrics(registerer prometheus.Registerer, h *Handler, w *Writer) {
	for reason, dropped := range map[string]func() int{"budget": h.Dropped, "slow-reader": w.Dropped} {
		registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "amr_log_lines_dropped_total",
			Help:        "Log lines dropped because of a message's budget or a slow reader.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}, func() float64 { return float64(dropped()) }))
	}
}
