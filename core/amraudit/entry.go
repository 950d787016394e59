// Package amraudit keeps the trail of who changed which records, when, from
// where and why. Each entry carries the digest of the one before it, so that a
// missing or edited entry shows.
package amraudit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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

// Change is what an entry did to one record.
type Change struct {
	Record string          `json:"record"`           // Kind and name.
	Before json.RawMessage `json:"before,omitempty"` // Nothing for a new record.
	After  json.RawMessage `json:"after,omitempty"`  // Nothing for a deleted record.
}

// Sealed returns the entry with the digests that chain it to the one before.
func (e Entry) Sealed(previous string) (Entry, error) {
	e.Previous = previous
	digest, err := e.digest()
	e.Digest = digest
	return e, err
}

// Verify checks that the entry is what was sealed and that it follows an entry
// of the given digest and revision.
func (e Entry) Verify(revision uint64, digest string) error {
	if e.Revision != revision+1 {
		return Gap.New("entry %d follows entry %d; restore the entries between them from a backup of the platform's services", e.Revision, revision)
	}
	own, err := e.digest()
	if err != nil {
		return err
	}
	if own != e.Digest {
		return Edited.New("entry %d was changed after it was written; compare it with a backup and find who can write to the table", e.Revision)
	}
	if e.Previous != digest {
		return Edited.New("entry %d does not follow the entry %d that stands before it; compare both with a backup", e.Revision, revision)
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
