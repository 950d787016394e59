package amrfollow

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
)

// Copy is a copy of a table's rows in memory. It is safe for concurrent use.
type Copy struct {
	mu          sync.Mutex
	rows        map[string]Row
	version     uint64        // Newest version that the copy covers.
	lastContact time.Time     // When the table itself last responded.
	tableNow    time.Duration // Reading of the table's clock at that time.
}

func newCopy() *Copy {
	return &Copy{rows: make(map[string]Row)}
}

// Rows returns all rows in ascending order of their keys.
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

// Version returns the newest version that the copy covers, or 0 if the copy has
// never been filled.
func (c *Copy) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// LastContact returns the time of the last response of the table itself. Copies
// read from replicas do not count.
func (c *Copy) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact
}

// recordContact records that the table has responded at the time now, when its
// clock read tableNow.
func (c *Copy) recordContact(now time.Time, tableNow time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = now
	c.tableNow = tableNow
}

// TableNow returns an estimate of the reading of the table's clock at the time
// now, on the assumption that it runs as fast as the local clock.
func (c *Copy) TableNow(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tableNow + now.Sub(c.lastContact)
}

// merge applies a batch and returns the rows that it changed. If the batch is
// complete, merge also deletes the rows that it lacks. A batch that is older than
// the copy is not accepted and changes nothing.
func (c *Copy) merge(batch Batch, complete bool) (changed []Row, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if batch.Version < c.version {
		return nil, false
	}
	c.version = batch.Version
	if complete {
		changed = c.deleteMissing(batch)
	}
	for _, row := range batch.Rows {
		if c.put(row) {
			changed = append(changed, row)
		}
	}
	return changed, true
}

// put applies a row unless the copy has the same or a newer version of it. It
// reports whether the copy was changed.
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

// deleteMissing deletes the rows that the batch lacks and returns their
// deletions.
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
