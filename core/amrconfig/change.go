package amrconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrrecord"
)

// Change is an amendment that is applied whole or not at all.
type Change struct {
	Token  string // Identifies the change; applied again it has no effect. Empty for a new one.
	Base   uint64 // Revision the writer saw; 0 to write over whatever stands.
	Put    []amrrecord.Record
	Delete []amrrecord.ID
	Who    string
	From   string
	Reason string
}

func (c Change) check() error {
	switch {
	case c.Who == "":
		return Incomplete.New("the change does not say who makes it; set who")
	case c.Reason == "":
		return Incomplete.New("the change gives no reason; set reason")
	default:
		return nil
	}
}

func (c Change) ids() map[string]bool {
	ids := map[string]bool{}
	for _, r := range c.Put {
		ids[r.ID().String()] = true
	}
	for _, id := range c.Delete {
		ids[id.String()] = true
	}
	return ids
}

// validate checks the changed records of the set, and that no record refers to
// one that was deleted.
func (c Change) validate(set amrrecord.Set) error {
	var errs []error
	for _, r := range c.Put {
		errs = append(errs, amrrecord.ValidateRecord(r), set.ValidateReferences(r))
	}
	if len(c.Delete) > 0 {
		for _, r := range set.Records() {
			errs = append(errs, set.ValidateReferences(r))
		}
	}
	return errors.Join(errs...)
}

// differences returns what the change does to the set, without the records
// that stay as they are.
func (c Change) differences(set amrrecord.Set) ([]amraudit.Change, error) {
	var changes []amraudit.Change
	for _, r := range c.Put {
		after, err := json.Marshal(r)
		if err != nil {
			return nil, err
		}
		before, err := document(set, r.ID())
		if err != nil {
			return nil, err
		}
		if !bytes.Equal(before, after) {
			changes = append(changes, amraudit.Change{Record: r.ID().String(), Before: before, After: after})
		}
	}
	for _, id := range c.Delete {
		before, err := document(set, id)
		if err != nil {
			return nil, err
		}
		if before != nil {
			changes = append(changes, amraudit.Change{Record: id.String(), Before: before})
		}
	}
	return changes, nil
}

func document(set amrrecord.Set, id amrrecord.ID) (json.RawMessage, error) {
	r, ok := set.Get(id)
	if !ok {
		return nil, nil
	}
	return json.Marshal(r)
}

// replay returns the set after the entry.
func replay(set amrrecord.Set, entry amraudit.Entry) (amrrecord.Set, error) {
	var put []amrrecord.Record
	var remove []amrrecord.ID
	for _, change := range entry.Changes {
		if change.After == nil {
			kind, name, _ := strings.Cut(change.Record, "/")
			remove = append(remove, amrrecord.ID{Kind: amrrecord.Kind(kind), Name: name})
			continue
		}
		var r amrrecord.Record
		if err := json.Unmarshal(change.After, &r); err != nil {
			return set, fmt.Errorf("revision %d: %w", entry.Revision, err)
		}
		put = append(put, r)
	}
	return set.With(put...).Without(remove...).WithRevision(entry.Revision), nil
}
