package amrfollow

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
)

// Copy is a copy of a table's rows. It is safe for concurrent use.
type Copy struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	touched time.Time
	now     time.Duration // Of the table's clock, when touched.
}

func newCopy() *Copy {
	return &Copy{rows: make(map[string]Row)}
}

// Rows returns all rows by key.
func (c *Copy) Rows() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]Row, 0, len(c.rows))
	for _, row := range c.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// Version returns the newest version that the copy covers.
func (c *Copy) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Touched returns when the table itself last answered.
func (c *Copy) Touched() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.touched
}

func (c *Copy) touch(now time.Time, tableNow time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.touched = now
	c.now = tableNow
}

// TableNow estimates what the table's clock shows now.
func (c *Copy) TableNow(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now + now.Sub(c.touched)
}

// merge takes in a batch and returns the rows that it changed. A whole batch
// also deletes the rows that it does not have. A batch older than the copy is
// not accepted.
func (c *Copy) merge(batch Batch, whole bool) (changed []Row, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if batch.Version < c.version {
		return nil, false
	}
	c.version = batch.Version
	if whole {
		changed = c.deleteMissing(batch)
	}
	for _, row := range batch.Rows {
		if c.put(row) {
			changed = append(changed, row)
		}
	}
	return changed, true
}

func (c *Copy) put(row Row) bool {
	old, ok := c.rows[row.Key]
	if ok && old.Version >= row.Version {
		return false
	}
	if row.Deleted {
		delete(c.rows, row.Key)
		return ok
	}
	c.rows[row.Key] = row
	return !ok || !bytes.Equal(old.Value, row.Value) || old.Version != row.Version
}

func (c *Copy) deleteMissing(batch Batch) []Row {
	present := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		present[row.Key] = !row.Deleted
	}
	var deleted []Row
	for key := range c.rows {
		if !present[key] {
			deleted = append(deleted, Row{Key: key, Version: batch.Version, Deleted: true})
			delete(c.rows, key)
		}
	}
	slices.SortFunc(deleted, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return deleted
}
