package amrrouter

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrsettings"
)

// TestSettingsReference checks that the settings reference for operators lists
// every key of Settings and no other key.
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
			t.Errorf("the settings reference does not list the key %s", key)
		}
		delete(listed, key)
	}
	for key := range listed {
		t.Errorf("the settings reference lists %s, which is not a key", key)
	}
}
