package amrledger

import (
	"context"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrtick"
)

const (
	// ReadTimeout bounds one read of the platform.
	ReadTimeout = 2 * time.Second

	// EpochLength is the least time between two epochs of the sweep, by the
	// clock of the router that ends an epoch.
	EpochLength = 6 * time.Hour

	// KeptEpochs is the number of whole epochs for which a claim is kept: the
	// least time that an idempotency key holds is KeptEpochs * EpochLength.
	KeptEpochs = 4

	// MaintainInterval is the time between two rounds of maintenance.
	MaintainInterval = 5 * time.Second

	// SweepInterval is the time between two pages of the sweep.
	SweepInterval = 5 * time.Minute

	// SweepPage is the number of claims that are looked at in one page.
	SweepPage = 500

	// MaxBacklog bounds the answers that wait to be recorded.
	MaxBacklog = 256

	epochKey = "claim-epoch"
)

// unrecorded is an execution whose answer is not recorded yet.
type unrecorded struct{ execution Execution }

// epochs follows the number of the sweep's epoch. It compares no two clocks: a
// router ends an epoch that it has itself seen for EpochLength.
type epochs struct {
	number  uint64 // 0 until read.
	version uint64
	since   time.Time // When this router first saw the number.
}

// observe takes the number just read and reports whether the epoch is to end.
func (e epochs) observe(now time.Time, number, version uint64) (epochs, bool) {
	if number != e.number || version != e.version || e.since.IsZero() {
		e = epochs{number: number, version: version, since: now}
	}
	return e, number == 0 || now.Sub(e.since) >= EpochLength
}

// Maintain records answers whose writes failed, follows the epoch and sweeps
// old claims until ctx ends.
func (l *Ledger) Maintain(ctx context.Context) error {
	lastSweep := l.clock.Now()
	amrtick.Every(ctx, l.clock, MaintainInterval, func() {
		l.RecordBacklog(ctx)
		l.FollowEpoch(ctx)
		if now := l.clock.Now(); now.Sub(lastSweep) >= SweepInterval {
			lastSweep = now
			l.Sweep(ctx)
		}
	})
	return nil
}

// FollowEpoch reads the epoch and ends it when this router has seen it for
// EpochLength.
func (l *Ledger) FollowEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	item, err := l.table.Get(ctx, epochKey)
	if err != nil && !errorx.IsOfType(err, amrplatform.NotFound) {
		return
	}
	number, _ := strconv.ParseUint(string(item.Value), 10, 64)
	l.mu.Lock()
	var end bool
	l.epochs, end = l.epochs.observe(l.clock.Now(), number, item.Version)
	l.mu.Unlock()
	if end {
		// A lost race or answer shows at the next read.
		_ = l.table.Commit(ctx, amrplatform.Txn{
			Checks: []amrplatform.Check{{Key: epochKey, Version: item.Version}},
			Puts:   []amrplatform.Put{{Key: epochKey, Value: []byte(strconv.FormatUint(number+1, 10))}},
		})
	}
}

// epoch returns the number of the epoch, or 0 when it is not known: the sweep
// then gives the claim the epoch in which it finds it.
func (l *Ledger) epoch(ctx context.Context) uint64 {
	l.mu.Lock()
	number := l.epochs.number
	l.mu.Unlock()
	if number != 0 {
		return number
	}
	l.FollowEpoch(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epochs.number
}

// Sweep looks at the next page of claims, deletes those older than KeptEpochs
// and returns how many.
func (l *Ledger) Sweep(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	l.mu.Lock()
	cursor, current := l.cursor, l.epochs.number
	l.mu.Unlock()
	items, err := l.table.Scan(ctx, rowPrefix, cursor, SweepPage)
	if err != nil || current == 0 {
		return 0
	}
	next := rowPrefix
	if len(items) == SweepPage {
		next = items[len(items)-1].Key
	}
	txn, objects := sweepTxn(items, current)
	if len(txn.Checks) > 0 && l.table.Commit(ctx, txn) != nil {
		return 0 // The same page is looked at again.
	}
	for _, object := range objects {
		_ = l.objects.DeleteObject(ctx, object)
	}
	l.mu.Lock()
	l.cursor = next
	l.mu.Unlock()
	return len(txn.Deletes)
}

// sweepTxn returns the transaction that deletes the old claims among the items
// and dates those without an epoch, and the objects that go with them.
func sweepTxn(items []amrplatform.Item, current uint64) (amrplatform.Txn, []string) {
	var txn amrplatform.Txn
	var objects []string
	for _, item := range items {
		row, err := decodeRow(item.Value)
		if err != nil || row.Epoch != 0 && row.Epoch+KeptEpochs >= current {
			continue
		}
		check := amrplatform.Check{Key: item.Key, Version: item.Version}
		if row.Epoch == 0 {
			row.Epoch = current
			data, err := row.encode()
			if err == nil {
				txn.Checks = append(txn.Checks, check)
				txn.Puts = append(txn.Puts, amrplatform.Put{Key: item.Key, Value: data})
			}
			continue
		}
		txn.Checks = append(txn.Checks, check)
		txn.Deletes = append(txn.Deletes, item.Key)
		if row.Object != "" {
			objects = append(objects, row.Object)
		}
	}
	return txn, objects
}

// remember keeps an answer that could not be recorded, to try again. The
// oldest one gives way when there are too many.
func (l *Ledger) remember(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.backlog) == MaxBacklog {
		l.backlog = l.backlog[1:]
		l.dropped++
	}
	e.tries = 0
	e.request.Deadline = l.clock.Now()
	l.backlog = append(l.backlog, unrecorded{execution: e})
}

// Backlog returns the number of answers that wait to be recorded, and of those
// given up because there were too many.
func (l *Ledger) Backlog() (waiting, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.backlog), l.dropped
}

// RecordBacklog tries once to record each answer that waits.
func (l *Ledger) RecordBacklog(ctx context.Context) {
	l.mu.Lock()
	waiting := l.backlog
	l.backlog = nil
	l.mu.Unlock()
	for _, u := range waiting {
		l.recordAgain(ctx, u.execution)
	}
}

// recordAgain takes the execution from reading the row to its end. Its deadline
// has passed, so that a failed call ends it.
func (l *Ledger) recordAgain(ctx context.Context, e Execution) {
	var action Action = ReadRow{}
	for {
		switch end := action.(type) {
		case Answered:
			if !end.Recorded {
				l.remember(e)
			}
			return
		case Refused:
			return
		}
		e, action = e.Step(l.clock.Now(), l.do(ctx, e.request, action, nil))
	}
}
