package amrrouter

import (
	"testing"

	"github.com/matryer/is"
)

// TestBackgroundTasksRejectAfterWait checks that no task starts after wait was
// called: a stopping router would exit without waiting for it.
func TestBackgroundTasksRejectAfterWait(t *testing.T) {
	is := is.New(t)
	var tasks backgroundTasks
	ran := false
	is.True(tasks.start(func() error { ran = true; return nil }))
	is.NoErr(tasks.wait())
	is.True(ran)
	is.True(!tasks.start(func() error { t.Error("task started after wait"); return nil }))
}
