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

// blockingWriter is a log destination whose Write blocks until release is
// closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// TestStalledReader checks that a destination that accepts no data does not
// block Write, that the queue stays bounded, and that lines are written whole
// once the destination accepts data again.
func TestStalledReader(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{release: make(chan struct{})}
	w := amrlog.NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	line := strings.Repeat("x", 999) + "\n"
	const lines = 2000
	for range lines {
		n, err := w.Write([]byte(line)) // Would block forever if it waited for the destination.
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(w.Dropped() > 0)
	close(out.release)
	cancel()
	is.NoErr(group.Wait())
	is.Equal(out.written.Len(), (lines-w.Dropped())*len(line))
	is.Equal(strings.Count(out.written.String(), line), lines-w.Dropped())
}

var errWrite = errors.New("write failed")

// failingWriter is a log destination whose Write fails.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errWrite }

// TestWriteError checks that Run returns the error of the destination, while
// Write succeeds.
func TestWriteError(t *testing.T) {
	is := is.New(t)
	w := amrlog.NewWriter(failingWriter{})
	_, err := w.Write([]byte("line\n"))
	is.NoErr(err)
	is.True(errors.Is(w.Run(t.Context()), errWrite))
}

// TestHandlerRateLimits checks that each message has its own rate limit and that
// the number of dropped records is logged.
func TestHandlerRateLimits(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	h := amrlog.NewHandler(slog.NewTextHandler(&out, nil))
	start := time.Unix(1000, 0)
	handle := func(at time.Time, message string) {
		is.NoErr(h.Handle(t.Context(), slog.NewRecord(at, slog.LevelInfo, message, 0)))
	}
	for range 1000 {
		handle(start, "frequent")
	}
	handle(start, "rare")
	is.Equal(h.Dropped(), 800)
	is.Equal(strings.Count(out.String(), "msg=frequent"), 200)
	is.Equal(strings.Count(out.String(), "msg=rare"), 1)
	handle(start.Add(10*time.Second), "rare")
	is.True(strings.Contains(out.String(), `msg="log lines dropped" lines=799`)) // The first dropped record was reported immediately.
	is.True(h.WithAttrs([]slog.Attr{slog.Int("a", 1)}).Enabled(t.Context(), slog.LevelInfo))
}
