package amrrecord

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"go.yaml.in/yaml/v3"
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
	err = encoder.Encode(yamlDocument{r.Kind(), r.schemaVersion(), r.Name, w})
	return b.Bytes(), err
}

type yamlDocument struct {
	Kind          Kind   `yaml:"kind"`
	SchemaVersion int    `yaml:"schema-version"`
	Name          string `yaml:"name"`
	Spec          wire   `yaml:"spec"`
}

type jsonDocument struct {
	Kind          Kind            `json:"kind"`
	SchemaVersion int             `json:"schema-version"`
	Name          string          `json:"name"`
	Spec          json.RawMessage `json:"spec"`
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	w, err := r.wire()
	if err != nil {
		return nil, err
	}
	spec, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	return json.Marshal(jsonDocument{r.Kind(), r.schemaVersion(), r.Name, spec})
}

// UnmarshalJSON implements json.Unmarshaler. It returns an error of kind
// UnknownSchema for a schema version that this program does not know.
func (r *Record) UnmarshalJSON(data []byte) error {
	var d jsonDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	s, err := schemaOf(d.Kind, d.SchemaVersion)
	if err != nil {
		return err
	}
	w := s.newWire()
	if err := json.Unmarshal(d.Spec, w); err != nil {
		return err
	}
	*r = Record{Name: d.Name, SchemaVersion: d.SchemaVersion, Spec: w.spec()}
	return nil
}

type jsonSet struct {
	Revision uint64   `json:"revision"`
	Records  []Record `json:"records"`
}

// MarshalBinary implements encoding.BinaryMarshaler for snapshots.
func (s Set) MarshalBinary() ([]byte, error) {
	var b bytes.Buffer
	zip := gzip.NewWriter(&b)
	if err := json.NewEncoder(zip).Encode(jsonSet{s.Revision(), s.Records()}); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (s *Set) UnmarshalBinary(data []byte) error {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Invalid.Wrap(err, "snapshot is not readable; take one from another process")
	}
	text, err := io.ReadAll(zip)
	if err != nil {
		return Invalid.Wrap(err, "snapshot is cut short; take one from another process")
	}
	var all jsonSet
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	*s = Set{}.With(all.Records...).WithRevision(all.Revision)
	return nil
}
