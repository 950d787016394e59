package amrgossip

import "github.com/prometheus/client_golang/prometheus"

// messageKind is the kind of a message in metrics.
type messageKind string

const (
	kindFacts     messageKind = "facts"
	kindPlacement messageKind = "placement"
	kindQuota     messageKind = "quota"
)

// metrics counts the messages that a router sends.
type metrics struct {
	sent    *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	dropped *prometheus.CounterVec
}

// newMetrics returns metrics and registers them unless the registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	kind := []string{"kind"}
	m := &metrics{
		sent:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_notices_sent_total", Help: "Messages sent to other routers, by kind."}, kind),
		bytes:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_notices_sent_bytes_total", Help: "Bytes sent to other routers, with the headers of datagrams, by kind."}, kind),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_notices_dropped_total", Help: "Messages to other routers that were not sent, because the budget of bytes was used up or the router was not known, by kind."}, kind),
	}
	for _, k := range []messageKind{kindFacts, kindPlacement, kindQuota} { // So that they are served before the first message.
		for _, counter := range []*prometheus.CounterVec{m.sent, m.bytes, m.dropped} {
			counter.WithLabelValues(string(k))
		}
	}
	if registerer != nil {
		registerer.MustRegister(m.sent, m.bytes, m.dropped)
	}
	return m
}
