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
	// Number of the newest log entries that a compaction leaves in the table.
	retainedEntries = 500

	// Number of additional log entries in the table that make a compaction
	// due.
	compactionBatch = 500

	// Number of revisions between attempts. It is greater than 1 so that not
	// every write tries to compact the log while compactions fail.
	compactionInterval = 50

	// Number of snapshots that remain in the object store. The older one is
	// for processes that have read the previous head.
	retainedSnapshots = 2
)

// compactIfDue compacts the log if it is long enough. The head h is the one
// that was just written.
func (s *Store) compactIfDue(ctx context.Context, h head) {
	if h.Revision%compactionInterval == 0 && h.Revision-h.Archived >= retainedEntries+compactionBatch {
		_ = s.Compact(ctx) // A later call tries again.
	}
}

// Compact writes a snapshot of the newest records to the object store and
// moves the oldest log entries in the table there: at most scanLimit of them,
// and none of the newest retainedEntries. It does nothing if the log is short.
//
// If the head changes during each attempt to update it, Compact returns no error and
// leaves all snapshots in place, since the head still names an older one. A compaction
// that fails at any other point leaves the store consistent.
func (s *Store) Compact(ctx context.Context) error {
	set, h, err := s.loadNewest(ctx)
	if err != nil || h.Revision < h.Archived+retainedEntries {
		return err
	}
	data, err := set.MarshalBinary()
	if err != nil {
		return err
	}
	if err := s.objects.PutObject(ctx, revisionKey(snapshotPrefix, h.Revision), data); err != nil {
		return err
	}
	entries, err := s.archiveEntries(ctx, h)
	if err != nil {
		return err
	}
	updated, err := s.removeArchivedEntries(ctx, h, entries)
	if err != nil || !updated {
		return err
	}
	return s.deleteOldSnapshots(ctx, h.Revision)
}

// archiveEntries copies the log entries that are to be removed from the table
// to an archive in the object store, and returns them.
func (s *Store) archiveEntries(ctx context.Context, h head) ([]amraudit.Entry, error) {
	entries, err := s.tableEntries(ctx, h.Archived)
	if err != nil {
		return nil, err
	}
	last := h.Revision - retainedEntries
	entries = slices.DeleteFunc(entries, func(e amraudit.Entry) bool { return e.Revision > last })
	if len(entries) == 0 {
		return nil, nil
	}
	data, err := amrpack.Marshal(entries)
	if err != nil {
		return nil, err
	}
	return entries, s.objects.PutObject(ctx, revisionKey(logPrefix, entries[len(entries)-1].Revision), data)
}

// removeArchivedEntries deletes the archived entries and their tokens from the
// table and updates the head in the same transaction. It returns false and no error if
// it has not updated the head, because another process has compacted the log since
// snapshotHead was read, or because the head changes during each attempt.
func (s *Store) removeArchivedEntries(ctx context.Context, snapshotHead head, entries []amraudit.Entry) (updated bool, err error) {
	var deletes []string
	for _, entry := range entries {
		deletes = append(deletes, revisionKey(logPrefix, entry.Revision), tokenPrefix+entry.Token)
	}
	for range maxLogAttempts {
		current, err := s.head(ctx)
		if err != nil || current.Archived != snapshotHead.Archived || current.Snapshot > snapshotHead.Revision {
			return false, err
		}
		next := current
		next.Snapshot = snapshotHead.Revision
		if len(entries) > 0 {
			next.Archived = entries[len(entries)-1].Revision
		}
		put, err := next.put()
		if err != nil {
			return false, err
		}
		err = s.table.Commit(ctx, amrplatform.Txn{
			Checks:  []amrplatform.Check{current.check()},
			Puts:    []amrplatform.Put{put},
			Deletes: deletes,
		})
		if !errorx.IsOfType(err, amrplatform.Conflict) {
			return err == nil, err
		}
	}
	return false, nil
}

// deleteOldSnapshots deletes all snapshots older than the given one, except
// the last retainedSnapshots-1 of them.
func (s *Store) deleteOldSnapshots(ctx context.Context, newest uint64) error {
	keys, err := s.objects.ListObjects(ctx, snapshotPrefix, "", scanLimit)
	if err != nil {
		return err
	}
	current, _ := slices.BinarySearch(keys, revisionKey(snapshotPrefix, newest))
	for _, old := range keys[:max(0, current+1-retainedSnapshots)] {
		if err := s.objects.DeleteObject(ctx, old); err != nil {
			return err
		}
	}
	return nil
}
