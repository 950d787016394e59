package amrdirect

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthreach.example/core/amrbytes"
	"amaranthreach.example/core/amrforward"
)

// Hold returns the holder of a new request with n bytes of a body, or nil if so much is
// held that the request must be refused with RefuseHeld. The function breakOff must end
// the request; it must not block.
func (r *Router) Hold(n int64, breakOff func()) *amrbytes.Holder {
	return r.forward.Hold(n, breakOff)
}

// RefuseHeld answers a request that was not sent to any server, because too many bytes
// are held for others.
func (r *Router) RefuseHeld(ctx context.Context, w http.ResponseWriter, request *amrforward.Request) {
	r.forward.RefuseHeld(ctx, w, request)
}

// heldCollector collects the bytes that are held for callers and what was done to keep
// them within their bound.
type heldCollector struct {
	account  *amrbytes.Account
	bytes    *prometheus.Desc
	bound    *prometheus.Desc
	refusals *prometheus.Desc
	breaks   *prometheus.Desc
}

func newHeldCollector(account *amrbytes.Account) *heldCollector {
	return &heldCollector{
		account:  account,
		bytes:    prometheus.NewDesc("amr_held_bytes", "Bytes held for callers: bodies of requests and parts of answers that are not read yet.", nil, nil),
		bound:    prometheus.NewDesc("amr_held_bytes_bound", "Bound of the bytes held for callers.", nil, nil),
		refusals: prometheus.NewDesc("amr_held_refusals_total", "Requests refused because too many bytes were held.", nil, nil),
		breaks:   prometheus.NewDesc("amr_held_breaks_total", "Requests broken off because they held the most bytes when the bound was reached.", nil, nil),
	}
}

// Describe sends the descriptors of the metrics.
func (c *heldCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.bytes, c.bound, c.refusals, c.breaks} {
		out <- desc
	}
}

// Collect sends the current values of the metrics.
func (c *heldCollector) Collect(out chan<- prometheus.Metric) {
	stats := c.account.Stats()
	out <- prometheus.MustNewConstMetric(c.bytes, prometheus.GaugeValue, float64(stats.Held))
	out <- prometheus.MustNewConstMetric(c.bound, prometheus.GaugeValue, float64(stats.Bound))
	out <- prometheus.MustNewConstMetric(c.refusals, prometheus.CounterValue, float64(stats.Refusals))
	out <- prometheus.MustNewConstMetric(c.breaks, prometheus.CounterValue, float64(stats.Breaks))
}
