package amrorigin

import (
	"slices"
	"time"
)

const (
	// batchRows is the maximum number of rows that one transaction writes and deletes.
	batchRows = 100

	// rowLife is the age from which the row of a stream is deleted.
	rowLife = 2 * streamLife

	// batchInterval is the minimum time between two calls that write origins, and
	// routerInterval that for each router. All routers together make 91 calls a second,
	// which keeps 100 in any second in which they happen to call together.
	batchInterval  = 100 * time.Millisecond
	routerInterval = 11 * time.Millisecond

	// sweepEvery is the number of transactions after which one call reads rows that
	// routers which are gone have left. These calls are a twentieth more.
	sweepEvery = 20
)

// writeInterval returns the time between two calls of a router that write origins.
func writeInterval(routers int) time.Duration {
	return max(batchInterval, time.Duration(routers)*routerInterval)
}

// StreamRow is the row of a stream.
type StreamRow struct {
	Stream Stream
	Origin Origin
}

// waitingRow is a row that is to be written or, once written, to be deleted.
type waitingRow struct {
	StreamRow
	at time.Time // Time at which the row was queued or written.
}

// batch collects the rows of streams that are to be written, and those that were written
// and are to be deleted. It does no I/O and is not safe for concurrent use. The zero value
// is empty.
type batch struct {
	waiting []waitingRow // Oldest first, as the others.
	written []waitingRow
	expired []Stream // Rows of other routers that are to be deleted.
}

// add queues a row. When too many are queued, the oldest one is dropped.
func (b *batch) add(now time.Time, row StreamRow) {
	b.waiting = append(b.waiting, waitingRow{row, now})
	if len(b.waiting) > maxStreams {
		b.waiting = b.waiting[1:]
	}
}

// take returns the rows to be written, those of the newest streams first, as callers are the
// likeliest to take these up, and the streams whose rows are to be deleted in the
// same transaction. There are none to be deleted if there are none to be written: rows
// that are left over do no harm, and each call to the table costs. Rows of streams that
// callers take up no more are dropped.
func (b *batch) take(now time.Time) (puts []StreamRow, deletes []Stream) {
	for len(b.waiting) > 0 && now.Sub(b.waiting[0].at) >= streamLife {
		b.waiting = b.waiting[1:]
	}
	for _, w := range b.waiting[max(0, len(b.waiting)-batchRows):] {
		puts = append(puts, w.StreamRow)
	}
	if len(puts) == 0 {
		return nil, nil
	}
	put := make(map[Stream]bool, len(puts))
	for _, row := range puts {
		put[row.Stream] = true
	}
	for _, s := range b.old(now) {
		if len(puts)+len(deletes) < batchRows && !put[s] {
			deletes = append(deletes, s)
			put[s] = true
		}
	}
	return puts, deletes
}

// old returns the streams whose rows are old enough to be deleted.
func (b *batch) old(now time.Time) []Stream {
	old := slices.Clone(b.expired)
	for _, w := range b.written {
		if now.Sub(w.at) < rowLife {
			break
		}
		old = append(old, w.Stream)
	}
	return old
}

// recordWritten records that the transaction with the rows, which take has returned, was
// applied.
func (b *batch) recordWritten(now time.Time, puts []StreamRow, deletes []Stream) {
	put, done := make(map[Stream]bool, len(puts)), make(map[Stream]bool, len(puts)+len(deletes))
	for _, row := range puts {
		put[row.Stream], done[row.Stream] = true, true
	}
	for _, s := range deletes {
		done[s] = true
	}
	b.waiting = without(b.waiting, put)
	b.written = without(b.written, done) // A row that is written again is deleted later.
	b.expired = slices.DeleteFunc(b.expired, func(s Stream) bool { return done[s] })
	for _, row := range puts {
		b.written = append(b.written, waitingRow{row, now})
	}
	if n := len(b.written) - maxStreams; n > 0 {
		b.written = b.written[n:] // Other routers find these rows when they read old ones.
	}
}

// without returns the rows of streams that are not in the set.
func without(rows []waitingRow, set map[Stream]bool) []waitingRow {
	var rest []waitingRow
	for _, w := range rows {
		if !set[w.Stream] {
			rest = append(rest, w)
		}
	}
	return rest
}

// addExpired records rows of other routers that are old enough to be deleted.
func (b *batch) addExpired(streams []Stream) {
	if len(b.expired) < batchRows {
		b.expired = append(b.expired, streams...)
	}
}
