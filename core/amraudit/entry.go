// Package amraudit defines the entries of the audit trail, which records who changed
// which records, when, from where and why. Each entry holds the digest of the entry
// before it, so that missing or edited entries are detected.
package amraudit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"
)

// Entry describes one accepted change. It is an immutable value. Its digest is
// computed from its JSON encoding.
type Entry struct {
	Revision uint64    `json:"revision"`
	When     time.Time `json:"when"`
	Who      string    `json:"who"`
	From     string    `json:"from"` // Network address that the change was sent from.
	Reason   string    `json:"reason"`
	Token    string    `json:"token"` // Identifies the change, so that it is applied once.
	Changes  []Change  `json:"changes"`
	Previous string    `json:"previous"` // Digest of the preceding entry; empty in the first entry.
	Digest   string    `json:"digest"`
}

// Change describes the change of one record by its documents before and after the
// change. There are several documents while several variants of the record are in
// force side by side, such as an old and a new one during a rollout.
type Change struct {
	Record string            `json:"record"` // Kind and name, separated by a slash.
	Before []json.RawMessage `json:"before,omitempty"`
	After  []json.RawMessage `json:"after,omitempty"`
}

// WithDigests returns the entry with its digests set. The argument is the
// digest of the preceding entry.
func (e Entry) WithDigests(previous string) (Entry, error) {
	e.Previous = previous
	digest, err := e.digest()
	e.Digest = digest
	return e, err
}

// verify checks that the entry has not been edited since its digest was computed, and
// that it is the next entry of the chain.
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

// digest returns the SHA-256 digest, in hexadecimal digits, of the entry's JSON
// encoding with an empty digest and the time in UTC.
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

// Changed reports whether the entry changed the record, given as in Change.Record.
func (e Entry) Changed(record string) bool {
	return slices.ContainsFunc(e.Changes, func(c Change) bool { return c.Record == record })
}
