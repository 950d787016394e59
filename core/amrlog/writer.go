// Package amrlog writes structured logs that stay bounded and never hold up the
// work that they tell of.
package amrlog

import (
	"context"
	"io"
	"sync"
)

// queueBytes bounds the lines that wait for a slow reader of the log.
const queueBytes = 256 << 10

// Writer is a writer whose Write never blocks: it queues lines for Run to
// write, and drops them while the queue is full. Create it with NewWriter.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	queue   []byte
	dropped int
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write queues a line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.queue)+len(line) > queueBytes {
		w.dropped++
	} else {
		w.queue = append(w.queue, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // Run is to look at the queue already.
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes the queued lines until ctx is done, and then the rest.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return w.flush()
		case <-w.wake:
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
}

func (w *Writer) flush() error {
	w.mu.Lock()
	lines := w.queue
	w.queue = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := w.out.Write(lines)
	return err
}
