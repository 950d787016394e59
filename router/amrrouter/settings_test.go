package amrrouter

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrsettings"
)

// TestSettings checks that each case of testdata/settings is valid or fails to
// decode with the expected error.
func TestSettings(t *testing.T) {
	datadriven.Walk(t, "testdata/settings", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			settings := DefaultSettings()
			if err := amrsettings.Decode("router.yaml", []byte(d.Input), &settings); err != nil {
				return err.Error()
			}
			return "valid"
		})
	})
}

// FuzzSettings checks that decoding does not panic, that its errors name the file,
// and that decoded settings pass their check.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("name: r1\navailability-zone: a\n"))
	f.Add([]byte("operator-keys-sha256: [x]\ncallers-address: 1.2.3.4:5\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings := DefaultSettings()
		err := amrsettings.Decode("router.yaml", data, &settings)
		if err != nil && (!errorx.IsOfType(err, amrsettings.Invalid) || !strings.Contains(err.Error(), "router.yaml:")) {
			t.Fatal(err)
		}
		if err == nil && settings.Check() != nil {
			t.Fatal("decoded settings do not pass Check")
		}
	})
}
