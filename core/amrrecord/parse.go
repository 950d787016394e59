package amrrecord

import (
	"bytes"
	"cmp"
	"encoding"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Parse parses the YAML documents in data, one record in each. The file name
// is used in the positions of the records and in errors. If any document is
// invalid, Parse returns no records and an error that joins one error of kind
// Invalid or UnknownSchema for each problem, each a single line with the file,
// the line and a correction.
func Parse(file string, data []byte) ([]Record, error) {
	var records []Record
	var errs []error
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Join(append(errs, syntaxError(file, err))...)
		}
		r, err := parseDocument(file, &document)
		errs = append(errs, err)
		records = append(records, r)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return records, nil
}

// syntaxError returns an error of kind Invalid for an error of the YAML
// decoder, whose message may begin with the line number.
func syntaxError(file string, err error) error {
	message := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\n", " "), "yaml: ")
	if rest, ok := strings.CutPrefix(message, "line "); ok {
		return Invalid.New("%s:%s; correct the YAML", file, rest)
	}
	return Invalid.New("%s:1: %s; correct the YAML", file, message)
}

// documentHeader holds the keys that records of all kinds have.
type documentHeader struct {
	Kind          Kind      `yaml:"kind"`
	SchemaVersion int       `yaml:"schema-version"`
	Name          string    `yaml:"name"`
	Rollout       Rollout   `yaml:"rollout"`
	Spec          yaml.Node `yaml:"spec"`
}

// parseDocument parses one document. It checks the keys of the header first,
// as they determine the type that spec is checked against.
func parseDocument(file string, document *yaml.Node) (Record, error) {
	root := document.Content[0]
	c := documentChecker{file: file}
	var h documentHeader
	if !c.decode(root, &h) {
		return Record{}, c.err()
	}
	for _, key := range []string{"kind", "schema-version", "name", "spec"} {
		if mappingValue(root, key) == nil {
			c.addError(root, "", "%s is missing; add it", key)
		}
	}
	if len(c.errs) > 0 {
		return Record{}, c.err()
	}
	c.recordID = ID{h.Kind, h.Name}.String()
	s, err := lookupSchema(h.Kind, h.SchemaVersion)
	if err != nil {
		return Record{}, c.withPosition(root, err)
	}
	w := s.newWireSpec()
	if !c.decode(&h.Spec, w) {
		return Record{}, c.err()
	}
	r := Record{
		Name:          h.Name,
		SchemaVersion: h.SchemaVersion,
		Rollout:       h.Rollout,
		Spec:          w.spec(),
		position:      Position{file, root.Line},
	}
	return r, c.checkFields(r, root, &h.Spec)
}

// documentChecker decodes YAML nodes and rejects unknown keys, repeated keys
// and values of the wrong type. It collects all errors of a document instead
// of stopping at the first one.
type documentChecker struct {
	file     string
	recordID string // Empty until the header of the document is decoded.
	errs     []error
}

func (c *documentChecker) err() error {
	return errors.Join(c.errs...)
}

// addError adds an error of kind Invalid at the line of the node. Field is the
// key that the error is about, or empty.
func (c *documentChecker) addError(node *yaml.Node, field, format string, args ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", c.file, node.Line)
	for _, part := range []string{c.recordID, field} {
		if part != "" {
			b.WriteString(part + ": ")
		}
	}
	fmt.Fprintf(&b, format, args...)
	c.errs = append(c.errs, Invalid.New("%s", b.String()))
}

// withPosition returns an error of the same kind as err whose message begins
// with the file, the line of the node and the record's ID.
func (c *documentChecker) withPosition(node *yaml.Node, err error) error {
	cause := errorx.Cast(err)
	return cause.Type().New("%s:%d: %s: %s", c.file, node.Line, c.recordID, cause.Message())
}

// checkFields adds an error for each field of the record with an invalid
// value, at the line of that field if the document contains it. It returns all
// errors collected so far.
func (c *documentChecker) checkFields(r Record, root, spec *yaml.Node) error {
	for _, p := range r.problems() {
		node := mappingValue(spec, p.field)
		if node == nil {
			node = cmp.Or(mappingValue(root, p.field), spec)
		}
		c.addError(node, p.field, "%s", p.message)
	}
	return c.err()
}

// decode checks the node against the type that target points to and decodes
// the node into target. It reports whether both succeeded.
func (c *documentChecker) decode(node *yaml.Node, target any) bool {
	before := len(c.errs)
	c.check(node, "", reflect.TypeOf(target).Elem())
	if len(c.errs) > before {
		return false
	}
	if err := node.Decode(target); err != nil {
		c.addError(node, "", "%s; correct it", strings.ReplaceAll(err.Error(), "\n", " "))
		return false
	}
	return true
}

var (
	nodeType            = reflect.TypeFor[yaml.Node]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// check adds an error for each part of the node that cannot be decoded into
// type t.
func (c *documentChecker) check(node *yaml.Node, field string, t reflect.Type) {
	switch {
	case t == nodeType:
	case node.Kind == yaml.AliasNode:
		c.addError(node, field, "aliases are not supported; write the value out")
	case reflect.PointerTo(t).Implements(textUnmarshalerType):
		c.checkText(node, field, t)
	case t.Kind() == reflect.Struct:
		c.checkMapping(node, field, t)
	case t.Kind() == reflect.Slice:
		c.checkSequence(node, field, t)
	default:
		c.checkScalar(node, field, t)
	}
}

// checkText checks the node against a type that implements
// encoding.TextUnmarshaler, which in records is always a duration.
func (c *documentChecker) checkText(node *yaml.Node, field string, t reflect.Type) {
	value := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if node.Kind != yaml.ScalarNode || value.UnmarshalText([]byte(node.Value)) != nil {
		c.addError(node, field, "%q is no duration; write a number with its unit, such as 30s or 500ms", node.Value)
	}
}

func (c *documentChecker) checkMapping(node *yaml.Node, field string, t reflect.Type) {
	if node.Kind != yaml.MappingNode {
		c.addError(node, field, "is no mapping; write one key and value on each line")
		return
	}
	seen := map[string]bool{}
	for i := 0; i < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		fieldType, ok := fieldTypeByKey(t, key.Value)
		switch {
		case !ok:
			c.addError(key, field, "key %q is unknown; use one of %s", key.Value, strings.Join(yamlKeys(t), ", "))
		case seen[key.Value]:
			c.addError(key, field, "key %q stands twice; remove one", key.Value)
		default:
			c.check(value, key.Value, fieldType)
		}
		seen[key.Value] = true
	}
}

func (c *documentChecker) checkSequence(node *yaml.Node, field string, t reflect.Type) {
	if node.Kind != yaml.SequenceNode {
		c.addError(node, field, "is no list; write it like [a, b]")
		return
	}
	for _, element := range node.Content {
		c.check(element, field, t.Elem())
	}
}

func (c *documentChecker) checkScalar(node *yaml.Node, field string, t reflect.Type) {
	if node.Kind != yaml.ScalarNode || node.ShortTag() == "!!null" {
		c.addError(node, field, "has no single value; write one")
		return
	}
	notInteger := t.Kind() == reflect.Int && node.ShortTag() != "!!int"
	if err := node.Decode(reflect.New(t).Interface()); err != nil || notInteger {
		c.addError(node, field, "%q does not fit; write %s", node.Value, scalarFormats[t.Kind()])
	}
}

// scalarFormats describes the accepted values of each scalar type, for error
// messages.
var scalarFormats = map[reflect.Kind]string{
	reflect.Bool:    "true or false",
	reflect.Int:     "a whole number without a unit",
	reflect.Float64: "a number without a unit",
	reflect.String:  "text",
}

// fieldTypeByKey returns the type of the field of t with the YAML key.
func fieldTypeByKey(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if yamlKey(t.Field(i)) == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// yamlKeys returns the YAML keys of the fields of t.
func yamlKeys(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, yamlKey(t.Field(i)))
	}
	return keys
}

// yamlKey returns the key in the YAML tag of the field.
func yamlKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return key
}

// mappingValue returns the value of the key in the mapping node. It returns
// nil if the key is missing or the node is not a mapping.
func mappingValue(node *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Kind == yaml.MappingNode && node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}
