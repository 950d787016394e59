package amrconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrrecord"
)

// Change is an amendment that is applied whole or not at all. What it deletes
// goes before what it puts.
type Change struct {
	Token  string // Identifies the change; applied again it has no effect. Empty for a new one.
	Base   uint64 // Revision the writer saw; 0 to write over whatever stands.
	Put    []amrrecord.Record
	Delete []amrrecord.ID
	Who    string
	From   string // Address that the change comes from.
	Reason string
}

// Preview returns what the change would do to the set, record by record, and
// whether the records would be valid. It leaves out records that stay as they
// are.
func (c Change) Preview(set amrrecord.Set) ([]amraudit.Change, error) {
	next := set.Without(c.Delete...).With(c.Put...)
	changes, err := differences(set, next, c.ids())
	if err != nil {
		return nil, err
	}
	return changes, c.validate(next)
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

// ids returns the identities that the change touches, each once.
func (c Change) ids() []amrrecord.ID {
	ids := slices.Clone(c.Delete)
	seen := map[amrrecord.ID]bool{}
	for _, r := range c.Put {
		ids = append(ids, r.ID())
	}
	return slices.DeleteFunc(ids, func(id amrrecord.ID) bool {
		twice := seen[id]
		seen[id] = true
		return twice
	})
}

// validate checks the changed records of the set, and that no record that is in
// force anywhere refers to one that was deleted.
func (c Change) validate(set amrrecord.Set) error {
	var errs []error
	for _, r := range c.Put {
		errs = append(errs, amrrecord.ValidateRecord(r), set.ValidateReferences(r))
	}
	if len(c.Delete) > 0 {
		for _, r := range set.Variants() {
			if inForce, _ := set.Get(r.ID()); !r.Rollout.IsZero() || r.SchemaVersion == inForce.SchemaVersion {
				errs = append(errs, set.ValidateReferences(r))
			}
		}
	}
	return errors.Join(errs...)
}

func differences(before, after amrrecord.Set, ids []amrrecord.ID) ([]amraudit.Change, error) {
	var changes []amraudit.Change
	for _, id := range ids {
		old, err := documents(before, id)
		if err != nil {
			return nil, err
		}
		now, err := documents(after, id)
		if err != nil {
			return nil, err
		}
		if !slices.EqualFunc(old, now, func(a, b json.RawMessage) bool { return bytes.Equal(a, b) }) {
			changes = append(changes, amraudit.Change{Record: id.String(), Before: old, After: now})
		}
	}
	return changes, nil
}

func documents(set amrrecord.Set, id amrrecord.ID) ([]json.RawMessage, error) {
	var all []json.RawMessage
	for _, r := range set.Variants(id) {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, err
		}
		all = append(all, data)
	}
	return all, nil
}

// redo returns the set after the entry.
func redo(set amrrecord.Set, entry amraudit.Entry) (amrrecord.Set, error) {
	set, err := replace(set, entry.Changes, func(c amraudit.Change) []json.RawMessage { return c.After })
	if err != nil {
		return set, fmt.Errorf("revision %d: %w", entry.Revision, err)
	}
	return set.WithRevision(entry.Revision), nil
}

// undo returns the set before the entry.
func undo(set amrrecord.Set, entry amraudit.Entry) (amrrecord.Set, error) {
	set, err := replace(set, entry.Changes, func(c amraudit.Change) []json.RawMessage { return c.Before })
	if err != nil {
		return set, fmt.Errorf("revision %d: %w", entry.Revision, err)
	}
	return set.WithRevision(entry.Revision - 1), nil
}

func replace(set amrrecord.Set, changes []amraudit.Change, side func(amraudit.Change) []json.RawMessage) (amrrecord.Set, error) {
	var gone []amrrecord.ID
	var put []amrrecord.Record
	for _, change := range changes {
		gone = append(gone, amrrecord.ParseID(change.Record))
		for _, data := range side(change) {
			var r amrrecord.Record
			if err := json.Unmarshal(data, &r); err != nil {
				return set, err
			}
			put = append(put, r)
		}
	}
	return set.Without(gone...).With(put...), nil
}
