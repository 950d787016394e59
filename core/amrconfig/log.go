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
	scanLimit = 500 // Log entries read at once.

	// A read is begun anew when the log is compacted under it.
	compactionRetries = 3
)

// Entries returns log entries after the revision, in order: some of them,
// and none only when the revision is the newest.
func (s *Store) Entries(ctx context.Context, after uint64) ([]amraudit.Entry, error) {
	for range compactionRetries {
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

// tableEntries returns the log entries in the table after the revision.
func (s *Store) tableEntries(ctx context.Context, after uint64) ([]amraudit.Entry, error) {
	items, err := s.table.Scan(ctx, logPrefix, key(logPrefix, after), scanLimit)
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

// archivedEntries returns the log entries after the revision that stand in the
// same archive. An archive stands under its last revision. Archives may
// overlap when two processes compacted at once; their entries are the same.
func (s *Store) archivedEntries(ctx context.Context, after uint64) ([]amraudit.Entry, error) {
	keys, err := s.objects.ListObjects(ctx, logPrefix, key(logPrefix, after), 1)
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

// advance brings the newest set that the store has read up to the head.
func (s *Store) advance(ctx context.Context) (amrrecord.Set, head, error) {
	for range compactionRetries {
		h, err := s.head(ctx)
		if err != nil {
			return amrrecord.Set{}, h, err
		}
		set, found, err := s.advanceTo(ctx, h)
		if err != nil || found {
			return set, h, err
		}
	}
	return amrrecord.Set{}, head{}, amraudit.Gap.New("neither log nor snapshot lead to the head; restore %s and %s from a backup", logPrefix, snapshotPrefix)
}

// advanceTo brings the newest set up to h. It reports false when the log was
// compacted meanwhile.
func (s *Store) advanceTo(ctx context.Context, h head) (amrrecord.Set, bool, error) {
	set := s.seen()
	if set.Revision() < h.Archived {
		var err error
		set, err = s.snapshot(ctx, h.Snapshot)
		if errorx.IsOfType(err, amrplatform.NotFound) {
			return set, false, nil
		}
		if err != nil {
			return set, false, err
		}
		s.saw(set)
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
			if set, err = redo(set, entry); err != nil {
				return set, false, err
			}
		}
		s.saw(set)
	}
	return set, true, nil
}

func (s *Store) snapshot(ctx context.Context, revision uint64) (amrrecord.Set, error) {
	data, err := s.objects.GetObject(ctx, key(snapshotPrefix, revision))
	if err != nil {
		return amrrecord.Set{}, err
	}
	set := s.seen().WithRevision(0)
	err = set.UnmarshalBinary(data)
	return set, err
}
