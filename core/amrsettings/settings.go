// Package amrsettings reads the settings files of the programs. Every mistake
// is reported in one line with file, line and remedy.
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

// Invalid says that a settings file cannot be used as it is.
var Invalid = namespace.NewType("invalid")

// Checker is implemented by settings that have rules beyond their types.
type Checker interface {
	// Check returns the first broken rule, as a Problem where it concerns
	// one field.
	Check() error
}

// Problem is a broken rule of one field.
type Problem struct {
	Field  string // Path of the field, in kebab case, separated by dots.
	What   string
	Remedy string
}

// Error returns the field, what is wrong and the remedy.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s; %s", p.Field, p.What, p.Remedy)
}

// Read reads the settings file at path into settings, which must be a pointer
// to a struct with yaml tags.
func Read(path string, settings Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Invalid.Wrap(err, "cannot read the settings; name a readable file with --settings")
	}
	return Decode(path, data, settings)
}

// Decode decodes data, which was read from the named file, into settings.
func Decode(file string, data []byte, settings Checker) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	err := decoder.Decode(settings)
	if errors.Is(err, io.EOF) {
		return Invalid.New("%s:1: the file is empty; write the settings that the reference lists", file)
	}
	if err != nil {
		return invalidYAML(file, err, Keys(settings))
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return Invalid.New("%s:%d: a second document; keep all settings in one", file, max(extra.Line, 1))
	}
	if err := settings.Check(); err != nil {
		return invalidField(file, data, err)
	}
	return nil
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

func invalidYAML(file string, err error, keys []string) error {
	match := yamlLine.FindStringSubmatch(strings.ReplaceAll(err.Error(), "\n", " "))
	if match == nil {
		return Invalid.New("%s:1: %v; write it as YAML", file, err)
	}
	what, remedy := match[2], "correct the value"
	if strings.Contains(what, "not found in type") {
		what, _, _ = strings.Cut(what, " not found in type")
		key := strings.TrimPrefix(what, "field ")
		what = "unknown key " + key
		remedy = "remove it or correct its spelling" + suggestion(key, keys)
	} else if strings.Contains(what, "time.Duration") {
		remedy = "write a number with a unit, such as 500ms or 10s"
	}
	return Invalid.New("%s:%s: %s; %s", file, match[1], what, remedy)
}

// suggestion names the key that shares the longest prefix with the unknown
// one, if it shares half of it.
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

func commonPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func invalidField(file string, data []byte, err error) error {
	var problem *Problem
	if !errors.As(err, &problem) {
		return Invalid.New("%s:1: %v", file, err)
	}
	return Invalid.New("%s:%d: %v", file, lineOf(data, problem.Field), problem)
}

// lineOf returns the line of the field, or of the nearest enclosing key that
// stands in the file.
func lineOf(data []byte, field string) int {
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil || len(root.Content) == 0 {
		return 1
	}
	node, line := root.Content[0], 1
	for key := range strings.SplitSeq(field, ".") {
		child, at := find(node, key)
		if child == nil {
			return line
		}
		node, line = child, at
	}
	return line
}

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

// CheckAddress returns a Problem unless address is an IP address and a port.
func CheckAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &Problem{Field: field, What: fmt.Sprintf("%q is no address", address), Remedy: "write an IP address and a port, such as 10.0.0.7:8080"}
	}
	return nil
}

// CheckName returns a Problem unless name is lower-case letters, digits and
// hyphens.
func CheckName(field, name string) error {
	if !validName.MatchString(name) {
		return &Problem{Field: field, What: fmt.Sprintf("%q is no name", name), Remedy: "use lower-case letters, digits and hyphens, at most 63"}
	}
	return nil
}

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckURL returns a Problem unless address is a URL of an IP address and a
// port over HTTP or HTTPS.
func CheckURL(field, address string) error {
	parsed, err := url.Parse(address)
	if err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") {
		_, err = netip.ParseAddrPort(parsed.Host)
		if err == nil {
			return nil
		}
	}
	return &Problem{Field: field, What: fmt.Sprintf("%q is no URL with an IP address", address), Remedy: "write it as http://10.0.0.7:8080"}
}
