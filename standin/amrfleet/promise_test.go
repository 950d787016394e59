package amrfleet_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/standin/amrfleet"
)

// TestPromises plays the failures of testdata/promises and compares what
// callers see and how often backend servers ran.
func TestPromises(t *testing.T) {
	datadriven.Walk(t, "testdata/promises", func(t *testing.T, path string) {
		is := is.New(t)
		config := amrfleet.DefaultConfig
		config.TimeScale = 20
		config.Services = 2
		fleet, err := amrfleet.Start(context.Background(), config)
		is.NoErr(err)
		defer func() { is.NoErr(fleet.Stop()) }()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "records":
				return apply(t, fleet, d.Input)
			case "post":
				return post(t, fleet, d)
			case "runs":
				return runs(fleet)
			case "fault":
				fault(t, fleet, d)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

// fault makes a fault happen.
func fault(t *testing.T, fleet *amrfleet.Fleet, d *datadriven.TestData) {
	t.Helper()
	is := is.New(t)
	var n int
	switch name := d.CmdArgs[0].Key; name {
	case "store-lose":
		d.ScanArgs(t, name, &n)
		fleet.Platform.SetFaults(amrmemory.Faults{LoseNext: n})
	case "store-down":
		fleet.Platform.SetFaults(amrmemory.Faults{Down: true})
	case "store-up":
		fleet.Platform.SetFaults(amrmemory.Faults{})
	case "service-lose":
		d.ScanArgs(t, name, &n)
		server(t, fleet, d).Service.LoseAnswers(n)
	case "restart-sidecars":
		for _, s := range fleet.Servers {
			s.Sidecar.Kill()
			is.NoErr(fleet.StartSidecar(s))
		}
	default:
		t.Fatalf("unknown fault %s", name)
	}
}

// server returns the backend server that the fault names.
func server(t *testing.T, fleet *amrfleet.Fleet, d *datadriven.TestData) *amrfleet.Server {
	t.Helper()
	var name string
	d.ScanArgs(t, "server", &name)
	for _, s := range fleet.Servers {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("unknown server %s", name)
	return nil
}
