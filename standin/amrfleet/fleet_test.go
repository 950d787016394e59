package amrfleet_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrfleet"
)

// TestRecordsDuringRestart checks that Records may be called, and returns the
// same records, while a sidecar restarts. A replay does so when it marks a
// server as draining while the sidecar of another one restarts. The race
// detector finds unsynchronized accesses.
func TestRecordsDuringRestart(t *testing.T) {
	t.Parallel()
	const (
		restarts = 5
		reads    = 1000
	)
	is := is.New(t)
	config := amrfleet.DefaultConfig
	config.Engines, config.Services, config.Routers = 1, 0, 0
	fleet, err := amrfleet.Start(context.Background(), config)
	is.NoErr(err)
	defer func() { is.NoErr(fleet.Stop()) }()
	before := fleet.Records()
	var group errgroup.Group
	group.Go(func() error {
		for range restarts {
			fleet.Servers[0].Sidecar.Kill()
			if err := fleet.StartSidecar(fleet.Servers[0]); err != nil {
				return err
			}
		}
		return nil
	})
	for range reads {
		is.Equal(fleet.Records(), before)
	}
	is.NoErr(group.Wait())
}
