package amrconfig

import (
	"context"
	"slices"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrpack"
	"amaranthreach.example/core/amrplatform"
)

const (
	// Log entries that stay in the table after a compaction.
	keptEntries = 500

	// The log is compacted when it holds this many entries more.
	compactEntries = 500

	// Compaction is tried once in so many revisions while it fails.
	compactInterval = 50

	// Snapshots that stay in the object store for readers of an older head.
	keptSnapshots = 2
)

// compactIfLong compacts the log after the revision was written when it has
// grown long.
func (s *Store) compactIfLong(ctx context.Context, h head) {
	if h.Revision%compactInterval == 0 && h.Revision-h.Archived >= keptEntries+compactEntries {
		_ = s.Compact(ctx) // The next one makes good for a failure.
	}
}

// Compact writes a snapshot of the newest records to the object store and
// moves all but the newest log entries there. A compaction that fails halfway
// leaves the records as they were.
func (s *Store) Compact(ctx context.Context) error {
	set, h, err := s.advance(ctx)
	if err != nil || h.Revision < h.Archived+keptEntries {
		return err
	}
	data, err := set.MarshalBinary()
	if err != nil {
		return err
	}
	if err := s.objects.PutObject(ctx, key(snapshotPrefix, h.Revision), data); err != nil {
		return err
	}
	entries, err := s.archive(ctx, h)
	if err != nil {
		return err
	}
	if err := s.trim(ctx, h, entries); err != nil {
		return err
	}
	return s.deleteSnapshots(ctx, h.Revision)
}

// archive copies the log entries that are to leave the table to the object
// store.
func (s *Store) archive(ctx context.Context, h head) ([]amraudit.Entry, error) {
	entries, err := s.tableEntries(ctx, h.Archived)
	if err != nil {
		return nil, err
	}
	last := h.Revision - keptEntries
	entries = slices.DeleteFunc(entries, func(e amraudit.Entry) bool { return e.Revision > last })
	if len(entries) == 0 {
		return nil, nil
	}
	data, err := amrpack.Marshal(entries)
	if err != nil {
		return nil, err
	}
	return entries, s.objects.PutObject(ctx, key(logPrefix, entries[len(entries)-1].Revision), data)
}

// trim removes the archived entries from the table in one transaction with the
// new head, unless another process compacted the log meanwhile.
func (s *Store) trim(ctx context.Context, then head, entries []amraudit.Entry) error {
	var deletes []string
	for _, entry := range entries {
		deletes = append(deletes, key(logPrefix, entry.Revision), tokenPrefix+entry.Token)
	}
	for range compactionRetries {
		now, err := s.head(ctx)
		if err != nil || now.Archived != then.Archived || now.Snapshot > then.Revision {
			return err
		}
		next := now
		next.Snapshot = then.Revision
		if len(entries) > 0 {
			next.Archived = entries[len(entries)-1].Revision
		}
		put, err := next.put()
		if err != nil {
			return err
		}
		err = s.table.Commit(ctx, amrplatform.Txn{
			Checks:  []amrplatform.Check{now.check()},
			Puts:    []amrplatform.Put{put},
			Deletes: deletes,
		})
		if !errorx.IsOfType(err, amrplatform.Conflict) {
			return err
		}
	}
	return nil
}

func (s *Store) deleteSnapshots(ctx context.Context, newest uint64) error {
	keys, err := s.objects.ListObjects(ctx, snapshotPrefix, "", scanLimit)
	if err != nil {
		return err
	}
	current, _ := slices.BinarySearch(keys, key(snapshotPrefix, newest))
	for _, old := range keys[:max(0, current+1-keptSnapshots)] {
		if err := s.objects.DeleteObject(ctx, old); err != nil {
			return err
		}
	}
	return nil
}
