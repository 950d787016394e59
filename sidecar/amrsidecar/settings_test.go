package amrsidecar

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrsettings"
)

// TestSettings decodes the settings in testdata/settings and compares the error
// messages.
func TestSettings(t *testing.T) {
	datadriven.Walk(t, "testdata/settings", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			settings := DefaultSettings()
			if err := amrsettings.Decode("sidecar.yaml", []byte(d.Input), &settings); err != nil {
				return err.Error()
			}
			return "valid"
		})
	})
}

// FuzzSettings checks that decoding settings never panics, that errors name the file,
// and that decoded settings pass their own check.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("name: r1\navailability-zone: a\n"))
	f.Add([]byte("backend-type: x\ngate-address: 1.2.3.4:5\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings := DefaultSettings()
		err := amrsettings.Decode("sidecar.yaml", data, &settings)
		if err != nil && (!errorx.IsOfType(err, amrsettings.Invalid) || !strings.Contains(err.Error(), "sidecar.yaml:")) {
			t.Fatal(err)
		}
		if err == nil && settings.Check() != nil {
			t.Fatal("Decode accepted settings that Check rejects")
		}
	})
}
