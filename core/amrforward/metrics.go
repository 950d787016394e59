package amrforward

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the Prometheus metrics of forwarded requests.
type Metrics struct {
	requests  *prometheus.CounterVec
	sends     *prometheus.CounterVec
	wait      *prometheus.HistogramVec
	firstByte *prometheus.HistogramVec
	duration  *prometheus.HistogramVec

	endsWithConnection *prometheus.CounterVec
	quarantines        *prometheus.CounterVec
	shortages          *prometheus.CounterVec
	startOutdated      prometheus.Histogram
	commonFailures     prometheus.Counter
}

// Changes of quarantines, as a label of their metric.
const (
	quarantineDecided  = "decided"
	quarantineLifted   = "lifted"
	quarantineReceived = "received"
)

// NewMetrics returns metrics and registers them with the registerer unless that
// is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Metrics{
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_requests_total", Help: "Requests by route, status and reason of refusal."}, []string{"route", "status", "reason"}),
		sends:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_sends_total", Help: "Sends to backend servers by pool and result."}, []string{"pool", "result"}),
		wait:      prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "amr_wait_seconds", Help: "Time from a request to its first send.", Buckets: buckets}, []string{"pool"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "amr_first_byte_seconds", Help: "Time from a request to the first byte of its answer.", Buckets: buckets}, []string{"route"}),
		duration:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "amr_request_seconds", Help: "Time from a request to the end of its answer.", Buckets: buckets}, []string{"route"}),

		endsWithConnection: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_answers_ended_by_connection_total", Help: "Answers with neither a length nor chunks, by pool and result of the send."}, []string{"pool", "result"}),
		quarantines:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_part_quarantines_total", Help: "Quarantines of parts of prompts that this router has decided, lifted or received."}, []string{"change"}),
		shortages:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "amr_admission_refusals_total", Help: "Requests for which admission by urgency found no server, by pool, priority and what the servers were short of."}, []string{"pool", "priority", "short_of"}),
		commonFailures:     prometheus.NewCounter(prometheus.CounterOpts{Name: "amr_common_failures_total", Help: "Runs that broke off in a common failure of the servers of their pool, and gave no strike."}),
		startOutdated:      prometheus.NewHistogram(prometheus.HistogramOpts{Name: "amr_start_outdated_seconds", Help: "Age of newer weights when streams began at servers with older ones.", Buckets: prometheus.LinearBuckets(1, 1, 12)}),
	}
	for _, change := range []string{quarantineDecided, quarantineLifted, quarantineReceived} {
		m.quarantines.WithLabelValues(change) // Served from the start.
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.sends, m.wait, m.firstByte, m.duration, m.endsWithConnection, m.quarantines, m.shortages, m.startOutdated, m.commonFailures)
	}
	return m
}

// report updates the metrics and logs the outcome of the request.
func (x *exchange) report(ctx context.Context) {
	now := x.f.clock.Now()
	route, reason := "", ""
	if x.route != nil {
		route = x.route.Name
	}
	if x.refused != nil {
		reason = string(x.refused.code)
	}
	m := x.f.metrics
	m.requests.WithLabelValues(route, strconv.Itoa(x.status), reason).Inc()
	if len(x.sends) > 0 {
		m.wait.WithLabelValues(x.pool).Observe(x.sends[0].at.Sub(x.request.Arrived).Seconds())
	}
	for _, s := range x.sends {
		m.sends.WithLabelValues(x.pool, s.result.String()).Inc()
		if s.endsWithConnection {
			m.endsWithConnection.WithLabelValues(x.pool, s.result.String()).Inc()
		}
	}
	if !x.firstByte.IsZero() {
		m.firstByte.WithLabelValues(route).Observe(x.firstByte.Sub(x.request.Arrived).Seconds())
	}
	m.duration.WithLabelValues(route).Observe(now.Sub(x.request.Arrived).Seconds())
	if x.f.log.Enabled(ctx, slog.LevelInfo) {
		x.f.log.LogAttrs(ctx, slog.LevelInfo, "request", x.attrs(now, route, reason)...)
	}
}

// attrs returns the attributes of the log line of the request.
func (x *exchange) attrs(now time.Time, route, reason string) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("id", x.request.ID),
		slog.String("route", route),
		slog.String("pool", x.pool),
		slog.Int("status", x.status),
		slog.Duration("took", now.Sub(x.request.Arrived).Round(time.Millisecond)),
	}
	if x.table != nil {
		attrs = append(attrs, slog.Int64("records", x.table.Version()))
	}
	if x.team != nil {
		attrs = append(attrs, slog.String("team", x.team.Name))
	}
	if !x.firstByte.IsZero() {
		attrs = append(attrs, slog.Duration("first-byte", x.firstByte.Sub(x.request.Arrived).Round(time.Millisecond)))
	}
	if x.request.LastEventID != "" {
		attrs = append(attrs, slog.String("resumes", x.request.Resumes), slog.String("after-event", x.request.LastEventID))
	}
	if len(x.sends) > 0 {
		attrs = append(attrs, slog.String("sends", x.formatSends()))
	}
	if x.writeErr != nil {
		attrs = append(attrs, slog.String("not-delivered", x.writeErr.Error()))
	}
	if x.refused != nil {
		attrs = append(attrs, slog.String("reason", reason), slog.String("ran", string(x.refused.ran)), slog.String("detail", x.refused.detail))
	}
	return attrs
}

// sendSeparator separates the sends of a request in its log line.
const sendSeparator = " | "

// formatSends describes each send of the request: the server, the inputs of its
// choice, the result and the duration.
func (x *exchange) formatSends() string {
	var b strings.Builder
	for i, s := range x.sends {
		if i > 0 {
			b.WriteString(sendSeparator)
		}
		c, end := s.choice, ""
		if c.WithinLimit {
			end = " within-limit"
		}
		if s.endsWithConnection {
			end += " end=connection"
		}
		if c.Software != "" {
			end = " software=" + c.Software + end
		}
		b.WriteString(c.Name + " weights=" + strconv.Itoa(c.WeightsVersion) +
			" cached=" + strconv.Itoa(c.CachedTokens) + " missing=" + strconv.Itoa(c.PrefillTokens) +
			" cost=" + c.Cost.Round(time.Millisecond).String() +
			s.weightsText() + end + " " + s.result.String() + " after " + s.took.Round(time.Millisecond).String())
		if s.detail != "" {
			b.WriteString(" (" + s.detail + ")")
		}
	}
	return b.String()
}

// weightsText tells how old the weights of the server were when the request was sent and when
// it began, if newer ones had been declared.
func (s sendRecord) weightsText() string {
	if s.start.sentOutdated == 0 && s.start.outdated == 0 {
		return ""
	}
	text := " outdated=" + s.start.sentOutdated.Round(time.Millisecond).String()
	if s.start.after > 0 {
		text += " begun-after=" + s.start.after.Round(time.Millisecond).String() + " begun-outdated=" + s.start.outdated.Round(time.Millisecond).String()
	}
	return text
}
