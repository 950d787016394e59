package amrrouter

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrsettings"
)

// TestSettingsReference checks that the reference lists the keys of the
// settings and no others.
func TestSettingsReference(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/operators/settings.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(data), "## amr-router\n")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	listed := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(section, -1) {
		listed[match[1]] = true
	}
	for _, key := range amrsettings.Keys(Settings{}) {
		if !listed[key] {
			t.Errorf("the reference lacks %s", key)
		}
		delete(listed, key)
	}
	for key := range listed {
		t.Errorf("the reference has %s, which is no key", key)
	}
}
