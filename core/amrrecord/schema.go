package amrrecord

import (
	"fmt"
	"reflect"
	"time"
)

// schema is one schema version of a kind. It converts between Spec and the
// struct that is encoded under the spec key.
type schema interface {
	// newWireSpec returns a pointer to a zero wireSpec for decoding.
	newWireSpec() wireSpec

	// fromSpec returns the encodable form of the spec. It returns an error if
	// this schema version cannot represent the spec.
	fromSpec(Spec) (wireSpec, error)
}

// wireSpec is the encoded form of a spec in one schema version. Its struct
// tags define the keys under spec in YAML and JSON.
type wireSpec interface {
	spec() Spec
}

// schemas maps each kind to its schema versions. Version n is at index n-1.
var schemas = map[Kind][]schema{
	KindTeam:          {teamSchema{}},
	KindDeployment:    {deploymentSchema1{}, deploymentSchema2{}},
	KindRoutingPolicy: {routingPolicySchema1{}, routingPolicySchema2{}},
	KindBackendServer: {backendServerSchema{}},
}

// NewestSchemaVersion returns the newest schema version of the kind that this
// program supports. It returns 0 for an unknown kind.
func NewestSchemaVersion(kind Kind) int {
	return len(schemas[kind])
}

// Convert returns the record with its schema version set to version. It
// returns an error of kind NotConvertible, which names the field, if that
// schema version cannot represent the record, and one of kind UnknownSchema if
// the program does not support the version.
func (r Record) Convert(version int) (Record, error) {
	r.SchemaVersion = version
	_, err := r.wireSpec()
	return r, err
}

// effectiveSchemaVersion returns the schema version of the record, or the
// newest one if it is not set.
func (r Record) effectiveSchemaVersion() int {
	if r.SchemaVersion == 0 {
		return NewestSchemaVersion(r.Kind())
	}
	return r.SchemaVersion
}

// wireSpec returns the encodable form of the record's spec in its schema
// version.
func (r Record) wireSpec() (wireSpec, error) {
	if !r.SchemaKnown() {
		return nil, UnknownSchema.New("%s is written in schema version %d; update this program to show it", r.ID(), r.SchemaVersion)
	}
	s, err := lookupSchema(r.Kind(), r.effectiveSchemaVersion())
	if err != nil {
		return nil, err
	}
	w, err := s.fromSpec(r.Spec)
	if err != nil {
		return nil, NotConvertible.New("%s: %s", r.ID(), err)
	}
	return w, nil
}

// lookupSchema returns the schema of the kind and version. It returns an error
// of kind Invalid for an unknown kind and of kind UnknownSchema for an unknown
// version.
func lookupSchema(kind Kind, version int) (schema, error) {
	versions, ok := schemas[kind]
	if !ok {
		return nil, Invalid.New("kind %q is unknown; use one of %v", kind, Kinds())
	}
	if version < 1 || version > len(versions) {
		return nil, UnknownSchema.New("%s has schema versions 1 to %d, not %d; use one of them or update this program",
			kind, len(versions), version)
	}
	return versions[version-1], nil
}

// errNotExpressible returns the error for a field whose value the schema
// version cannot represent.
func errNotExpressible(field string, version int, remedy string) error {
	return fmt.Errorf("%s can't be written in schema version %d; %s", field, version, remedy)
}

// duration is a time.Duration that is encoded as text with its unit, such as
// 30s.
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = duration(value)
	return err
}

// IsZero reports whether the duration is 0. The encoders call it for the
// omitempty and omitzero options.
func (d duration) IsZero() bool {
	return d == 0
}

// SpecKeys returns the keys that are allowed under spec in a record of the kind
// and schema version. A key of a nested list element is written as list.key.
// It returns nil for an unknown kind or schema version.
func SpecKeys(kind Kind, version int) []string {
	s, err := lookupSchema(kind, version)
	if err != nil {
		return nil
	}
	return nestedKeys("", reflect.TypeOf(s.newWireSpec()).Elem())
}

// nestedKeys returns the keys of the struct type t and of the structs in its
// lists, each preceded by prefix.
func nestedKeys(prefix string, t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + yamlKey(f)
		keys = append(keys, key)
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			keys = append(keys, nestedKeys(key+".", f.Type.Elem())...)
		}
	}
	return keys
}
