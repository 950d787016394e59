package amrreplica

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"sync"

	"amaranthreach.example/core/amrfollow"
)

// bodies holds the last compressed bodies of responses for a table: the one with all
// rows, and the one with changes. Routers ask for the same ones at the same time. The
// zero value is ready to use.
type bodies struct {
	mu      sync.Mutex
	all     body
	changes body
}

// body is the compressed body of a response.
type body struct {
	from, to amrfollow.Position // It has the changes from one position to the other; all rows if from is zero.
	data     []byte
}

// snapshot returns the body with all rows of the copy, and the position that it covers.
func (b *bodies) snapshot(c *amrfollow.Copy) ([]byte, amrfollow.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	position := c.Position() // The rows may be newer than that, which does no harm.
	if b.all.data == nil || b.all.to != position {
		b.all = body{to: position, data: compress(c.Rows())}
	}
	return b.all.data, position
}

// changesAfter returns the body with the changes after a position.
func (b *bodies) changesAfter(after amrfollow.Position, changes amrfollow.Batch) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changes.data == nil || b.changes.from != after || b.changes.to != changes.Position {
		b.changes = body{from: after, to: changes.Position, data: compress(changes.Rows)}
	}
	return b.changes.data
}

// compress returns the rows as compressed JSON.
func compress(rows []amrfollow.Row) []byte {
	var data bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&data, gzip.BestSpeed)
	if err != nil {
		panic(err) // Happens only for a level that does not exist.
	}
	if err := json.NewEncoder(compressor).Encode(rowsWire(rows)); err != nil {
		panic(err) // Rows can always be encoded.
	}
	if err := compressor.Close(); err != nil {
		panic(err) // A buffer accepts all writes.
	}
	return data.Bytes()
}
