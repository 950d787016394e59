package amrlog_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrlog"
)

// stalled is a reader of the log that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestStalledReader checks that a reader of standard output that takes nothing
// holds nothing up, that what waits for it is bounded, and that lines come
// whole.
func TestStalledReader(t *testing.T) {
	is := is.New(t)
	out := &stalled{release: make(chan struct{})}
	w := amrlog.NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	line := strings.Repeat("x", 999) + "\n"
	const lines = 2000
	for range lines {
		n, err := w.Write([]byte(line)) // Would block for good if it waited for the reader.
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(w.Dropped() > 0)
	close(out.release)
	cancel()
	is.NoErr(group.Wait())
	is.Equal(out.got.Len(), (lines-w.Dropped())*len(line))
	is.Equal(strings.Count(out.got.String(), line), lines-w.Dropped())
}

type broken struct{}

var errBroken = errors.New("broken")

func (broken) Write([]byte) (int, error) { return 0, errBroken }

func TestBrokenReader(t *testing.T) {
	is := is.New(t)
	w := amrlog.NewWriter(broken{})
	_, err := w.Write([]byte("line\n"))
	is.NoErr(err)
	is.True(errors.Is(w.Run(t.Context()), errBroken))
}

// TestHandlerBounds checks that each message has its own budget and that
// dropped lines are told of.
func TestHandlerBounds(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	h := amrlog.NewHandler(slog.NewTextHandler(&out, nil))
	start := time.Unix(1000, 0)
	handle := func(at time.Time, message string) {
		is.NoErr(h.Handle(t.Context(), slog.NewRecord(at, slog.LevelInfo, message, 0)))
	}
	for range 1000 {
		handle(start, "often")
	}
	handle(start, "rare")
	is.Equal(h.Dropped(), 800)
	is.Equal(strings.Count(out.String(), "msg=often"), 200)
	is.Equal(strings.Count(out.String(), "msg=rare"), 1)
	handle(start.Add(10*time.Second), "rare")
	is.True(strings.Contains(out.String(), `msg="log lines dropped" lines=799`)) // The first was told at once.
	is.True(h.WithAttrs([]slog.Attr{slog.Int("a", 1)}).Enabled(t.Context(), slog.LevelInfo))
}
