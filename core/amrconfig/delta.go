package amrconfig

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrrecord"
)

// Number of recent sets that a process keeps to compute deltas for other
// processes.
const maxRecentSets = 128

// Delta contains the changes that bring a set of records up to a revision.
// Data is empty if the set already has that revision.
type Delta struct {
	Revision uint64
	Age      time.Duration // Time since the sender last knew that the revision was the newest.
	Data     []byte
}

// deltaData is the encoded form of Delta.Data. It contains either the changed
// records or all records.
type deltaData struct {
	Changes []amraudit.Change `json:"changes,omitempty"`
	All     []byte            `json:"all,omitempty"`
}

// Apply returns the set with the changes of the delta applied. It returns the
// set unchanged if the delta is not newer.
func (d Delta) Apply(set amrrecord.Set) (amrrecord.Set, error) {
	if d.Revision <= set.Revision() || len(d.Data) == 0 {
		return set, nil
	}
	var data deltaData
	if err := json.Unmarshal(d.Data, &data); err != nil {
		return set, err
	}
	if data.All != nil {
		next := set
		err := next.UnmarshalBinary(data.All)
		return next, err
	}
	next, err := replaceRecords(set, data.Changes, func(c amraudit.Change) []json.RawMessage { return c.After })
	return next.WithRevision(d.Revision), err
}

// encodeChanges returns the delta data with the differences between old and
// set. It may also be applied to a set whose revision is between the two.
func encodeChanges(old, set amrrecord.Set) ([]byte, error) {
	changes, err := diffRecords(old, set, set.Diff(old))
	if err != nil {
		return nil, err
	}
	for i := range changes {
		changes[i].Before = nil
	}
	return json.Marshal(deltaData{Changes: changes})
}

// FullDelta returns a delta with all records of the set, which can be applied
// to any older set. Its age is the maximum, because it is unknown whether the
// set is the newest.
func FullDelta(set amrrecord.Set) (Delta, error) {
	data, err := encodeAll(set)
	return Delta{Revision: set.Revision(), Age: math.MaxInt64, Data: data}, err
}

// encodeAll returns the delta data with all records of the set.
func encodeAll(set amrrecord.Set) ([]byte, error) {
	all, err := set.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return json.Marshal(deltaData{All: all})
}

// recentSets holds the newest sets in ascending order of their revisions.
type recentSets []amrrecord.Set

// with returns the sets with a newer one appended. It drops the oldest one if
// there are too many.
func (r recentSets) with(set amrrecord.Set) recentSets {
	if len(r) == maxRecentSets {
		r = r[1:]
	}
	return append(slices.Clip(r), set)
}

// revision returns the newest revision, or 0 if there are no sets.
func (r recentSets) revision() uint64 {
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1].Revision()
}

// covers reports whether the changes since the revision can be computed from
// the sets.
func (r recentSets) covers(revision uint64) bool {
	return len(r) > 0 && r[0].Revision() <= revision
}

// encodeSince returns the delta data with the changes since the revision,
// which the sets must cover.
func (r recentSets) encodeSince(since uint64) ([]byte, error) {
	i := len(r) - 1
	for r[i].Revision() > since {
		i--
	}
	return encodeChanges(r[i], r[len(r)-1])
}
