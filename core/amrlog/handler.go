package amrlog

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and burstLines limit the rate of records with the same
	// message, so that one frequent message cannot fill the log.
	linesPerSecond = 100
	burstLines     = 200

	// reportInterval is the minimum time between two reports of the number of
	// dropped records.
	reportInterval = 5 * time.Second
)

// Handler is a slog.Handler that forwards records to another handler, up to a
// maximum rate for each message, and drops those beyond it. When it handles a
// record, it also logs the number of dropped records, at most once every 5 s.
// Create it with NewHandler.
type Handler struct {
	next   slog.Handler
	limits *messageLimits
}

// messageLimits holds the rate limiter of each message. A handler shares it with
// the handlers that its WithAttrs and WithGroup return.
type messageLimits struct {
	mu         sync.Mutex
	limiters   map[string]*rate.Limiter // By message.
	unreported int                      // Records dropped since lastReport.
	total      int                      // Records dropped since the start.
	lastReport time.Time
}

// NewHandler returns a handler that forwards records to next.
func NewHandler(next slog.Handler) *Handler {
	return &Handler{next: next, limits: &messageLimits{limiters: make(map[string]*rate.Limiter)}}
}

// Dropped returns the number of records dropped so far.
func (h *Handler) Dropped() int {
	h.limits.mu.Lock()
	defer h.limits.mu.Unlock()
	return h.limits.total
}

// Enabled reports whether the underlying handler handles records of the level.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle forwards the record unless the rate limit of its message is exceeded.
// When a report of dropped records is due, Handle logs the report first.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	allowed, unreported := h.limits.allow(r)
	if unreported > 0 {
		report := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		report.AddAttrs(slog.Int("lines", unreported))
		if err := h.next.Handle(ctx, report); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// allow reports whether the rate limit of the record's message allows the
// record. When a report of dropped records is due, unreported is the number
// of records dropped since the last report; otherwise it is 0.
func (m *messageLimits) allow(r slog.Record) (allowed bool, unreported int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limiter := m.limiters[r.Message]
	if limiter == nil {
		limiter = rate.NewLimiter(linesPerSecond, burstLines)
		m.limiters[r.Message] = limiter
	}
	allowed = limiter.AllowN(r.Time, 1)
	if !allowed {
		m.unreported++
		m.total++
	}
	if m.unreported > 0 && r.Time.Sub(m.lastReport) >= reportInterval {
		unreported, m.unreported, m.lastReport = m.unreported, 0, r.Time
	}
	return allowed, unreported
}

// WithAttrs returns a handler that adds the attributes to each record and shares
// the rate limits of h.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), limits: h.limits}
}

// WithGroup returns a handler that opens the group and shares the rate limits of
// h.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), limits: h.limits}
}
