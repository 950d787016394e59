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
	decisionPrefix = "explain/" // Then minute, router, incarnation and number.
	refusalPrefix  = "refused/" // The refusals among them, for searches.

	ringSize     = 4096  // Decisions that are found without the table.
	pendingLimit = 20000 // Decisions that wait to be written; more are dropped.
	batchSize    = 2048  // Decisions in one write.

	flushInterval = 10 * time.Second
	flushTimeout  = 10 * time.Second

	// Retention is the time for which decisions are kept.
	Retention = 30 * 24 * time.Hour

	expireInterval = time.Hour
	expireLimit    = 500 // Objects deleted at once.
)

// Recorder keeps the decisions of a router and writes them in batches to the
// object store. It is safe for concurrent use.
type Recorder struct {
	objects amrplatform.Objects
	clock   clockwork.Clock
	owner   string // Router and incarnation, as in object keys.

	mu      sync.Mutex
	spool   *spool
	flushes uint64
}

// NewRecorder returns a recorder for the incarnation of the router.
func NewRecorder(router, incarnation string, objects amrplatform.Objects, clock clockwork.Clock) *Recorder {
	return &Recorder{
		objects: objects,
		clock:   clock,
		owner:   router + "/" + incarnation,
		spool:   newSpool(ringSize, pendingLimit),
	}
}

// Add keeps the decision.
func (r *Recorder) Add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spool.add(d.bounded())
}

// Get returns a decision that is in memory.
func (r *Recorder) Get(id string) (Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spool.get(id)
}

// Dropped returns the number of decisions that were dropped because the object
// store did not take them in time.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spool.dropped
}

// Pending returns the number of decisions that are not in the object store.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.spool.pending)
}

// Run writes decisions until the context ends, and those that are left then.
func (r *Recorder) Run(ctx context.Context) error {
	flush := r.clock.NewTicker(flushInterval)
	defer flush.Stop()
	expire := r.clock.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = r.Flush(context.WithoutCancel(ctx)) // Nothing is left to tell a failure to.
			return nil
		case <-flush.Chan():
			_ = r.Flush(ctx) // The decisions stay pending.
		case <-expire.Chan():
			_ = r.Expire(ctx) // The next hour deletes the rest.
		}
	}
}

// Flush writes the pending decisions.
func (r *Recorder) Flush(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, flushTimeout)
	defer cancel()
	for {
		r.mu.Lock()
		batch := r.spool.take(batchSize)
		r.flushes++
		number := r.flushes
		r.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		err := r.write(ctx, batch, number)
		r.mu.Lock()
		r.spool.written(err == nil)
		r.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// Expire deletes decisions that are older than Retention. Any router may
// delete those of any other.
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

// write puts the decisions into one object for each minute in which their
// requests came.
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

func (r *Recorder) key(prefix string, minute int64, number uint64) string {
	return fmt.Sprintf("%s%s/%08d", minutePrefix(prefix, minute), r.owner, number)
}

func minutePrefix(prefix string, minute int64) string {
	return fmt.Sprintf("%s%010d/", prefix, minute)
}
