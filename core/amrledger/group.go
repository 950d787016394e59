package amrledger

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrplatform"
)

const (
	// MaxGroup is the largest number of rows written in one transaction.
	MaxGroup = 64

	// WriteTimeout bounds one transaction.
	WriteTimeout = 3 * time.Second
)

// write is one conditional write of a row that waits for its group.
type write struct {
	put     amrplatform.Put
	version uint64
	alone   bool // A group with it failed a check: it goes alone.
	result  Event
	done    chan struct{}
}

// group gathers the writes that come while a transaction is under way into the
// next transaction. One of the waiting callers carries out each transaction.
type group struct {
	table  amrplatform.Table
	leader chan struct{} // Holds one value while a transaction is under way.

	mu    sync.Mutex
	queue []*write
}

func newGroup(table amrplatform.Table) *group {
	return &group{table: table, leader: make(chan struct{}, 1)}
}

// write writes the value if the key stands at the version, and returns Written
// or WriteFailed.
func (g *group) write(ctx context.Context, put amrplatform.Put, version uint64) Event {
	w := &write{put: put, version: version, done: make(chan struct{})}
	g.mu.Lock()
	g.queue = append(g.queue, w)
	g.mu.Unlock()
	for {
		select {
		case <-w.done:
			return w.result
		case g.leader <- struct{}{}:
			g.commit(ctx)
			<-g.leader
		}
	}
}

// commit carries out one transaction with the writes that wait.
func (g *group) commit(ctx context.Context) {
	writes := g.take()
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
	g.settle(writes, g.table.Commit(ctx, txn))
}

// take removes the writes of the next transaction from the queue: distinct
// keys only, and a write that goes alone by itself.
func (g *group) take() []*write {
	g.mu.Lock()
	defer g.mu.Unlock()
	var taken, left []*write
	keys := make(map[string]bool)
	for _, w := range g.queue {
		full := len(taken) == MaxGroup || len(taken) > 0 && (taken[0].alone || w.alone)
		if full || keys[w.put.Key] {
			left = append(left, w)
			continue
		}
		keys[w.put.Key] = true
		taken = append(taken, w)
	}
	g.queue = left
	return taken
}

// settle tells each write its result. The writes of a group that failed a
// check are tried again one by one.
func (g *group) settle(writes []*write, err error) {
	if errorx.IsOfType(err, amrplatform.Conflict) && len(writes) > 1 {
		for _, w := range writes {
			w.alone = true
		}
		g.mu.Lock()
		g.queue = append(writes, g.queue...)
		g.mu.Unlock()
		return
	}
	result := writeResult(err)
	for _, w := range writes {
		w.result = result
		close(w.done)
	}
}

// writeResult returns the event that tells the result of a transaction.
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
