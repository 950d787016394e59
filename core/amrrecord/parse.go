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

// Parse reads the records of a YAML file of one or more documents. Each
// problem is one line that names file, line and remedy.
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

func syntaxError(file string, err error) error {
	message := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\n", " "), "yaml: ")
	if rest, ok := strings.CutPrefix(message, "line "); ok {
		return Invalid.New("%s:%s; correct the YAML", file, rest)
	}
	return Invalid.New("%s:1: %s; correct the YAML", file, message)
}

// header is what all kinds of records share.
type header struct {
	Kind          Kind      `yaml:"kind"`
	SchemaVersion int       `yaml:"schema-version"`
	Name          string    `yaml:"name"`
	Rollout       Rollout   `yaml:"rollout"`
	Spec          yaml.Node `yaml:"spec"`
}

func parseDocument(file string, document *yaml.Node) (Record, error) {
	root := document.Content[0]
	c := checker{file: file}
	var h header
	if !c.decode(root, &h) {
		return Record{}, c.err()
	}
	for _, key := range []string{"kind", "schema-version", "name", "spec"} {
		if lookup(root, key) == nil {
			c.fail(root, "", "%s is missing; add it", key)
		}
	}
	if len(c.errs) > 0 {
		return Record{}, c.err()
	}
	c.id = ID{h.Kind, h.Name}.String()
	s, err := schemaOf(h.Kind, h.SchemaVersion)
	if err != nil {
		return Record{}, c.wrap(root, err)
	}
	w := s.newWire()
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
	return r, c.validate(r, root, &h.Spec)
}

// checker reads nodes strictly and collects what is wrong with them.
type checker struct {
	file string
	id   string
	errs []error
}

func (c *checker) err() error {
	return errors.Join(c.errs...)
}

func (c *checker) fail(node *yaml.Node, field, format string, args ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", c.file, node.Line)
	for _, part := range []string{c.id, field} {
		if part != "" {
			b.WriteString(part + ": ")
		}
	}
	fmt.Fprintf(&b, format, args...)
	c.errs = append(c.errs, Invalid.New("%s", b.String()))
}

// wrap adds file and line to an error and keeps its kind.
func (c *checker) wrap(node *yaml.Node, err error) error {
	cause := errorx.Cast(err)
	return cause.Type().New("%s:%d: %s: %s", c.file, node.Line, c.id, cause.Message())
}

// validate checks the ranges of the record's fields.
func (c *checker) validate(r Record, root, spec *yaml.Node) error {
	for _, p := range r.problems() {
		node := lookup(spec, p.field)
		if node == nil {
			node = cmp.Or(lookup(root, p.field), spec)
		}
		c.fail(node, p.field, "%s", p.message)
	}
	return c.err()
}

// decode checks the node against the type that target points to and decodes
// it. It reports whether that went well.
func (c *checker) decode(node *yaml.Node, target any) bool {
	before := len(c.errs)
	c.check(node, "", reflect.TypeOf(target).Elem())
	if len(c.errs) > before {
		return false
	}
	if err := node.Decode(target); err != nil {
		c.fail(node, "", "%s; correct it", strings.ReplaceAll(err.Error(), "\n", " "))
		return false
	}
	return true
}

var (
	nodeType = reflect.TypeFor[yaml.Node]()
	textType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (c *checker) check(node *yaml.Node, field string, t reflect.Type) {
	switch {
	case t == nodeType:
	case node.Kind == yaml.AliasNode:
		c.fail(node, field, "aliases are not supported; write the value out")
	case reflect.PointerTo(t).Implements(textType):
		c.checkText(node, field, t)
	case t.Kind() == reflect.Struct:
		c.checkMapping(node, field, t)
	case t.Kind() == reflect.Slice:
		c.checkSequence(node, field, t)
	default:
		c.checkScalar(node, field, t)
	}
}

func (c *checker) checkText(node *yaml.Node, field string, t reflect.Type) {
	value := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if node.Kind != yaml.ScalarNode || value.UnmarshalText([]byte(node.Value)) != nil {
		c.fail(node, field, "%q is no duration; write a number with its unit, such as 30s or 500ms", node.Value)
	}
}

func (c *checker) checkMapping(node *yaml.Node, field string, t reflect.Type) {
	if node.Kind != yaml.MappingNode {
		c.fail(node, field, "is no mapping; write one key and value on each line")
		return
	}
	seen := map[string]bool{}
	for i := 0; i < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		member, ok := memberOf(t, key.Value)
		switch {
		case !ok:
			c.fail(key, field, "key %q is unknown; use one of %s", key.Value, strings.Join(keysOf(t), ", "))
		case seen[key.Value]:
			c.fail(key, field, "key %q stands twice; remove one", key.Value)
		default:
			c.check(value, key.Value, member)
		}
		seen[key.Value] = true
	}
}

func (c *checker) checkSequence(node *yaml.Node, field string, t reflect.Type) {
	if node.Kind != yaml.SequenceNode {
		c.fail(node, field, "is no list; write it like [a, b]")
		return
	}
	for _, element := range node.Content {
		c.check(element, field, t.Elem())
	}
}

func (c *checker) checkScalar(node *yaml.Node, field string, t reflect.Type) {
	if node.Kind != yaml.ScalarNode || node.ShortTag() == "!!null" {
		c.fail(node, field, "has no single value; write one")
		return
	}
	fraction := t.Kind() == reflect.Int && node.ShortTag() != "!!int"
	if err := node.Decode(reflect.New(t).Interface()); err != nil || fraction {
		c.fail(node, field, "%q does not fit; write %s", node.Value, scalarRemedies[t.Kind()])
	}
}

var scalarRemedies = map[reflect.Kind]string{
	reflect.Bool:    "true or false",
	reflect.Int:     "a whole number without a unit",
	reflect.Float64: "a number without a unit",
	reflect.String:  "text",
}

func memberOf(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if keyOf(t.Field(i)) == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, keyOf(t.Field(i)))
	}
	return keys
}

func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return key
}

func lookup(node *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Kind == yaml.MappingNode && node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}
