package amrreplay

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestReadFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		path := filepath.Join(t.TempDir(), "faults.yaml")
		if err := os.WriteFile(path, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		faults, err := ReadFaults(path)
		if err == nil {
			err = faults.checkTargets(12, 3)
		}
		if err != nil {
			return strings.ReplaceAll(err.Error(), path, "faults.yaml")
		}
		var b strings.Builder
		for _, f := range faults {
			fmt.Fprintf(&b, "%+v\n", f)
		}
		return b.String()
	})
}
