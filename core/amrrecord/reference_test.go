package amrrecord_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrrecord"
)

// TestReference checks that the reference page for operators lists exactly the
// keys of each kind and schema version, and that its first YAML example is
// valid.
func TestReference(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/operators/records.md")
	is.NoErr(err)
	reference := string(data)
	for _, kind := range amrrecord.Kinds() {
		for version := 1; version <= amrrecord.NewestSchemaVersion(kind); version++ {
			checkSection(t, reference, kind, version)
		}
	}
	_, example, found := strings.Cut(reference, "```yaml\n")
	is.True(found)
	example, _, _ = strings.Cut(example, "```")
	records, err := amrrecord.Parse("records.md", []byte(example))
	is.NoErr(err)
	is.NoErr(amrrecord.Validate(amrrecord.Set{}.With(records...)))
}

// checkSection compares the keys in the section of the kind and schema version
// with those that SpecKeys returns. The reference lists each key in the first
// column of a table.
func checkSection(t *testing.T, reference string, kind amrrecord.Kind, version int) {
	t.Helper()
	title := fmt.Sprintf("### %s, schema version %d\n", kind, version)
	_, section, found := strings.Cut(reference, title)
	if !found {
		t.Errorf("the reference has no section %q", title)
		return
	}
	section, _, _ = strings.Cut(section, "\n#")
	listed := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(section, -1) {
		listed[match[1]] = true
	}
	for _, key := range amrrecord.SpecKeys(kind, version) {
		if !listed[key] {
			t.Errorf("%s version %d: the reference does not list %s", kind, version, key)
		}
		delete(listed, key)
	}
	for key := range listed {
		t.Errorf("%s version %d: the reference lists %s, which is not a key", kind, version, key)
	}
}
