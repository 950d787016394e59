package amrconfig

import (
	"context"
	"slices"
	"strings"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrrecord"
)

// VerifyAudit reads the whole audit trail and checks that it is complete and
// unmodified. It returns the number of entries that passed. It returns an
// error of kind amraudit.Gap if an entry is missing and of kind
// amraudit.Edited if one was modified.
func (s *Store) VerifyAudit(ctx context.Context) (int, error) {
	h, err := s.head(ctx)
	if err != nil {
		return 0, err
	}
	chain := amraudit.Chain{}
	err = s.forEachEntry(ctx, 0, h.Revision, func(entry amraudit.Entry) error {
		var err error
		chain, err = chain.Append(entry)
		return err
	})
	if err != nil {
		return int(chain.Revision), err
	}
	return int(chain.Revision), chain.VerifyEnd(h.Revision, h.Digest)
}

// AtRevision returns the records at the given revision. It starts from the
// newest records and reverts the later log entries. It returns an error of kind
// InvalidRequest if the revision does not exist yet.
func (s *Store) AtRevision(ctx context.Context, revision uint64) (amrrecord.Set, error) {
	set, h, err := s.loadNewest(ctx)
	if err != nil {
		return set, err
	}
	if revision > h.Revision {
		return set, InvalidRequest.New("there is no revision %d; the newest is %d", revision, h.Revision)
	}
	var entries []amraudit.Entry
	err = s.forEachEntry(ctx, revision, set.Revision(), func(entry amraudit.Entry) error {
		entries = append(entries, entry)
		return nil
	})
	if err != nil {
		return set, err
	}
	for _, entry := range slices.Backward(entries) {
		if set, err = revertEntry(set, entry); err != nil {
			return set, err
		}
	}
	return set, nil
}

// RollbackTo returns the change with Base, Put and Delete set such that
// applying it restores all records to their state at the given revision.
func (s *Store) RollbackTo(ctx context.Context, revision uint64, change Change) (Change, error) {
	previous, err := s.AtRevision(ctx, revision)
	if err != nil {
		return change, err
	}
	current, h, err := s.loadNewest(ctx)
	if err != nil {
		return change, err
	}
	changedIDs := map[amrrecord.ID]bool{}
	err = s.forEachEntry(ctx, revision, h.Revision, func(entry amraudit.Entry) error {
		for _, c := range entry.Changes {
			changedIDs[amrrecord.ParseID(c.Record)] = true
		}
		return nil
	})
	if err != nil {
		return change, err
	}
	change.Base = current.Revision()
	for id := range changedIDs {
		change.Delete = append(change.Delete, id)
		change.Put = append(change.Put, previous.Variants(id)...)
	}
	slices.SortFunc(change.Delete, func(a, b amrrecord.ID) int { return strings.Compare(a.String(), b.String()) })
	slices.SortStableFunc(change.Put, func(a, b amrrecord.Record) int { return strings.Compare(a.ID().String(), b.ID().String()) })
	return change, nil
}

// forEachEntry calls visit for each log entry after the revision after, up to
// and including the revision last, in order. It stops at the first error.
func (s *Store) forEachEntry(ctx context.Context, after, last uint64, visit func(amraudit.Entry) error) error {
	for after < last {
		entries, err := s.Entries(ctx, after)
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
			after = entry.Revision
		}
	}
	return nil
}

const (
	historyBatch = 200   // Number of log entries in each batch that History reads; the newest batch is read first.
	historyLimit = 20000 // Maximum number of log entries that one call of History reads.
)

// History returns the newest log entries below the revision before, at most
// limit of them, in the order of their revisions. If before is 0, it starts
// from the newest revision. If record is not empty, History returns only the
// entries that changed the record with that ID, and it searches at most 20,000
// entries.
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
	for scanned := 0; last > 0 && len(found) < limit && scanned < historyLimit; scanned += historyBatch {
		first := last - min(last, historyBatch)
		var batch []amraudit.Entry
		err := s.forEachEntry(ctx, first, last, func(entry amraudit.Entry) error {
			if record == "" || entry.Changed(record) {
				batch = append(batch, entry)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		found = append(batch, found...)
		last = first
	}
	return found[max(0, len(found)-limit):], nil
}
