package amrrecord

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/xxh3"
)

// Rollout keeps a record in force beside the one that it will replace, for
// some availability zones, for a share of the requests, or for both together.
// The zero value is a record that is in force everywhere.
type Rollout struct {
	Share             int      `json:"share,omitempty" yaml:"share,omitempty"` // In percent of requests; 0 means all.
	AvailabilityZones []string `json:"availability-zones,omitempty" yaml:"availability-zones,omitempty"`
}

// IsZero reports whether the record is in force everywhere.
func (r Rollout) IsZero() bool {
	return r.Share == 0 && len(r.AvailabilityZones) == 0
}

// inZone reports whether the availability zone takes part.
func (r Rollout) inZone(zone string) bool {
	return len(r.AvailabilityZones) == 0 || slices.Contains(r.AvailabilityZones, zone)
}

// partial reports whether only a share of the requests takes part.
func (r Rollout) partial() bool {
	return r.Share > 0 && r.Share < 100
}

// takes reports whether the request takes part. A request takes part in a
// larger share whenever it does in a smaller one.
func (r Rollout) takes(id ID, request string) bool {
	return int(xxh3.HashString(id.String()+"\x00"+request)%100) < r.Share
}

// opaque is a spec of a schema version that this program does not know. It is
// kept and passed on as it is.
type opaque struct {
	of   Kind
	data json.RawMessage
}

func (o opaque) kind() Kind { return o.of }

func (opaque) problems() []problem { return nil }

// Known reports whether this program knows the schema version of the record.
func (r Record) Known() bool {
	_, unknown := r.Spec.(opaque)
	return !unknown
}

// variants holds the records of one identity: those in force everywhere in the
// order of their schema versions, then the one that is being rolled out.
type variants []Record

// with returns the variants after r was written. A record that is in force
// everywhere replaces all but those of older schema versions, which stay for
// programs that do not know the newer one.
func (v variants) with(r Record) variants {
	var next variants
	for _, old := range v {
		older := old.Rollout.IsZero() && old.schemaVersion() < r.schemaVersion()
		kept := !r.Rollout.IsZero() && old.Rollout.IsZero()
		if older || kept {
			next = append(next, old)
		}
	}
	return append(next, r)
}

// settled returns the newest record that is known and in force everywhere.
func (v variants) settled() (Record, bool) {
	for _, r := range slices.Backward(v) {
		if r.Rollout.IsZero() && r.Known() {
			return r, true
		}
	}
	return Record{}, false
}

// rolling returns the record that is being rolled out, if it is known.
func (v variants) rolling() (Record, bool) {
	if len(v) == 0 {
		return Record{}, false
	}
	last := v[len(v)-1]
	return last, !last.Rollout.IsZero() && last.Known()
}

// inForce returns the record that is in force in the availability zone for all
// requests.
func (v variants) inForce(zone string) (Record, bool) {
	if r, ok := v.rolling(); ok && r.Rollout.inZone(zone) && !r.Rollout.partial() {
		return r, true
	}
	return v.settled()
}
