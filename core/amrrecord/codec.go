package amrrecord

import (
	"bytes"
	"encoding/json"

	"go.yaml.in/yaml/v3"

	"amaranthreach.example/core/amrpack"
)

// Marshal returns the record as a YAML document that Parse reads.
func Marshal(r Record) ([]byte, error) {
	w, err := r.wire()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	encoder := yaml.NewEncoder(&b)
	encoder.SetIndent(2)
	err = encoder.Encode(yamlDocument{r.Kind(), r.schemaVersion(), r.Name, r.Rollout, w})
	return b.Bytes(), err
}

type yamlDocument struct {
	Kind          Kind    `yaml:"kind"`
	SchemaVersion int     `yaml:"schema-version"`
	Name          string  `yaml:"name"`
	Rollout       Rollout `yaml:"rollout,omitempty"`
	Spec          wire    `yaml:"spec"`
}

type jsonDocument struct {
	Kind          Kind            `json:"kind"`
	SchemaVersion int             `json:"schema-version"`
	Name          string          `json:"name"`
	Rollout       Rollout         `json:"rollout,omitzero"`
	Spec          json.RawMessage `json:"spec"`
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	spec, err := r.specJSON()
	if err != nil {
		return nil, err
	}
	return json.Marshal(jsonDocument{r.Kind(), r.schemaVersion(), r.Name, r.Rollout, spec})
}

func (r Record) specJSON() (json.RawMessage, error) {
	if o, ok := r.Spec.(opaque); ok {
		return o.data, nil
	}
	w, err := r.wire()
	if err != nil {
		return nil, err
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler. It keeps the spec of a kind or
// schema version that this program does not know as it is.
func (r *Record) UnmarshalJSON(data []byte) error {
	var d jsonDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*r = Record{Name: d.Name, SchemaVersion: d.SchemaVersion, Rollout: d.Rollout, Spec: opaque{d.Kind, d.Spec}}
	s, err := schemaOf(d.Kind, d.SchemaVersion)
	if err != nil {
		return nil
	}
	w := s.newWire()
	if err := json.Unmarshal(d.Spec, w); err != nil {
		return err
	}
	r.Spec = w.spec()
	return nil
}

type jsonSet struct {
	Revision uint64   `json:"revision"`
	Records  []Record `json:"records"`
}

// MarshalBinary implements encoding.BinaryMarshaler for snapshots.
func (s Set) MarshalBinary() ([]byte, error) {
	return amrpack.Marshal(jsonSet{s.Revision(), s.Variants()})
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It keeps the
// availability zone of the set.
func (s *Set) UnmarshalBinary(data []byte) error {
	var all jsonSet
	if err := amrpack.Unmarshal(data, &all); err != nil {
		return Invalid.Wrap(err, "snapshot is not readable; take one from another process")
	}
	*s = Set{zone: s.zone}.With(all.Records...).WithRevision(all.Revision)
	return nil
}
