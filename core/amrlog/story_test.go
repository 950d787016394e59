package amrlog_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"amaranthreach.example/core/amrlog"
)

// TestTell runs the cases of testdata/story: each has lines of a log as input and
// expects the text that explains the request r1.
func TestTell(t *testing.T) {
	datadriven.RunTest(t, "testdata/story", func(t *testing.T, d *datadriven.TestData) string {
		story, skipped, err := amrlog.ReadRequestLog(strings.NewReader(d.Input), "r1")
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if _, err := story.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		if skipped > 0 {
			out.WriteString("lines skipped\n")
		}
		return out.String()
	})
}
