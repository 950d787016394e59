package amrrecord

import (
	"bytes"
	"encoding/json"

	"go.yaml.in/yaml/v3"

	"amaranthreach.example/core/amrpack"
)

// Marshal returns the record as a YAML document that Parse accepts. It returns
// an error of kind NotConvertible if the record cannot be written in its
// schema version, and one of kind UnknownSchema if the program does not
// support that version.
func Marshal(r Record) ([]byte, error) {
	w, err := r.wireSpec()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	encoder := yaml.NewEncoder(&b)
	encoder.SetIndent(2)
	err = encoder.Encode(yamlDocument{r.Kind(), r.effectiveSchemaVersion(), r.Name, r.Rollout, w})
	return b.Bytes(), err
}

type yamlDocument struct {
	Kind          Kind     `yaml:"kind"`
	SchemaVersion int      `yaml:"schema-version"`
	Name          string   `yaml:"name"`
	Rollout       Rollout  `yaml:"rollout,omitempty"`
	Spec          wireSpec `yaml:"spec"`
}

type jsonDocument struct {
	Kind          Kind            `json:"kind"`
	SchemaVersion int             `json:"schema-version"`
	Name          string          `json:"name"`
	Rollout       Rollout         `json:"rollout,omitzero"`
	Spec          json.RawMessage `json:"spec"`
}

// MarshalJSON implements json.Marshaler. A spec of an unknown kind or schema
// version is written as the same JSON value that was read.
func (r Record) MarshalJSON() ([]byte, error) {
	spec, err := r.specJSON()
	if err != nil {
		return nil, err
	}
	return json.Marshal(jsonDocument{r.Kind(), r.effectiveSchemaVersion(), r.Name, r.Rollout, spec})
}

// specJSON returns the JSON encoding of the spec in the record's schema
// version.
func (r Record) specJSON() (json.RawMessage, error) {
	if o, ok := r.Spec.(opaqueSpec); ok {
		return o.data, nil
	}
	w, err := r.wireSpec()
	if err != nil {
		return nil, err
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler. If the program does not know the
// kind or the schema version of the record, the spec is kept unparsed, so that
// records written by a newer program survive being read and written by this
// one.
func (r *Record) UnmarshalJSON(data []byte) error {
	var d jsonDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*r = Record{Name: d.Name, SchemaVersion: d.SchemaVersion, Rollout: d.Rollout, Spec: opaqueSpec{d.Kind, d.Spec}}
	s, err := lookupSchema(d.Kind, d.SchemaVersion)
	if err != nil {
		return nil
	}
	w := s.newWireSpec()
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

// MarshalBinary implements encoding.BinaryMarshaler. The encoding is
// compressed JSON with all variants of the records; it does not include the
// availability zone.
func (s Set) MarshalBinary() ([]byte, error) {
	return amrpack.Marshal(jsonSet{s.Revision(), s.Variants()})
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. The set keeps its
// availability zone, and the decoded records are resolved for it.
func (s *Set) UnmarshalBinary(data []byte) error {
	var decoded jsonSet
	if err := amrpack.Unmarshal(data, &decoded); err != nil {
		return Invalid.Wrap(err, "snapshot is not readable; take one from another process")
	}
	*s = Set{zone: s.zone}.With(decoded.Records...).WithRevision(decoded.Revision)
	return nil
}
