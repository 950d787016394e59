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
	logPrefix      = "config/log/"      // Log entries in the table, archives of them in the object store.
	tokenPrefix    = "config/token/"    // Revision of each change, by its token.
	snapshotPrefix = "config/snapshot/" // Whole sets, in the object store.
)

// head is the newest revision and the way to the records.
type head struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`   // Of the log entry of the revision.
	Snapshot uint64 `json:"snapshot"` // Revision of the newest snapshot; 0 for none.
	Archived uint64 `json:"archived"` // Last revision whose log entry left the table.

	version uint64 // Of the item.
}

func (s *Store) head(ctx context.Context) (head, error) {
	item, err := s.table.Get(ctx, headKey)
	if errorx.IsOfType(err, amrplatform.NotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	h := head{version: item.Version}
	err = json.Unmarshal(item.Value, &h)
	return h, err
}

func (h head) put() (amrplatform.Put, error) {
	value, err := json.Marshal(h)
	return amrplatform.Put{Key: headKey, Value: value}, err
}

func (h head) check() amrplatform.Check {
	return amrplatform.Check{Key: headKey, Version: h.version}
}

// key returns the key of the revision under the prefix. Keys stand in the
// order of their revisions.
func key(prefix string, revision uint64) string {
	return fmt.Sprintf("%s%020d", prefix, revision)
}
