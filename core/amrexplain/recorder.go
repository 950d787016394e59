package amrexplain

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrpack"
	"amaranthreach.example/core/amrplatform"
)

const (
	// Keys of objects consist of a prefix, the minute in which the requests arrived,
	// the router, its incarnation, and the number of the batch.
	decisionPrefix = "explain/" // All decisions.
	refusalPrefix  = "refused/" // A copy of the refusals, for searches.

	recentLimit  = 4096  // Newest decisions that are kept in memory for GetRecent.
	pendingLimit = 20000 // Decisions that wait to be written; if there are more, the oldest are dropped.
	batchSize    = 2048  // Maximum number of decisions in one batch.

	flushInterval = 10 * time.Second
	flushTimeout  = 10 * time.Second

	// Retention is the time after which decisions are deleted from the object store.
	Retention = 30 * 24 * time.Hour

	expireInterval = time.Hour
	expireLimit    = 500 // Maximum number of objects under each prefix that one call of Expire deletes.
)

// Recorder records the decisions of a router and writes them to the object store in
// batches. It is safe for concurrent use.
type Recorder struct {
	objects amrplatform.ObjectStore
	clock   clockwork.Clock
	writer  string // Router and incarnation, as in object keys.

	mu      sync.Mutex
	buffer  *buffer
	batches uint64 // Number of batches taken from the buffer.
}

// NewRecorder returns a recorder for the incarnation of the router. Decisions are
// written to the object store while Run runs.
func NewRecorder(router, incarnation string, objects amrplatform.ObjectStore, clock clockwork.Clock) *Recorder {
	return &Recorder{
		objects: objects,
		clock:   clock,
		writer:  router + "/" + incarnation,
		buffer:  newBuffer(recentLimit, pendingLimit),
	}
}

// Add records the decision, which is written to the object store later. It cuts the
// candidates, the attempts and the detail to their maximum lengths.
func (r *Recorder) Add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buffer.add(d.truncated())
}

// GetRecent returns the decision on the request with the id if it is in memory, and
// reports whether it is.
func (r *Recorder) GetRecent(id string) (Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.get(id)
}

// Dropped returns the number of decisions that were dropped because too many were
// waiting for the object store.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.dropped
}

// Pending returns the number of decisions that wait to be written to the object
// store.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.buffer.pending)
}

// Run writes decisions to the object store, and deletes expired ones, until ctx is
// done. It then writes the pending decisions and returns nil. Failed writes are
// repeated at the next interval.
func (r *Recorder) Run(ctx context.Context) error {
	flush := r.clock.NewTicker(flushInterval)
	defer flush.Stop()
	expire := r.clock.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = r.Flush(context.WithoutCancel(ctx)) // The router stops, so nothing can handle the error.
			return nil
		case <-flush.Chan():
			_ = r.Flush(ctx) // If it fails, the decisions stay pending.
		case <-expire.Chan():
			_ = r.Expire(ctx) // If it fails, the next run deletes the rest.
		}
	}
}

// Flush writes the pending decisions to the object store. If it returns an error,
// those that were not written stay pending.
func (r *Recorder) Flush(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, flushTimeout)
	defer cancel()
	for {
		r.mu.Lock()
		batch := r.buffer.nextBatch(batchSize)
		r.batches++
		number := r.batches
		r.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		err := r.write(ctx, batch, number)
		r.mu.Lock()
		r.buffer.endWrite(err == nil)
		r.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// Expire deletes decisions of all routers that are older than Retention. It deletes a
// limited number of objects.
func (r *Recorder) Expire(ctx context.Context) error {
	last := r.clock.Now().Add(-Retention).Unix() / 60
	for _, prefix := range []string{decisionPrefix, refusalPrefix} {
		keys, err := r.objects.ListObjects(ctx, prefix, "", expireLimit)
		if err != nil {
			return err
		}
		for _, key := range keys {
			if key >= minutePrefix(prefix, last) {
				break
			}
			if err := r.objects.DeleteObject(ctx, key); err != nil {
				return err
			}
		}
	}
	return nil
}

// write writes the decisions of the batch with the number. It writes one object for
// each minute in which requests arrived, and another one if there are refusals. It
// skips decisions whose request id is malformed.
func (r *Recorder) write(ctx context.Context, batch []Decision, number uint64) error {
	objects := map[string][]Decision{}
	for _, d := range batch {
		id, err := ParseID(d.RequestID)
		if err != nil {
			continue
		}
		key := r.key(decisionPrefix, id.Minute, number)
		objects[key] = append(objects[key], d)
		if d.Outcome == Refused {
			key := r.key(refusalPrefix, id.Minute, number)
			objects[key] = append(objects[key], d)
		}
	}
	for key, decisions := range objects {
		data, err := amrpack.Marshal(decisions)
		if err != nil {
			return err
		}
		if err := r.objects.PutObject(ctx, key, data); err != nil {
			return err
		}
	}
	return nil
}

// key returns the key of the object for the minute and the batch with the number.
func (r *Recorder) key(prefix string, minute int64, number uint64) string {
	return fmt.Sprintf("%s%s/%08d", minutePrefix(prefix, minute), r.writer, number)
}

// minutePrefix returns the key prefix of the objects for the minute. Its digits are
// padded so that keys sort by time.
func minutePrefix(prefix string, minute int64) string {
	return fmt.Sprintf("%s%010d/", prefix, minute)
}
