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
	// ReadTimeout limits the duration of one read from the platform.
	ReadTimeout = 2 * time.Second

	// EpochLength is the minimum length of an epoch, the unit in which the sweep
	// measures the age of claims. It is measured by the clock of the router that
	// starts the next epoch.
	EpochLength = 6 * time.Hour

	// RetentionEpochs is the number of complete epochs for which a claim is
	// kept. An idempotency key is therefore remembered for at least
	// RetentionEpochs * EpochLength.
	RetentionEpochs = 4

	// MaintenanceInterval is the time between two rounds of maintenance.
	MaintenanceInterval = 5 * time.Second

	// SweepInterval is the time between two pages of the sweep.
	SweepInterval = 5 * time.Minute

	// SweepPageSize is the largest number of claims in one page of the sweep.
	SweepPageSize = 500

	// MaxBacklog is the largest number of answers that wait to be recorded.
	MaxBacklog = 256

	epochKey = "claim-epoch" // Table key of the current epoch number.
)

// unrecordedAnswer is an execution whose answer could not be recorded.
type unrecordedAnswer struct{ execution Execution }

// epoch is the current epoch of the sweep as last read from the table. The clocks
// of two routers are never compared: a router starts the next epoch only after
// it has itself seen the current one for EpochLength.
type epoch struct {
	number  uint64 // 0 until it has been read.
	version uint64
	since   time.Time // When this router first saw the number.
}

// observe returns the epoch after its number and version were read from the
// table, and whether the next epoch is due.
func (e epoch) observe(now time.Time, number, version uint64) (epoch, bool) {
	if number != e.number || version != e.version || e.since.IsZero() {
		e = epoch{number: number, version: version, since: now}
	}
	return e, number == 0 || now.Sub(e.since) >= EpochLength
}

// Maintain records answers whose writes failed, advances the epoch and deletes
// old claims, periodically until ctx is done. It returns nil.
func (l *Ledger) Maintain(ctx context.Context) error {
	lastSweep := l.clock.Now()
	amrtick.Every(ctx, l.clock, MaintenanceInterval, func() {
		l.RecordBacklog(ctx)
		l.UpdateEpoch(ctx)
		if now := l.clock.Now(); now.Sub(lastSweep) >= SweepInterval {
			lastSweep = now
			l.Sweep(ctx)
		}
	})
	return nil
}

// UpdateEpoch reads the current epoch from the table. It starts the first epoch
// if there is none, and the next one if this router has seen the current one for
// EpochLength.
func (l *Ledger) UpdateEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	item, err := l.table.Get(ctx, epochKey)
	if err != nil && !errorx.IsOfType(err, amrplatform.NotFound) {
		return
	}
	number, _ := strconv.ParseUint(string(item.Value), 10, 64)
	l.mu.Lock()
	var due bool
	l.epoch, due = l.epoch.observe(l.clock.Now(), number, item.Version)
	l.mu.Unlock()
	if due {
		// The error is ignored because the next read returns the epoch in any
		// case, also if another router was faster or the answer was lost.
		_ = l.table.Commit(ctx, amrplatform.Txn{
			Checks: []amrplatform.Check{{Key: epochKey, Version: item.Version}},
			Puts:   []amrplatform.Put{{Key: epochKey, Value: []byte(strconv.FormatUint(number+1, 10))}},
		})
	}
}

// currentEpoch returns the number of the current epoch, or 0 if it is not known.
// The sweep sets the epoch of a claim made with 0 to the one in which it first
// finds the claim.
func (l *Ledger) currentEpoch(ctx context.Context) uint64 {
	l.mu.Lock()
	number := l.epoch.number
	l.mu.Unlock()
	if number != 0 {
		return number
	}
	l.UpdateEpoch(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch.number
}

// Sweep scans the next page of claims, deletes those older than RetentionEpochs
// and returns the number of deleted claims.
func (l *Ledger) Sweep(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	l.mu.Lock()
	cursor, current := l.cursor, l.epoch.number
	l.mu.Unlock()
	items, err := l.table.Scan(ctx, rowPrefix, cursor, SweepPageSize)
	if err != nil || current == 0 {
		return 0
	}
	next := rowPrefix
	if len(items) == SweepPageSize {
		next = items[len(items)-1].Key
	}
	txn, objects := sweepTxn(items, current)
	if len(txn.Checks) > 0 && l.table.Commit(ctx, txn) != nil {
		return 0 // The cursor stays, so that the next call scans the same page.
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
// and sets the epoch of those that have none, and the keys of the objects that
// hold the answers of the deleted claims.
func sweepTxn(items []amrplatform.Item, current uint64) (amrplatform.Txn, []string) {
	var txn amrplatform.Txn
	var objects []string
	for _, item := range items {
		row, err := decodeRow(item.Value)
		if err != nil || row.Epoch != 0 && row.Epoch+RetentionEpochs >= current {
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

// addToBacklog keeps an execution whose answer could not be recorded, to retry
// the recording later. If the backlog is full, the oldest execution is dropped.
func (l *Ledger) addToBacklog(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.backlog) == MaxBacklog {
		l.backlog = l.backlog[1:]
		l.dropped++
	}
	e.failures = 0
	e.request.Deadline = l.clock.Now()
	l.backlog = append(l.backlog, unrecordedAnswer{execution: e})
}

// Backlog returns the number of answers that wait to be recorded, and the number
// of those that were dropped because the backlog was full.
func (l *Ledger) Backlog() (waiting, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.backlog), l.dropped
}

// RecordBacklog tries once to record each answer in the backlog. Answers that
// cannot be recorded stay in the backlog.
func (l *Ledger) RecordBacklog(ctx context.Context) {
	l.mu.Lock()
	waiting := l.backlog
	l.backlog = nil
	l.mu.Unlock()
	for _, u := range waiting {
		l.retryRecording(ctx, u.execution)
	}
}

// retryRecording runs the execution from reading the row to its end. The
// execution's deadline has passed, so the first failed call ends it.
func (l *Ledger) retryRecording(ctx context.Context, e Execution) {
	var action Action = ReadRow{}
	for {
		switch end := action.(type) {
		case Answered:
			if !end.Recorded {
				l.addToBacklog(e)
			}
			return
		case Refused:
			return
		}
		e, action = e.Step(l.clock.Now(), l.perform(ctx, e.request, action, nil))
	}
}
