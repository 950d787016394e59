// Package amrsettings reads and validates the YAML settings files of the
// project's programs. The error for a fault in the contents of a file is one line
// with the file, the line, the fault and a remedy.
package amrsettings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

var namespace = errorx.NewNamespace("settings")

// Invalid is the type of the errors for settings that cannot be read or are not
// valid.
var Invalid = namespace.NewType("invalid")

// Checker is implemented by settings that can validate their values beyond what
// their types require.
type Checker interface {
	// Check returns an error for the first value that is not valid, or nil. The
	// error should be a *FieldError if it concerns one field, so that it can be
	// reported with a line number.
	Check() error
}

// FieldError is the error for one field whose value is not valid.
type FieldError struct {
	Field   string // Path of the field: keys in kebab case and indices of list elements, separated by dots.
	Message string // Description of the fault.
	Remedy  string // Action for the operator.
}

// Error returns the path of the field, the description and the remedy.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Field, e.Message, e.Remedy)
}

// Read decodes and validates the settings file at path. The settings must be a
// pointer to a struct with yaml tags; fields that the file does not set keep their
// values. The error is of the type Invalid.
func Read(path string, settings Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Invalid.Wrap(err, "cannot read the settings file; check its path and its permissions")
	}
	return Decode(path, data, settings)
}

// Decode is like Read, with the contents of the file given as data. The name of
// the file is only used in errors.
func Decode(file string, data []byte, settings Checker) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	err := decoder.Decode(settings)
	if errors.Is(err, io.EOF) {
		return Invalid.New("%s:1: the file is empty; add the required settings", file)
	}
	if err != nil {
		return invalidYAML(file, err, Keys(settings))
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return Invalid.New("%s:%d: the file contains more than one YAML document; put all settings into one document", file, max(extra.Line, 1))
	}
	if err := settings.Check(); err != nil {
		return invalidField(file, data, err)
	}
	return nil
}

// yamlLine matches the line number and the message of an error of the YAML package.
var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// invalidYAML returns the error for a file that the YAML package cannot decode. For
// an unknown key it suggests one of the keys.
func invalidYAML(file string, err error, keys []string) error {
	match := yamlLine.FindStringSubmatch(strings.ReplaceAll(err.Error(), "\n", " "))
	if match == nil {
		return Invalid.New("%s:1: %v; correct the YAML syntax", file, err)
	}
	fault, remedy := match[2], "correct the value"
	if strings.Contains(fault, "not found in type") {
		fault, _, _ = strings.Cut(fault, " not found in type")
		key := strings.TrimPrefix(fault, "field ")
		fault = "unknown key " + key
		remedy = "remove it or correct its spelling" + suggestion(key, keys)
	} else if strings.Contains(fault, "time.Duration") {
		remedy = "set it to a number with a unit, such as 500ms or 10s"
	}
	return Invalid.New("%s:%s: %s; %s", file, match[1], fault, remedy)
}

// suggestion returns " to " and the key with the longest common prefix with the
// unknown key. It returns "" if no common prefix is longer than half of the
// unknown key.
func suggestion(unknown string, keys []string) string {
	best, length := "", len(unknown)/2
	for _, key := range keys {
		name := key[strings.LastIndex(key, ".")+1:]
		if n := commonPrefix(name, unknown); n > length {
			best, length = name, n
		}
	}
	if best == "" {
		return ""
	}
	return " to " + best
}

// commonPrefix returns the length of the common prefix of a and b in bytes.
func commonPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// invalidField returns the error for a result of Checker.Check, with the line of
// the field if the result names one and line 1 otherwise.
func invalidField(file string, data []byte, err error) error {
	var fieldError *FieldError
	if !errors.As(err, &fieldError) {
		return Invalid.New("%s:1: %v", file, err)
	}
	return Invalid.New("%s:%d: %v", file, lineOf(data, fieldError.Field), fieldError)
}

// lineOf returns the line of the field with the path. If the file does not set the
// field, it returns the line of the innermost enclosing key that is set, or 1.
func lineOf(data []byte, field string) int {
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil || len(root.Content) == 0 {
		return 1
	}
	node, line := root.Content[0], 1
	for key := range strings.SplitSeq(field, ".") {
		child, childLine := find(node, key)
		if child == nil {
			return line
		}
		node, line = child, childLine
	}
	return line
}

// find returns the value of the key in a mapping, or the element with the index in
// a sequence, and its line. It returns nil if there is none.
func find(node *yaml.Node, key string) (*yaml.Node, int) {
	if index, err := strconv.Atoi(key); err == nil && node.Kind == yaml.SequenceNode && index < len(node.Content) {
		return node.Content[index], node.Content[index].Line
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Kind == yaml.MappingNode && node.Content[i].Value == key {
			return node.Content[i+1], node.Content[i].Line
		}
	}
	return nil, 0
}

// CheckAddress returns nil if address is an IP address and a port, such as
// 10.0.0.7:8080, and a *FieldError with the field if not.
func CheckAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &FieldError{Field: field, Message: fmt.Sprintf("%q is not an IP address with a port", address), Remedy: "set it to an address such as 10.0.0.7:8080"}
	}
	return nil
}

// CheckName returns nil if name consists of 1 to 63 lower-case letters, digits and
// hyphens, without a hyphen at either end, and a *FieldError with the field if not.
func CheckName(field, name string) error {
	if !validName.MatchString(name) {
		return &FieldError{Field: field, Message: fmt.Sprintf("%q is not a valid name", name), Remedy: "use 1 to 63 lower-case letters, digits and hyphens, with a letter or a digit at both ends"}
	}
	return nil
}

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckURL returns nil if address is an HTTP or HTTPS URL with an IP address and a
// port, and a *FieldError with the field if not.
func CheckURL(field, address string) error {
	parsed, err := url.Parse(address)
	if err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") {
		_, err = netip.ParseAddrPort(parsed.Host)
		if err == nil {
			return nil
		}
	}
	return &FieldError{Field: field, Message: fmt.Sprintf("%q is not an HTTP or HTTPS URL with an IP address and a port", address), Remedy: "set it to a URL such as http://10.0.0.7:8080"}
}
