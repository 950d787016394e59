package amrconfig

import (
	"context"
	"slices"
	"strings"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrrecord"
)

// VerifyAudit reads the whole audit trail and checks that no entry is missing
// or edited. It returns the number of entries.
func (s *Store) VerifyAudit(ctx context.Context) (int, error) {
	h, err := s.head(ctx)
	if err != nil {
		return 0, err
	}
	chain := amraudit.Chain{}
	err = s.walk(ctx, 0, h.Revision, func(entry amraudit.Entry) error {
		var err error
		chain, err = chain.With(entry)
		return err
	})
	if err != nil {
		return int(chain.Revision), err
	}
	return int(chain.Revision), chain.VerifyEnd(h.Revision, h.Digest)
}

// At returns the records as they were at the revision.
func (s *Store) At(ctx context.Context, revision uint64) (amrrecord.Set, error) {
	set, h, err := s.advance(ctx)
	if err != nil {
		return set, err
	}
	if revision > h.Revision {
		return set, Incomplete.New("there is no revision %d; the newest is %d", revision, h.Revision)
	}
	var entries []amraudit.Entry
	err = s.walk(ctx, revision, set.Revision(), func(entry amraudit.Entry) error {
		entries = append(entries, entry)
		return nil
	})
	if err != nil {
		return set, err
	}
	for _, entry := range slices.Backward(entries) {
		if set, err = undo(set, entry); err != nil {
			return set, err
		}
	}
	return set, nil
}

// RollbackTo completes the change so that it brings back the records as they
// were at the revision.
func (s *Store) RollbackTo(ctx context.Context, revision uint64, change Change) (Change, error) {
	then, err := s.At(ctx, revision)
	if err != nil {
		return change, err
	}
	now, h, err := s.advance(ctx)
	if err != nil {
		return change, err
	}
	touched := map[amrrecord.ID]bool{}
	err = s.walk(ctx, revision, h.Revision, func(entry amraudit.Entry) error {
		for _, c := range entry.Changes {
			touched[amrrecord.ParseID(c.Record)] = true
		}
		return nil
	})
	if err != nil {
		return change, err
	}
	change.Base = now.Revision()
	for id := range touched {
		change.Delete = append(change.Delete, id)
		change.Put = append(change.Put, then.Variants(id)...)
	}
	slices.SortFunc(change.Delete, func(a, b amrrecord.ID) int { return strings.Compare(a.String(), b.String()) })
	slices.SortStableFunc(change.Put, func(a, b amrrecord.Record) int { return strings.Compare(a.ID().String(), b.ID().String()) })
	return change, nil
}

// walk calls visit for each entry after the revision first, up to last.
func (s *Store) walk(ctx context.Context, first, last uint64, visit func(amraudit.Entry) error) error {
	for first < last {
		entries, err := s.Entries(ctx, first)
		if err != nil {
			return err
		}
		for _, entry := range entries {
			if entry.Revision > last {
				return nil
			}
			if err := visit(entry); err != nil {
				return err
			}
			first = entry.Revision
		}
	}
	return nil
}

const (
	historyStep  = 200   // Entries read at once on the way back.
	historyLimit = 20000 // Entries looked at for one question.
)

// History returns at most limit entries below the revision before, or the
// newest ones when it is 0, in the order of their revisions. With a record it
// returns only the entries that changed it, of the last 20,000.
func (s *Store) History(ctx context.Context, record string, before uint64, limit int) ([]amraudit.Entry, error) {
	h, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	last := h.Revision
	if before > 0 {
		last = min(last, before-1)
	}
	var found []amraudit.Entry
	for looked := 0; last > 0 && len(found) < limit && looked < historyLimit; looked += historyStep {
		first := last - min(last, historyStep)
		var step []amraudit.Entry
		err := s.walk(ctx, first, last, func(entry amraudit.Entry) error {
			if record == "" || entry.Touches(record) {
				step = append(step, entry)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		found = append(step, found...)
		last = first
	}
	return found[max(0, len(found)-limit):], nil
}
