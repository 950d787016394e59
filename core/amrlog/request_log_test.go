package amrlog_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"amaranthreach.example/core/amrlog"
)

// TestReadRequestLog runs the cases of testdata/request_log: each has lines of a log
// as input and expects the text that explains the request r1.
func TestReadRequestLog(t *testing.T) {
	datadriven.RunTest(t, "testdata/request_log", func(t *testing.T, d *datadriven.TestData) string {
		requestLog, skipped, err := amrlog.ReadRequestLog(strings.NewReader(d.Input), "r1")
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if _, err := requestLog.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		if skipped > 0 {
			out.WriteString("lines skipped\n")
		}
		return out.String()
	})
}
