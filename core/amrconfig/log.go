package amrconfig

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrpack"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
)

const (
	scanLimit = 500 // Maximum number of log entries or keys in one read.

	// Maximum number of attempts at a read that fails because another process
	// compacts the log at the same time, and at the transaction of a
	// compaction, which fails if the head has changed.
	maxLogAttempts = 3
)

// Entries returns log entries after the given revision, in order and without
// gaps. It may return only some of them, but returns none only if the revision
// is the newest. It returns an error of kind amraudit.Gap if the next entry is
// missing.
func (s *Store) Entries(ctx context.Context, after uint64) ([]amraudit.Entry, error) {
	for range maxLogAttempts {
		h, err := s.head(ctx)
		if err != nil || after >= h.Revision {
			return nil, err
		}
		read := s.tableEntries
		if after < h.Archived {
			read = s.archivedEntries
		}
		entries, err := read(ctx, after)
		if err != nil {
			return nil, err
		}
		if len(entries) > 0 && entries[0].Revision == after+1 {
			return entries, nil
		}
	}
	return nil, amraudit.Gap.New("the log has no entry %d; restore it from a backup of the platform's services", after+1)
}

// tableEntries returns up to scanLimit log entries after the revision from the
// table.
func (s *Store) tableEntries(ctx context.Context, after uint64) ([]amraudit.Entry, error) {
	items, err := s.table.Scan(ctx, logPrefix, revisionKey(logPrefix, after), scanLimit)
	if err != nil {
		return nil, err
	}
	entries := make([]amraudit.Entry, len(items))
	for i, item := range items {
		if err := json.Unmarshal(item.Value, &entries[i]); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// archivedEntries returns the log entries after the revision that are in the
// first archive with such entries. The key of an archive contains the revision
// of its last entry. Archives overlap if two processes compacted the log at
// the same time; the overlapping entries are equal.
func (s *Store) archivedEntries(ctx context.Context, after uint64) ([]amraudit.Entry, error) {
	keys, err := s.objects.ListObjects(ctx, logPrefix, revisionKey(logPrefix, after), 1)
	if err != nil || len(keys) == 0 {
		return nil, err
	}
	data, err := s.objects.GetObject(ctx, keys[0])
	if err != nil {
		return nil, err
	}
	var entries []amraudit.Entry
	if err := amrpack.Unmarshal(data, &entries); err != nil {
		return nil, err
	}
	for len(entries) > 0 && entries[0].Revision <= after {
		entries = entries[1:]
	}
	return entries, nil
}

// loadNewest reads the head and returns it with the set at its revision, or
// with a newer set if the store has already cached one.
func (s *Store) loadNewest(ctx context.Context) (amrrecord.Set, head, error) {
	for range maxLogAttempts {
		h, err := s.head(ctx)
		if err != nil {
			return amrrecord.Set{}, h, err
		}
		set, found, err := s.applyLogUpTo(ctx, h)
		if err != nil || found {
			return set, h, err
		}
	}
	return amrrecord.Set{}, head{}, amraudit.Gap.New("neither log nor snapshot lead to the head; restore %s and %s from a backup", logPrefix, snapshotPrefix)
}

// applyLogUpTo brings the newest set that the store has read up to the
// revision of the head h. It reports false if the log was compacted at the
// same time, so that the snapshot or a log entry is gone. It caches each
// intermediate set, so that a later call continues from there.
func (s *Store) applyLogUpTo(ctx context.Context, h head) (amrrecord.Set, bool, error) {
	set := s.newestSet()
	if set.Revision() < h.Archived {
		var err error
		set, err = s.loadSnapshot(ctx, h.Snapshot)
		if errorx.IsOfType(err, amrplatform.NotFound) {
			return set, false, nil
		}
		if err != nil {
			return set, false, err
		}
		s.recordNewest(set)
	}
	for set.Revision() < h.Revision {
		entries, err := s.tableEntries(ctx, set.Revision())
		if err != nil {
			return set, false, err
		}
		if len(entries) == 0 || entries[0].Revision != set.Revision()+1 {
			return set, false, nil
		}
		for _, entry := range entries {
			if entry.Revision > h.Revision {
				break
			}
			if set, err = applyEntry(set, entry); err != nil {
				return set, false, err
			}
		}
		s.recordNewest(set)
	}
	return set, true, nil
}

// loadSnapshot reads the snapshot at the revision from the object store.
func (s *Store) loadSnapshot(ctx context.Context, revision uint64) (amrrecord.Set, error) {
	data, err := s.objects.GetObject(ctx, revisionKey(snapshotPrefix, revision))
	if err != nil {
		return amrrecord.Set{}, err
	}
	set := s.newestSet().WithRevision(0)
	err = set.UnmarshalBinary(data)
	return set, err
}
