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

// Change is a modification of records that is applied atomically. Delete is
// applied before Put.
type Change struct {
	Token         string // Identifies the change, so that it is applied only once. If empty, Apply generates one.
	Base          uint64 // Revision on which the change is based; 0 disables the check for conflicts.
	Put           []amrrecord.Record
	Delete        []amrrecord.ID
	Author        string // Who made the change; amraudit.Entry.Who in the audit trail.
	SourceAddress string // Network address that the change was sent from; amraudit.Entry.From in the audit trail.
	Reason        string
}

// Preview returns the effect of the change on the set, with one entry for each
// record that it modifies. It also returns an error if the modified records
// would be invalid.
func (c Change) Preview(set amrrecord.Set) ([]amraudit.Change, error) {
	next := set.Without(c.Delete...).With(c.Put...)
	changes, err := diffRecords(set, next, c.ids())
	if err != nil {
		return nil, err
	}
	return changes, c.validate(next)
}

// checkAuthor checks that the change has an author and a reason, which the
// audit trail requires.
func (c Change) checkAuthor() error {
	switch {
	case c.Author == "":
		return InvalidRequest.New("the change does not say who makes it; set who")
	case c.Reason == "":
		return InvalidRequest.New("the change gives no reason; set reason")
	default:
		return nil
	}
}

// ids returns the IDs of all records that the change puts or deletes, each
// once.
func (c Change) ids() []amrrecord.ID {
	ids := slices.Clone(c.Delete)
	seen := map[amrrecord.ID]bool{}
	for _, r := range c.Put {
		ids = append(ids, r.ID())
	}
	return slices.DeleteFunc(ids, func(id amrrecord.ID) bool {
		duplicate := seen[id]
		seen[id] = true
		return duplicate
	})
}

// validate checks the records that the change puts into the set. If the change
// deletes records, it also checks that no variant in force anywhere refers to
// a deleted record.
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

// diffRecords returns a change for each of the IDs whose variants differ
// between the two sets.
func diffRecords(before, after amrrecord.Set, ids []amrrecord.ID) ([]amraudit.Change, error) {
	var changes []amraudit.Change
	for _, id := range ids {
		old, err := marshalVariants(before, id)
		if err != nil {
			return nil, err
		}
		now, err := marshalVariants(after, id)
		if err != nil {
			return nil, err
		}
		if !slices.EqualFunc(old, now, func(a, b json.RawMessage) bool { return bytes.Equal(a, b) }) {
			changes = append(changes, amraudit.Change{Record: id.String(), Before: old, After: now})
		}
	}
	return changes, nil
}

// marshalVariants returns the JSON encodings of the record's variants.
func marshalVariants(set amrrecord.Set, id amrrecord.ID) ([]json.RawMessage, error) {
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

// applyEntry returns the set after the log entry.
func applyEntry(set amrrecord.Set, entry amraudit.Entry) (amrrecord.Set, error) {
	set, err := replaceRecords(set, entry.Changes, func(c amraudit.Change) []json.RawMessage { return c.After })
	if err != nil {
		return set, fmt.Errorf("revision %d: %w", entry.Revision, err)
	}
	return set.WithRevision(entry.Revision), nil
}

// revertEntry returns the set before the log entry.
func revertEntry(set amrrecord.Set, entry amraudit.Entry) (amrrecord.Set, error) {
	set, err := replaceRecords(set, entry.Changes, func(c amraudit.Change) []json.RawMessage { return c.Before })
	if err != nil {
		return set, fmt.Errorf("revision %d: %w", entry.Revision, err)
	}
	return set.WithRevision(entry.Revision - 1), nil
}

// replaceRecords returns the set with the variants of each changed record
// replaced by those that documentsOf selects from the change.
func replaceRecords(set amrrecord.Set, changes []amraudit.Change, documentsOf func(amraudit.Change) []json.RawMessage) (amrrecord.Set, error) {
	var removed []amrrecord.ID
	var put []amrrecord.Record
	for _, change := range changes {
		removed = append(removed, amrrecord.ParseID(change.Record))
		for _, data := range documentsOf(change) {
			var r amrrecord.Record
			if err := json.Unmarshal(data, &r); err != nil {
				return set, err
			}
			put = append(put, r)
		}
	}
	return set.Without(removed...).With(put...), nil
}
