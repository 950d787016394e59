// Package amrlog limits the rate and memory of structured logs, writes them
// without blocking the code that logs, and finds the log lines that explain what
// happened to a request.
package amrlog

import (
	"context"
	"io"
	"sync"
)

// queueBytes is the maximum size of the queue of unwritten lines. It limits the
// memory used while a slow reader, such as that of standard output, holds up Run.
const queueBytes = 256 << 10

// Writer is an io.Writer whose Write never blocks on the destination. Write
// queues a line, or drops it if the queue is full; Run writes the queue to the
// destination. Create it with NewWriter.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	queue   []byte
	dropped int
}

// NewWriter returns a writer with the destination out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write queues the line, or drops it and counts it if the queue is full. It
// always returns the length of the line and no error.
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
	default: // A wake-up of Run is pending already.
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes queued lines to the destination until ctx is done. It then writes
// the lines still in the queue and returns. It returns early with the error of
// the destination if a write fails.
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

// flush writes the queued lines to the destination.
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
