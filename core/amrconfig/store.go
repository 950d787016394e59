// Package amrconfig stores the configuration records in the platform's
// services and distributes each accepted revision to every process.
//
// The platform's table holds the head, which names the newest revision, and a
// log with one entry for each revision. A log entry serves both as the delta
// from the previous revision and as the entry of the audit trail, so that the
// records and the audit trail cannot diverge.
//
// A Store reads and writes the records. A Follower keeps a process up to date
// by reading from the store and from other processes.
package amrconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
)

const (
	initialBackoff = 20 * time.Millisecond // Upper bound of the random wait after the first attempt.
	maxBackoff     = time.Second           // Upper bound of the random wait after any attempt.
)

// Store reads and writes the records in the platform's services. It caches the
// newest set that it has read. It is safe for concurrent use.
type Store struct {
	table   amrplatform.Table
	objects amrplatform.ObjectStore
	clock   clockwork.Clock
	random  *rand.Rand

	mu     sync.Mutex // Guards random and newest.
	newest amrrecord.Set
}

// NewStore returns a Store that uses the given platform services.
func NewStore(table amrplatform.Table, objects amrplatform.ObjectStore, opts ...StoreOption) *Store {
	s := &Store{
		table:   table,
		objects: objects,
		clock:   clockwork.NewRealClock(),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// forZone returns a new store on the same services whose sets are resolved for
// the availability zone.
func (s *Store) forZone(zone string) *Store {
	s.mu.Lock()
	seed := s.random.Uint64()
	s.mu.Unlock()
	other := NewStore(s.table, s.objects, WithClock(s.clock), WithSeed(seed))
	other.newest = amrrecord.Set{}.WithAvailabilityZone(zone)
	return other
}

// StoreOption configures a Store.
type StoreOption func(*Store)

// WithClock sets the clock of the store. By default, it is the system clock.
func WithClock(clock clockwork.Clock) StoreOption {
	return func(s *Store) { s.clock = clock }
}

// WithSeed sets the seed of the random backoff between attempts. By default,
// it is random.
func WithSeed(seed uint64) StoreOption {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// Apply applies the change and returns its revision. If the change has no
// effect on the records, it returns the current revision. Apply tries again
// until it knows the outcome or the context ends. It returns an error of kind
// Conflict if another writer has changed the same records since change.Base,
// and one of kind Unresolved if the context ends while it is unknown whether
// the change was applied.
func (s *Store) Apply(ctx context.Context, change Change) (uint64, error) {
	if err := change.checkAuthor(); err != nil {
		return 0, err
	}
	if change.Token == "" {
		change.Token = uuid.NewString()
	}
	outcomeUnknown := false
	for attempt := 0; ; attempt++ {
		revision, err := s.tryApply(ctx, change)
		outcomeUnknown = outcomeUnknown || errorx.IsOfType(err, amrplatform.OutcomeUnknown)
		if !isRetryable(err) {
			return revision, err
		}
		if s.waitBackoff(ctx, attempt) != nil {
			if outcomeUnknown {
				return 0, Unresolved.New("whether the change took effect is not known; apply it again with the token %s", change.Token)
			}
			return 0, err
		}
	}
}

// Load returns the newest records. It reads only the log entries that the
// store has not read before.
func (s *Store) Load(ctx context.Context) (amrrecord.Set, error) {
	set, _, err := s.loadNewest(ctx)
	return set, err
}

// tryApply makes one attempt to apply the change.
func (s *Store) tryApply(ctx context.Context, change Change) (uint64, error) {
	set, h, err := s.loadNewest(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := s.revisionOfToken(ctx, change.Token)
	if err != nil || revision > 0 {
		return revision, err
	}
	if err := s.checkBase(ctx, change, h); err != nil {
		return 0, err
	}
	changes, err := change.Preview(set)
	if err != nil || len(changes) == 0 {
		return h.Revision, err
	}
	return s.commit(ctx, change, changes, h)
}

// revisionOfToken returns the revision of the change with the token, or 0 if
// no such change was applied.
func (s *Store) revisionOfToken(ctx context.Context, token string) (uint64, error) {
	item, err := s.table.Get(ctx, tokenPrefix+token)
	if errorx.IsOfType(err, amrplatform.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(item.Value), 10, 64)
}

// checkBase returns an error of kind Conflict if a record of the change was
// changed after the base revision.
func (s *Store) checkBase(ctx context.Context, change Change, h head) error {
	if change.Base == 0 {
		return nil
	}
	ids := map[string]bool{}
	for _, id := range change.ids() {
		ids[id.String()] = true
	}
	var conflicts []string
	err := s.forEachEntry(ctx, change.Base, h.Revision, func(entry amraudit.Entry) error {
		conflicts = append(conflicts, describeConflicts(entry, ids)...)
		return nil
	})
	if err == nil && len(conflicts) > 0 {
		err = Conflict.New("%s; read the records again and apply on revision %d", strings.Join(conflicts, "; "), h.Revision)
	}
	return err
}

// describeConflicts returns a message for each record in ids that the log
// entry changed.
func describeConflicts(entry amraudit.Entry, ids map[string]bool) []string {
	var conflicts []string
	for _, c := range entry.Changes {
		if ids[c.Record] {
			conflicts = append(conflicts, fmt.Sprintf("%s changed %s in revision %d at %s, because: %s",
				entry.Who, c.Record, entry.Revision, entry.When.UTC().Format(time.RFC3339), entry.Reason))
		}
	}
	return conflicts
}

// commit writes the log entry, the token and the new head in one transaction,
// which fails if the head has changed or the token exists.
func (s *Store) commit(ctx context.Context, change Change, changes []amraudit.Change, h head) (uint64, error) {
	entry, err := amraudit.Entry{
		Revision: h.Revision + 1,
		When:     s.clock.Now().UTC(),
		Who:      change.Author,
		From:     change.SourceAddress,
		Reason:   change.Reason,
		Token:    change.Token,
		Changes:  changes,
	}.WithDigests(h.Digest)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return 0, err
	}
	next := h
	next.Revision, next.Digest = entry.Revision, entry.Digest
	put, err := next.put()
	if err != nil {
		return 0, err
	}
	err = s.table.Commit(ctx, amrplatform.Txn{
		Checks: []amrplatform.Check{h.check(), {Key: tokenPrefix + change.Token}},
		Puts: []amrplatform.Put{
			put,
			{Key: revisionKey(logPrefix, entry.Revision), Value: value},
			{Key: tokenPrefix + change.Token, Value: strconv.AppendUint(nil, entry.Revision, 10)},
		},
	})
	if err == nil {
		s.compactIfDue(ctx, next)
	}
	return entry.Revision, err
}

// newestSet returns the newest set that the store has read.
func (s *Store) newestSet() amrrecord.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// recordNewest caches the set if it is newer than the cached one.
func (s *Store) recordNewest(set amrrecord.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set.Revision() > s.newest.Revision() {
		s.newest = set
	}
}

// waitBackoff waits for a random time before the next attempt. The upper bound
// of the time doubles with each attempt. It returns an error if the context
// ends.
func (s *Store) waitBackoff(ctx context.Context, attempt int) error {
	maxWait := min(initialBackoff<<min(attempt, 10), maxBackoff)
	s.mu.Lock()
	wait := time.Duration(s.random.Int64N(int64(maxWait)) + 1)
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.clock.After(wait):
		return ctx.Err()
	}
}

// isRetryable reports whether Apply tries again after an attempt that failed
// with the error. An exceeded deadline and a cancellation count as retryable,
// because Apply detects the end of its own context in waitBackoff and then
// reports whether the outcome is known.
func isRetryable(err error) bool {
	for _, kind := range []*errorx.Type{amrplatform.Conflict, amrplatform.Unavailable, amrplatform.OutcomeUnknown} {
		if errorx.IsOfType(err, kind) {
			return true
		}
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
