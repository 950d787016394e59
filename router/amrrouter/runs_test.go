package amrrouter

import (
	"testing"

	"github.com/matryer/is"
)

// TestRunsCloses checks that no run starts once the router waits for the last
// ones.
func TestRunsCloses(t *testing.T) {
	is := is.New(t)
	var r runs
	ran := false
	is.True(r.start(func() error { ran = true; return nil }))
	is.NoErr(r.wait())
	is.True(ran)
	is.True(!r.start(func() error { t.Error("started after the wait"); return nil }))
}
