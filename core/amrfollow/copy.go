package amrfollow

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"
)

const (
	// maxTombstones is the maximum number of deleted rows that a copy remembers.
	maxTombstones = 1024

	// maxDeletions is the maximum number of deletions in the history of a copy.
	maxDeletions = 256
)

// Copy is a copy of a table's rows in memory. It is safe for concurrent use.
type Copy struct {
	mu          sync.Mutex
	rows        map[string]Row
	tombstones  *simplelru.LRU[string, Row] // Last states of deleted rows, by key.
	position    Position                    // Newest position that the copy covers.
	lastContact time.Time                   // When the table itself last responded.
	tableNow    time.Duration               // Reading of the table's clock at lastContact.
	reading     Reading                     // In the last response that was not partial.
	readAt      time.Time                   // Time of that response.

	deletions []Row         // Latest deletions, oldest first.
	since     uint64        // Version from which on deletions has all deletions.
	changed   chan struct{} // Closed when rows change next.
}

func newCopy() *Copy {
	tombstones, err := simplelru.NewLRU[string, Row](maxTombstones, nil)
	if err != nil {
		panic(err) // Happens only for a size that is not positive.
	}
	return &Copy{rows: make(map[string]Row), tombstones: tombstones, changed: make(chan struct{})}
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

// Row returns the row with the key, and whether there is one.
func (c *Copy) Row(key string) (Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, ok := c.rows[key]
	return row, ok
}

// Position returns the newest position that the copy covers, or the zero Position
// if the copy has never been filled.
func (c *Copy) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// Filled reports whether the copy has ever been filled.
func (c *Copy) Filled() bool {
	return c.Position().Version > 0
}

// LastContact returns the time of the last response of the table itself. Copies
// read from replicas do not count.
func (c *Copy) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact
}

// recordContact records that a batch of the source has arrived at the time now.
func (c *Copy) recordContact(now time.Time, batch Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = now.Add(-batch.Age)
	c.tableNow = batch.Now - batch.Age
	if !batch.Partial {
		c.reading, c.readAt = Reading{Position: batch.Position, Now: c.tableNow}, c.lastContact
	}
}

// Reading returns the reading of the table's clock in the last response of the table itself
// that was not partial, or the zero Reading if there was none.
func (c *Copy) Reading() Reading {
	reading, _ := c.lastReading()
	return reading
}

// lastReading returns what Reading does, and the time of the response.
func (c *Copy) lastReading() (reading Reading, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading, c.readAt
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
// the copy is not accepted and changes nothing, and neither is an incomplete batch
// of a new era.
func (c *Copy) merge(batch Batch, complete bool) (changed []Row, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newEra := batch.Era > c.position.Era
	if batch.Compare(c.position) < 0 || newEra && !complete {
		return nil, false
	}
	c.position = batch.Position
	if complete {
		changed = c.deleteMissing(batch, newEra)
	}
	for _, row := range batch.Rows {
		if c.put(row, newEra) {
			changed = append(changed, row)
		}
	}
	c.recordHistory(changed, newEra)
	return changed, true
}

// put applies a row unless the copy has the same or a newer version of it, or has
// deleted this version. It reports whether the copy was changed. In a new era the
// versions of rows say nothing; then put applies every row, and reports a change if
// the value differs.
func (c *Copy) put(row Row, newEra bool) bool {
	old, ok := c.rows[row.Key]
	if ok && old.Version >= row.Version && !newEra {
		return false
	}
	if row.Deleted {
		if ok {
			c.tombstones.Add(row.Key, old)
			delete(c.rows, row.Key)
		}
		return ok
	}
	if c.isDeleted(row) {
		return false
	}
	c.rows[row.Key] = row
	c.tombstones.Remove(row.Key)
	return !ok || !bytes.Equal(old.Value, row.Value) || old.Version != row.Version && !newEra
}

// isDeleted reports whether the copy has deleted this very state of a row. A table
// that was restored from an older copy returns it again until the deletion, or
// another state of the row, is written anew.
func (c *Copy) isDeleted(row Row) bool {
	tombstone, ok := c.tombstones.Peek(row.Key)
	return ok && tombstone.Version == row.Version && bytes.Equal(tombstone.Value, row.Value)
}

// deleteMissing deletes the rows that the batch lacks and returns their
// deletions. Rows that are missing because the table was restored have not been
// deleted by their writers, so that these may write them again as they were.
func (c *Copy) deleteMissing(batch Batch, restored bool) []Row {
	present := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		present[row.Key] = !row.Deleted
	}
	var deleted []Row
	for key, row := range c.rows {
		if present[key] {
			continue
		}
		deleted = append(deleted, Row{Key: key, Version: batch.Version, Deleted: true})
		delete(c.rows, key)
		if !restored {
			c.tombstones.Add(key, row)
		}
	}
	slices.SortFunc(deleted, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return deleted
}

// recordHistory records the changes that a batch made, and wakes those who wait for
// changes. The caller must hold c.mu.
func (c *Copy) recordHistory(changed []Row, newEra bool) {
	if newEra || c.since == 0 {
		c.deletions, c.since = nil, c.position.Version
	}
	for _, row := range changed {
		if row.Deleted {
			c.deletions = append(c.deletions, row)
		}
	}
	if n := len(c.deletions) - maxDeletions; n > 0 {
		c.since = c.deletions[n-1].Version
		c.deletions = slices.Clone(c.deletions[n:])
	}
	if len(changed) > 0 || newEra {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed when rows change next.
func (c *Copy) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Changes returns the rows that changed after the position, as a batch without its
// times. The batch has no rows if the copy has another era. If the copy no longer has all
// deletions after the position, the batch has the digest of the keys.
func (c *Copy) Changes(after Position) Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := Batch{Position: c.position}
	if after.Era != c.position.Era {
		return batch
	}
	if after.Version < c.since {
		batch.Keys = c.keys()
	}
	for _, row := range c.rows {
		if row.Version > after.Version {
			batch.Rows = append(batch.Rows, row)
		}
	}
	for _, row := range c.deletions {
		if row.Version > after.Version {
			batch.Rows = append(batch.Rows, row)
		}
	}
	slices.SortFunc(batch.Rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key)) })
	return batch
}

// KeysDigest is a digest of the keys of all rows, which tells whether a copy lacks
// deletions. The zero value stands for no digest.
type KeysDigest uint64

// keys returns the digest of the keys. It does not depend on their order. The caller
// must hold c.mu.
func (c *Copy) keys() KeysDigest {
	sum := uint64(len(c.rows))
	for key := range c.rows {
		sum += xxh3.HashString(key)
	}
	return KeysDigest(max(sum, 1))
}

// lacksDeletions reports whether the copy has other keys than the digest says.
func (c *Copy) lacksDeletions(digest KeysDigest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return digest != 0 && digest != c.keys()
}
