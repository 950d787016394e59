package amrorigin

import "github.com/prometheus/client_golang/prometheus"

// Ways in which the origin of a stream is found beside the certainties, in metrics.
const foundInStore = "stored"

// metrics counts the streams that callers take up and the rows that are written.
type metrics struct {
	found  *prometheus.CounterVec
	writes *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		found:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_stream_origins_total", Help: "Streams that callers have taken up, by how their origin was found."}, []string{"found"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_stream_rows_total", Help: "Rows with the origins of streams, by result of their write."}, []string{"result"}),
	}
}

// WithRegisterer sets the registerer of the metrics. By default they are not registered.
func WithRegisterer(registerer prometheus.Registerer) Option {
	return func(d *Directory) {
		if registerer != nil {
			registerer.MustRegister(d.metrics.found, d.metrics.writes)
		}
	}
}
