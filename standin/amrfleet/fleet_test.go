package amrfleet_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrfleet"
)

// TestRecordsDuringRestart reads the records while a sidecar starts again, as a
// fault does that marks a server as draining while another is down.
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
