package amrsidecar

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrsettings"
)

// TestSettingsReference checks that the operators' settings reference lists each key
// of the sidecar's settings, and no other keys.
func TestSettingsReference(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/operators/settings.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(data), "## amr-sidecar\n")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	listed := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(section, -1) {
		listed[match[1]] = true
	}
	for _, key := range amrsettings.Keys(Settings{}) {
		if !listed[key] {
			t.Errorf("settings.md does not list the key %s", key)
		}
		delete(listed, key)
	}
	for key := range listed {
		t.Errorf("settings.md lists %s, which is not a key of the settings", key)
	}
}
