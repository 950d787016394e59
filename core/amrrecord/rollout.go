package amrrecord

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/xxh3"
)

// Rollout limits a new variant of a record to some availability zones, to a
// share of the requests, or to both, while the previous variant stays in force
// for the rest. The zero value means that the record is in force everywhere.
type Rollout struct {
	Share             int      `json:"share,omitempty" yaml:"share,omitempty"`                           // Percentage of the requests; 0 means all.
	AvailabilityZones []string `json:"availability-zones,omitempty" yaml:"availability-zones,omitempty"` // Empty means all zones.
}

// IsZero reports whether the record has no rollout.
func (r Rollout) IsZero() bool {
	return r.Share == 0 && len(r.AvailabilityZones) == 0
}

// includesZone reports whether the rollout includes the availability zone.
func (r Rollout) includesZone(zone string) bool {
	return len(r.AvailabilityZones) == 0 || slices.Contains(r.AvailabilityZones, zone)
}

// partial reports whether the rollout includes only a share of the requests.
func (r Rollout) partial() bool {
	return r.Share > 0 && r.Share < 100
}

// includesRequest reports whether the rollout of the record with the given ID
// includes the request. A hash of both determines the result, so that the
// requests included in a share are also included in any larger share.
func (r Rollout) includesRequest(id ID, requestID string) bool {
	return int(xxh3.HashString(id.String()+"\x00"+requestID)%100) < r.Share
}

// opaqueSpec is the unparsed spec of a record whose kind or schema version
// this program does not know. It is kept so that the program can store the
// record and pass it on unchanged.
type opaqueSpec struct {
	recordKind Kind
	data       json.RawMessage
}

func (o opaqueSpec) kind() Kind { return o.recordKind }

func (opaqueSpec) problems() []problem { return nil }

// SchemaKnown reports whether this program supports the kind and the schema
// version of the record. If not, the record's spec is unparsed, and the record
// is never in force in this program.
func (r Record) SchemaKnown() bool {
	_, unknown := r.Spec.(opaqueSpec)
	return !unknown
}

// variants holds the variants of one record. Those without a rollout come
// first, ordered by schema version; the one that is being rolled out, if any,
// comes last.
type variants []Record

// with returns the variants after r is added. If r has a rollout, it replaces
// only a variant that is being rolled out. Otherwise it replaces all variants
// except those without a rollout in an older schema version, which are kept
// for programs that do not support the version of r.
func (v variants) with(r Record) variants {
	var next variants
	for _, old := range v {
		older := old.Rollout.IsZero() && old.effectiveSchemaVersion() < r.effectiveSchemaVersion()
		kept := !r.Rollout.IsZero() && old.Rollout.IsZero()
		if older || kept {
			next = append(next, old)
		}
	}
	return append(next, r)
}

// stable returns the newest variant without a rollout that this program
// supports.
func (v variants) stable() (Record, bool) {
	for _, r := range slices.Backward(v) {
		if r.Rollout.IsZero() && r.SchemaKnown() {
			return r, true
		}
	}
	return Record{}, false
}

// rollingOut returns the variant that is being rolled out. It reports false if
// there is none or if this program does not support its schema version.
func (v variants) rollingOut() (Record, bool) {
	if len(v) == 0 {
		return Record{}, false
	}
	last := v[len(v)-1]
	return last, !last.Rollout.IsZero() && last.SchemaKnown()
}

// inForce returns the variant that is in force in the availability zone for
// all requests. A rollout to a share of the requests does not count;
// Set.ForRequest applies it for each request.
func (v variants) inForce(zone string) (Record, bool) {
	if r, ok := v.rollingOut(); ok && r.Rollout.includesZone(zone) && !r.Rollout.partial() {
		return r, true
	}
	return v.stable()
}
