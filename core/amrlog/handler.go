package amrlog

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and burstLines bound the lines of one message.
	linesPerSecond = 100
	burstLines     = 200

	// reportEvery is the least time between two lines that tell of dropped
	// ones.
	reportEvery = 5 * time.Second
)

// Handler is a slog.Handler that passes on a bounded number of lines of each
// message a second. Create it with NewHandler.
type Handler struct {
	next   slog.Handler
	shared *budgets
}

// budgets are shared by a handler and those made of it.
type budgets struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter // By message.
	dropped  int
	total    int
	reported time.Time
}

// NewHandler returns a handler that passes lines on to next.
func NewHandler(next slog.Handler) *Handler {
	return &Handler{next: next, shared: &budgets{limiters: make(map[string]*rate.Limiter)}}
}

// Dropped returns the number of lines dropped so far.
func (h *Handler) Dropped() int {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	return h.shared.total
}

// Enabled reports whether lines of the level are passed on.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle passes the record on where the budget of its message allows.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	allowed, dropped := h.shared.take(r)
	if dropped > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		note.AddAttrs(slog.Int("lines", dropped))
		if err := h.next.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// take uses the budget of the record's message. It also returns the dropped
// lines to be told of now.
func (b *budgets) take(r slog.Record) (allowed bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limiter := b.limiters[r.Message]
	if limiter == nil {
		limiter = rate.NewLimiter(linesPerSecond, burstLines)
		b.limiters[r.Message] = limiter
	}
	allowed = limiter.AllowN(r.Time, 1)
	if !allowed {
		b.dropped++
		b.total++
	}
	if b.dropped > 0 && r.Time.Sub(b.reported) >= reportEvery {
		dropped, b.dropped, b.reported = b.dropped, 0, r.Time
	}
	return allowed, dropped
}

// WithAttrs returns a handler whose lines have the attributes.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), shared: h.shared}
}

// WithGroup returns a handler whose lines have the group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), shared: h.shared}
}
