package amrrouter

import (
	"testing"

	"github.com/matryer/is"
)

// TestBackgroundTasksRejectAfterWait checks that no task starts after wait was
// called: a stopping router would exit without waiting for it.
func TestBackgroundTasksRejectAfterWait(t *testing.T) {
	is := is.New(t)
	var r backgroundTasks
	ran := false
	is.True(r.start(func() error { ran = true; return nil }))
	is.NoErr(r.wait())
	is.True(ran)
	is.True(!r.start(func() error { t.Error("task started after wait"); return nil }))
}
