package amrfleet_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/core/amrsuspect"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrfleet"
)

// operatorRecord lets the test wait until the second router knows the first.
const operatorRecord = `
---
kind: team
schema-version: 1
name: operators
spec:
  operator: true
  key-sha256: [O-DIGEST]
`

// decodeStep gives faults time to happen in the middle of an answer.
const decodeStep = 400 * time.Millisecond

// TestPromises plays the failures of testdata/promises and compares what
// callers see and how often backend servers ran.
func TestPromises(t *testing.T) {
	datadriven.Walk(t, "testdata/promises", func(t *testing.T, path string) {
		t.Parallel()
		is := is.New(t)
		config := amrfleet.DefaultConfig
		config.TimeScale = 20
		config.Services = 2
		config.EngineOptions = []amrengine.Option{amrengine.WithDecodeStep(decodeStep)}
		fleet, err := amrfleet.Start(context.Background(), config)
		is.NoErr(err)
		defer func() { is.NoErr(fleet.Stop()) }()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "records":
				result := apply(t, fleet, d.Input+strings.Replace(operatorRecord, "O-DIGEST", amrrecord.KeyDigest("o-key"), 1))
				awaitPeers(t, fleet)
				return result
			case "post":
				return post(t, fleet, d)
			case "stream":
				return stream(t, fleet, d)
			case "runs":
				return runs(fleet)
			case "crashes":
				return fmt.Sprint(outcomes(fleet)[amrengine.OutcomeCrashed])
			case "lift":
				return lift(t, fleet)
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
	case "poison":
		for _, s := range fleet.Servers {
			if s.Engine != nil {
				s.Engine.SetPoison(d.CmdArgs[0].Vals[0])
			}
		}
	case "heal-engines":
		for _, s := range fleet.Servers {
			if s.Engine != nil {
				s.Engine.Restart()
			}
		}
		awaitReady(t, fleet)
	case "restart-sidecars":
		for _, s := range fleet.Servers {
			s.Sidecar.Kill()
			is.NoErr(fleet.StartSidecar(s))
		}
	default:
		t.Fatalf("unknown fault %s", name)
	}
}

// lift lifts every quarantine and waits until the routers know.
func lift(t *testing.T, fleet *amrfleet.Fleet) string {
	t.Helper()
	is := is.New(t)
	store := amrsuspect.NewStore(fleet.Platform)
	suspects, err := store.List(t.Context())
	is.NoErr(err)
	for _, s := range suspects {
		is.NoErr(store.Lift(t.Context(), s.Fingerprint))
	}
	return fmt.Sprintf("lifted %d", len(suspects))
}

// awaitReady waits until every sidecar serves a backend server that is up.
func awaitReady(t *testing.T, fleet *amrfleet.Fleet) {
	t.Helper()
	clock := clockwork.NewRealClock()
	for _, s := range fleet.Servers {
		for deadline := clock.Now().Add(10 * time.Second); ; clock.Sleep(5 * time.Millisecond) {
			if clock.Now().After(deadline) {
				t.Fatalf("%s is not ready", s.Name)
			}
			response, err := http.Get(s.MetricsURL() + "/readyz")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
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
