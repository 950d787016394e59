package amrconfig

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrplatform"
)

const (
	headKey        = "config/head"
	logPrefix      = "config/log/"      // Log entries in the table and archives of log entries in the object store, by revision.
	tokenPrefix    = "config/token/"    // Revision of each change whose log entry is in the table, by the token of the change.
	snapshotPrefix = "config/snapshot/" // Snapshots in the object store, by revision.
)

// head is the table item that names the newest revision and the newest
// snapshot.
type head struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`   // Digest of the revision's log entry.
	Snapshot uint64 `json:"snapshot"` // Revision of the newest snapshot; 0 if there is none.
	Archived uint64 `json:"archived"` // Last revision whose log entry was moved from the table to an archive.

	itemVersion uint64 // Version of the table item; 0 if it does not exist.
}

// head reads the head. It returns the zero head if no change was ever applied.
func (s *Store) head(ctx context.Context) (head, error) {
	item, err := s.table.Get(ctx, headKey)
	if errorx.IsOfType(err, amrplatform.NotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	h := head{itemVersion: item.Version}
	err = json.Unmarshal(item.Value, &h)
	return h, err
}

// put returns the write of the head for a transaction.
func (h head) put() (amrplatform.Put, error) {
	value, err := json.Marshal(h)
	return amrplatform.Put{Key: headKey, Value: value}, err
}

// check returns the condition that the head has not changed since it was read.
func (h head) check() amrplatform.Check {
	return amrplatform.Check{Key: headKey, Version: h.itemVersion}
}

// revisionKey returns the key of the revision under the prefix. The lexical
// order of the keys is the order of the revisions.
func revisionKey(prefix string, revision uint64) string {
	return fmt.Sprintf("%s%020d", prefix, revision)
}
