package amrdirect

import (
	"context"
	"sync"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrplatform"
)

// tableTime bounds the reading of the shared table's clock from above. A response was
// written after its call was sent, so that the clock has not advanced further since then than
// the local one. It is safe for concurrent use.
type tableTime struct {
	mu     sync.Mutex
	era    uint64
	sentAt time.Time // Time of the call that gave the bound; zero if there is none.
	now    time.Duration
}

// observe records the reading now in the response to a call that was sent at the time. A later
// era may have another clock.
func (t *tableTime) observe(era uint64, sentAt time.Time, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era || era == t.era && !t.sentAt.IsZero() && now >= t.now+sentAt.Sub(t.sentAt) {
		return
	}
	t.era, t.sentAt, t.now = era, sentAt, now
}

// latest returns the latest possible reading at the local time, and false if no response has
// been observed.
func (t *tableTime) latest(at time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now + at.Sub(t.sentAt), !t.sentAt.IsZero()
}

// timedRows observes the clock of the shared table in the responses to writes.
type timedRows struct {
	SharedRows
	boot amrforward.BootClock
	time *tableTime
}

// Write applies the transaction.
func (r timedRows) Write(ctx context.Context, txn amrplatform.Txn) (amrfollow.Receipt, error) {
	sentAt := r.boot.Now()
	receipt, err := r.SharedRows.Write(ctx, txn)
	if err == nil {
		r.time.observe(receipt.Era, sentAt, receipt.Now)
	}
	return receipt, err
}
