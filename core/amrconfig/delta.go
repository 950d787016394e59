package amrconfig

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrrecord"
)

// Sets that a process keeps to tell what changed since.
const keptSets = 128

// Delta brings a set of records up to a revision. Data is empty when there is
// nothing newer.
type Delta struct {
	Revision uint64
	Age      time.Duration // Time since the revision was known to be the newest.
	Data     []byte
}

// deltaWire is the data of a delta: either what changed or all records.
type deltaWire struct {
	Changes []amraudit.Change `json:"changes,omitempty"`
	All     []byte            `json:"all,omitempty"`
}

// Apply returns the set brought up to the revision of the delta. A delta that
// is not newer leaves the set as it is.
func (d Delta) Apply(set amrrecord.Set) (amrrecord.Set, error) {
	if d.Revision <= set.Revision() || len(d.Data) == 0 {
		return set, nil
	}
	var w deltaWire
	if err := json.Unmarshal(d.Data, &w); err != nil {
		return set, err
	}
	if w.All != nil {
		next := set
		err := next.UnmarshalBinary(w.All)
		return next, err
	}
	next, err := replace(set, w.Changes, func(c amraudit.Change) []json.RawMessage { return c.After })
	return next.WithRevision(d.Revision), err
}

// deltaOf returns the data that brings the set old, or a newer one, up to set.
func deltaOf(old, set amrrecord.Set) ([]byte, error) {
	changes, err := differences(old, set, set.Changed(old))
	if err != nil {
		return nil, err
	}
	for i := range changes {
		changes[i].Before = nil
	}
	return json.Marshal(deltaWire{Changes: changes})
}

// Whole returns the delta that brings any set up to set. Nobody knows whether
// it is the newest.
func Whole(set amrrecord.Set) (Delta, error) {
	data, err := wholeOf(set)
	return Delta{Revision: set.Revision(), Age: math.MaxInt64, Data: data}, err
}

// wholeOf returns the data that brings any set up to set.
func wholeOf(set amrrecord.Set) ([]byte, error) {
	all, err := set.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return json.Marshal(deltaWire{All: all})
}

// recent holds the newest sets, in the order of their revisions.
type recent []amrrecord.Set

// with returns the sets with a newer one.
func (r recent) with(set amrrecord.Set) recent {
	if len(r) == keptSets {
		r = r[1:]
	}
	return append(slices.Clip(r), set)
}

// revision returns the newest revision, or 0.
func (r recent) revision() uint64 {
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1].Revision()
}

// reaches reports whether the sets tell what changed since the revision.
func (r recent) reaches(revision uint64) bool {
	return len(r) > 0 && r[0].Revision() <= revision
}

// data returns what brings a set of the revision, which the sets reach, up to
// the newest one.
func (r recent) data(above uint64) ([]byte, error) {
	i := len(r) - 1
	for r[i].Revision() > above {
		i--
	}
	return deltaOf(r[i], r[len(r)-1])
}
