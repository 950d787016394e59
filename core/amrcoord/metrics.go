package amrcoord

import "github.com/prometheus/client_golang/prometheus"

// How a placement came about, in metrics.
const (
	placedOwn      = "own"      // By this router, which is the coordinator or works alone.
	placedAsked    = "asked"    // By another router.
	placedDenied   = "denied"   // Not at all.
	placedUnknown  = "unknown"  // By the router itself, as the coordinator knows no server.
	placedDeclined = "declined" // By another router, at a server that this router knows must not get the request.
	placedNoReply  = "no-reply" // By this router with what it knows.
)

// metrics counts placements.
type metrics struct {
	placements *prometheus.CounterVec
	spilled    prometheus.Counter
	leftZone   prometheus.Counter
	spread     prometheus.Counter
	replyTime  prometheus.Histogram
}

// newMetrics returns metrics and registers them unless the registerer is nil. The
// function placed returns the number of requests in flight that this router placed
// for others.
func newMetrics(registerer prometheus.Registerer, placed func() int) *metrics {
	m := &metrics{
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_placements_total", Help: "Placements of this router's requests, by how they came about: own (by this router as the coordinator), asked (by another router), denied, declined (this router knew that the selected server must not get the request) or no-reply (by this router with what it knows)."}, []string{"how"}),
		spilled:    prometheus.NewCounter(prometheus.CounterOpts{Name: "amr_placements_spilled_total", Help: "Requests for which the second group was asked because the first was busy."}),
		leftZone:   prometheus.NewCounter(prometheus.CounterOpts{Name: "amr_placements_left_zone_total", Help: "Requests for which a server in another availability zone was selected."}),
		spread:     prometheus.NewCounter(prometheus.CounterOpts{Name: "amr_placements_spread_total", Help: "Requests whose prefix is hot, so that they go to several placement groups in turn."}),
		replyTime:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "amr_placement_reply_seconds", Help: "Time from a query to its reply.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 8)}),
	}
	for _, how := range []string{placedOwn, placedAsked, placedDenied, placedUnknown, placedDeclined, placedNoReply} { // So that they are served before the first placement.
		m.placements.WithLabelValues(how)
	}
	if registerer != nil {
		registerer.MustRegister(m.placements, m.spilled, m.leftZone, m.spread, m.replyTime,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "amr_placed_requests", Help: "Requests in flight that this router placed for others."}, func() float64 { return float64(placed()) }),
		)
	}
	return m
}
