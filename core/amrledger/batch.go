package amrledger

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrplatform"
)

const (
	// MaxBatchSize is the largest number of rows written in one transaction.
	MaxBatchSize = 64

	// WriteTimeout limits the duration of one write to the platform.
	WriteTimeout = 3 * time.Second
)

// write is a conditional write of one row that waits for a transaction.
type write struct {
	put      amrplatform.Put
	version  uint64
	separate bool // Commit it in a transaction of its own because a check of its batch failed.
	result   Event
	done     chan struct{} // Closed once result is set.
}

// batcher combines row writes into transactions. The writes that arrive while a
// transaction is in progress are committed together in the next one. There is
// no background goroutine: one of the waiting callers commits each transaction.
type batcher struct {
	table      amrplatform.Table
	committing chan struct{} // Semaphore of size 1, held during a transaction.

	mu    sync.Mutex
	queue []*write
}

func newBatcher(table amrplatform.Table) *batcher {
	return &batcher{table: table, committing: make(chan struct{}, 1)}
}

// write writes the row if its key is at the given version. It returns Written
// or WriteFailed.
func (b *batcher) write(ctx context.Context, put amrplatform.Put, version uint64) Event {
	w := &write{put: put, version: version, done: make(chan struct{})}
	b.mu.Lock()
	b.queue = append(b.queue, w)
	b.mu.Unlock()
	for {
		select {
		case <-w.done:
			return w.result
		case b.committing <- struct{}{}:
			b.commit(ctx)
			<-b.committing
		}
	}
}

// commit commits the next batch of queued writes in one transaction.
func (b *batcher) commit(ctx context.Context) {
	writes := b.nextBatch()
	if len(writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), WriteTimeout)
	defer cancel()
	var txn amrplatform.Txn
	for _, w := range writes {
		txn.Checks = append(txn.Checks, amrplatform.Check{Key: w.put.Key, Version: w.version})
		txn.Puts = append(txn.Puts, w.put)
	}
	b.finish(writes, b.table.Commit(ctx, txn))
}

// nextBatch removes the writes of the next transaction from the queue and
// returns them. Their keys are distinct, and a write marked as separate is
// returned alone.
func (b *batcher) nextBatch() []*write {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*write
	keys := make(map[string]bool)
	for _, w := range b.queue {
		full := len(batch) == MaxBatchSize || len(batch) > 0 && (batch[0].separate || w.separate)
		if full || keys[w.put.Key] {
			rest = append(rest, w)
			continue
		}
		keys[w.put.Key] = true
		batch = append(batch, w)
	}
	b.queue = rest
	return batch
}

// finish sets the result of each write of a transaction. If a check failed and
// there were several writes, it requeues them to be committed one by one
// instead, because the kind of the error does not tell which check failed.
func (b *batcher) finish(writes []*write, err error) {
	if errorx.IsOfType(err, amrplatform.Conflict) && len(writes) > 1 {
		for _, w := range writes {
			w.separate = true
		}
		b.mu.Lock()
		b.queue = append(writes, b.queue...)
		b.mu.Unlock()
		return
	}
	result := writeResult(err)
	for _, w := range writes {
		w.result = result
		close(w.done)
	}
}

// writeResult returns the event for the result of a transaction.
func writeResult(err error) Event {
	switch {
	case err == nil:
		return Written{}
	case errorx.IsOfType(err, amrplatform.Conflict):
		return WriteFailed{Failure: WriteConflict}
	case errorx.IsOfType(err, amrplatform.Unavailable):
		return WriteFailed{Failure: WriteRefused}
	}
	return WriteFailed{Failure: WriteUnknown}
}
