package amrrouter

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrstream"
)

// TestDeadlineWhileWaiting guards against a refusal which states that a request did not
// run although an earlier attempt may have: the deadline passes while the request waits
// for backend servers to become ready.
func TestDeadlineWhileWaiting(t *testing.T) {
	for name, test := range map[string]struct {
		earlier amrreason.Ran // Of the attempt before the pause.
		want    amrreason.Ran
	}{
		"may have run": {amrreason.RunUnknown, amrreason.RunUnknown},
		"did not run":  {amrreason.NotRun, amrreason.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			s := &session{
				router: &Router{clock: clock}, relay: amrstream.NewRelay(), deadlineTimer: clock.NewTimer(0),
				pausePending: true, lastPause: time.Minute,
			}
			s.relay.Step(amrstream.Started{Attempt: 1})
			s.relay.Step(amrstream.Failed{Attempt: 1, Reason: amrreason.EngineLost, Ran: test.earlier})
			is.True(!s.waitPause(t.Context()))
			is.Equal(s.finalRefusal.reason, amrreason.DeadlineExceeded)
			is.Equal(s.finalRefusal.ran, test.want)
		})
	}
}
