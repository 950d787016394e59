// Package amrconfig keeps the records in the platform's services and brings
// each accepted revision to every process.
//
// The table holds the head, which is the newest revision, and a log with one
// entry for each revision. The entry is both the delta that brings a set of
// records to the revision and the entry of the audit trail, so that the two
// can't part.
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
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Store reads and writes the records in the platform's services. It is safe
// for concurrent use.
type Store struct {
	table   amrplatform.Table
	objects amrplatform.Objects
	clock   clockwork.Clock
	random  *rand.Rand

	mu     sync.Mutex // Guards random and newest.
	newest amrrecord.Set
}

// NewStore returns a store on the platform's services.
func NewStore(table amrplatform.Table, objects amrplatform.Objects, opts ...Option) *Store {
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

// forZone returns another store on the same services that reads the records as
// they are in force in the availability zone.
func (s *Store) forZone(zone string) *Store {
	s.mu.Lock()
	seed := s.random.Uint64()
	s.mu.Unlock()
	other := NewStore(s.table, s.objects, WithClock(s.clock), WithSeed(seed))
	other.newest = amrrecord.Set{}.WithAvailabilityZone(zone)
	return other
}

// Option sets a property of a store.
type Option func(*Store)

// WithClock sets the clock of the store.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Store) { s.clock = clock }
}

// WithSeed sets the seed of the random pauses between attempts.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// Apply brings the change into force and returns the revision that holds it.
// It tries until it knows the outcome or the context ends. It returns an error
// of kind Conflict when somebody else changed the same records after
// change.Base, and of kind Unresolved when the outcome is not known.
func (s *Store) Apply(ctx context.Context, change Change) (uint64, error) {
	if err := change.check(); err != nil {
		return 0, err
	}
	if change.Token == "" {
		change.Token = uuid.NewString()
	}
	unknown := false
	for attempt := 0; ; attempt++ {
		revision, err := s.try(ctx, change)
		unknown = unknown || errorx.IsOfType(err, amrplatform.OutcomeUnknown)
		if !retryable(err) {
			return revision, err
		}
		if s.pause(ctx, attempt) != nil {
			if unknown {
				return 0, Unresolved.New("whether the change took effect is not known; apply it again with the token %s", change.Token)
			}
			return 0, err
		}
	}
}

// Load returns the newest records.
func (s *Store) Load(ctx context.Context) (amrrecord.Set, error) {
	set, _, err := s.advance(ctx)
	return set, err
}

// try makes one attempt at the change.
func (s *Store) try(ctx context.Context, change Change) (uint64, error) {
	set, h, err := s.advance(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := s.applied(ctx, change.Token)
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

// applied returns the revision under which the token was applied, or 0.
func (s *Store) applied(ctx context.Context, token string) (uint64, error) {
	item, err := s.table.Get(ctx, tokenPrefix+token)
	if errorx.IsOfType(err, amrplatform.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(item.Value), 10, 64)
}

// checkBase requires that nobody changed the same records after the base.
func (s *Store) checkBase(ctx context.Context, change Change, h head) error {
	if change.Base == 0 {
		return nil
	}
	ids := map[string]bool{}
	for _, id := range change.ids() {
		ids[id.String()] = true
	}
	var conflicts []string
	err := s.walk(ctx, change.Base, h.Revision, func(entry amraudit.Entry) error {
		conflicts = append(conflicts, conflictsOf(entry, ids)...)
		return nil
	})
	if err == nil && len(conflicts) > 0 {
		err = Conflict.New("%s; read the records again and apply on revision %d", strings.Join(conflicts, "; "), h.Revision)
	}
	return err
}

func conflictsOf(entry amraudit.Entry, ids map[string]bool) []string {
	var conflicts []string
	for _, c := range entry.Changes {
		if ids[c.Record] {
			conflicts = append(conflicts, fmt.Sprintf("%s changed %s in revision %d at %s, because: %s",
				entry.Who, c.Record, entry.Revision, entry.When.UTC().Format(time.RFC3339), entry.Reason))
		}
	}
	return conflicts
}

func (s *Store) commit(ctx context.Context, change Change, changes []amraudit.Change, h head) (uint64, error) {
	entry, err := amraudit.Entry{
		Revision: h.Revision + 1,
		When:     s.clock.Now().UTC(),
		Who:      change.Who,
		From:     change.From,
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
			{Key: key(logPrefix, entry.Revision), Value: value},
			{Key: tokenPrefix + change.Token, Value: strconv.AppendUint(nil, entry.Revision, 10)},
		},
	})
	if err == nil {
		s.compactIfLong(ctx, next)
	}
	return entry.Revision, err
}

// seen returns the newest set that the store has read.
func (s *Store) seen() amrrecord.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

func (s *Store) saw(set amrrecord.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set.Revision() > s.newest.Revision() {
		s.newest = set
	}
}

// pause waits before the next attempt, longer after each and by chance.
func (s *Store) pause(ctx context.Context, attempt int) error {
	longest := min(minBackoff<<min(attempt, 10), maxBackoff)
	s.mu.Lock()
	wait := time.Duration(s.random.Int64N(int64(longest)) + 1)
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.clock.After(wait):
		return ctx.Err()
	}
}

func retryable(err error) bool {
	for _, kind := range []*errorx.Type{amrplatform.Conflict, amrplatform.Unavailable, amrplatform.OutcomeUnknown} {
		if errorx.IsOfType(err, kind) {
			return true
		}
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
