package amrlog_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"amaranthreach.example/core/amrlog"
)

// TestTell tells the stories of testdata/story: each case has lines of a log and
// prints what became of the request r1.
func TestTell(t *testing.T) {
	datadriven.RunTest(t, "testdata/story", func(t *testing.T, d *datadriven.TestData) string {
		story, unread, err := amrlog.Tell(strings.NewReader(d.Input), "r1")
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if _, err := story.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		if unread > 0 {
			out.WriteString("lines not read\n")
		}
		return out.String()
	})
}
