package amrconfig_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrconfig"
)

// TestFloor runs the commands in testdata/floor. Each line of the input is a
// dispatch, given as the time since the start and the revision. The output
// shows whether the dispatch runs.
func TestFloor(t *testing.T) {
	datadriven.RunTest(t, "testdata/floor", func(t *testing.T, d *datadriven.TestData) string {
		var floor amrconfig.RevisionFloor
		var b strings.Builder
		start := time.Unix(1e9, 0)
		for line := range strings.Lines(d.Input) {
			var after string
			var revision uint64
			if _, err := fmt.Sscan(line, &after, &revision); err != nil {
				return err.Error()
			}
			offset, err := time.ParseDuration(after)
			if err != nil {
				return err.Error()
			}
			result := "declined"
			if floor.Allow(start.Add(offset), revision) {
				result = "runs"
			}
			fmt.Fprintf(&b, "%s %d %s, highest %d\n", after, revision, result, floor.Highest())
		}
		return b.String()
	})
}

// TestFloorPace checks that, while changes are frequent, dispatches of a
// router that lags by less than MaxPropagationDelay always run, and that those
// of a router that lags by 1.5 times the bound never do.
func TestFloorPace(t *testing.T) {
	const (
		changesPerSecond = 50
		lag              = amrconfig.MaxPropagationDelay - time.Second
	)
	is := is.New(t)
	var floor amrconfig.RevisionFloor
	start := time.Unix(1e9, 0)
	for i := range 60 * changesPerSecond {
		now := start.Add(time.Duration(i) * time.Second / changesPerSecond)
		is.True(floor.Allow(now, uint64(i)))
		lagging := i - int(lag.Seconds()*changesPerSecond)
		is.True(floor.Allow(now, uint64(max(lagging, 0))))
		stale := i - int(1.5*amrconfig.MaxPropagationDelay.Seconds()*changesPerSecond)
		is.True(stale < 0 || !floor.Allow(now, uint64(stale)))
	}
}
