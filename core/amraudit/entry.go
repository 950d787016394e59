// Package amraudit keeps the trail of who changed which records, when, from
// where and why. Each entry carries the digest of the one before it, so that a
// missing or edited entry shows.
package amraudit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"
)

// Entry describes one accepted change. It is an immutable value.
type Entry struct {
	Revision uint64    `json:"revision"`
	When     time.Time `json:"when"`
	Who      string    `json:"who"`
	From     string    `json:"from"` // Address that the change came from.
	Reason   string    `json:"reason"`
	Token    string    `json:"token"` // Identifies the write.
	Changes  []Change  `json:"changes"`
	Previous string    `json:"previous"` // Digest of the entry before; empty for the first.
	Digest   string    `json:"digest"`
}

// Change is what an entry did to one record: the documents that stood under
// its identity before and after. There are several while old and new versions
// are in force side by side.
type Change struct {
	Record string            `json:"record"` // Kind and name.
	Before []json.RawMessage `json:"before,omitempty"`
	After  []json.RawMessage `json:"after,omitempty"`
}

// Sealed returns the entry with the digests that chain it to the one before.
func (e Entry) Sealed(previous string) (Entry, error) {
	e.Previous = previous
	digest, err := e.digest()
	e.Digest = digest
	return e, err
}

// verify checks that the entry is what was sealed and that it follows the
// chain.
func (e Entry) verify(c Chain) error {
	if e.Revision != c.Revision+1 {
		return Gap.New("entry %d follows entry %d; restore the entries between them from a backup", e.Revision, c.Revision)
	}
	own, err := e.digest()
	if err != nil {
		return err
	}
	if own != e.Digest {
		return Edited.New("entry %d was changed after it was written; compare it with a backup and find out who can write to the table", e.Revision)
	}
	if e.Previous != c.Digest {
		return Edited.New("entry %d does not follow the entry %d that stands before it; compare both with a backup", e.Revision, c.Revision)
	}
	return nil
}

func (e Entry) digest() (string, error) {
	e.Digest = ""
	e.When = e.When.UTC()
	data, err := json.Marshal(e)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Touches reports whether the entry changed the record of the kind and name.
func (e Entry) Touches(record string) bool {
	return slices.ContainsFunc(e.Changes, func(c Change) bool { return c.Record == record })
}
