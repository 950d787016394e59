package amrrecord

import (
	"fmt"
	"reflect"
	"time"
)

// schema is one version of a kind. Its wire type is what stands under spec.
type schema interface {
	// newWire returns a pointer to an empty wire type.
	newWire() wire

	// fromSpec returns the wire type for a spec, or the field that the
	// version can't express.
	fromSpec(Spec) (wire, error)
}

// wire is a spec as one schema version writes it.
type wire interface {
	spec() Spec
}

// schemas holds the versions of each kind; version n stands at index n-1.
var schemas = map[Kind][]schema{
	KindTeam:          {teamSchema{}},
	KindDeployment:    {deploymentSchema1{}, deploymentSchema2{}},
	KindRoutingPolicy: {routingPolicySchema1{}, routingPolicySchema2{}},
	KindBackendServer: {backendServerSchema{}},
}

// NewestSchema returns the newest schema version of the kind that this
// program knows, or 0 for an unknown kind.
func NewestSchema(kind Kind) int {
	return len(schemas[kind])
}

// Convert returns the record written in another schema version. It returns an
// error of kind NotConvertible that names the field when the version can't
// express the record.
func (r Record) Convert(version int) (Record, error) {
	r.SchemaVersion = version
	_, err := r.wire()
	return r, err
}

func (r Record) schemaVersion() int {
	if r.SchemaVersion == 0 {
		return NewestSchema(r.Kind())
	}
	return r.SchemaVersion
}

func (r Record) wire() (wire, error) {
	if !r.Known() {
		return nil, UnknownSchema.New("%s is written in schema version %d; update this program to show it", r.ID(), r.SchemaVersion)
	}
	s, err := schemaOf(r.Kind(), r.schemaVersion())
	if err != nil {
		return nil, err
	}
	w, err := s.fromSpec(r.Spec)
	if err != nil {
		return nil, NotConvertible.New("%s: %s", r.ID(), err)
	}
	return w, nil
}

func schemaOf(kind Kind, version int) (schema, error) {
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

// unexpressed says that a schema version has no room for a field's value.
func unexpressed(field string, version int, remedy string) error {
	return fmt.Errorf("%s can't be written in schema version %d; %s", field, version, remedy)
}

// duration is a time.Duration written with its unit, such as 30s.
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

// IsZero reports whether the duration is 0, for omitempty.
func (d duration) IsZero() bool {
	return d == 0
}

// Keys returns the keys that may stand under the spec of a record of the kind
// and schema version, with those of nested lists behind a dot.
func Keys(kind Kind, version int) []string {
	s, err := schemaOf(kind, version)
	if err != nil {
		return nil
	}
	return keysBelow("", reflect.TypeOf(s.newWire()).Elem())
}

func keysBelow(prefix string, t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + keyOf(f)
		keys = append(keys, key)
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			keys = append(keys, keysBelow(key+".", f.Type.Elem())...)
		}
	}
	return keys
}
