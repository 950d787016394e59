package amrfleet_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrfleet"
)

// TestLeavingHostGetsNoNewWork marks the host of a backend server as leaving in
// the platform's host list and checks that three seconds later the server gets
// no new requests, although its sidecar was not notified.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	t.Parallel()
	const (
		propagationLimit = 3 * time.Second
		requests         = 100
	)
	is := is.New(t)
	config := amrfleet.DefaultConfig
	config.TimeScale = 20
	config.Services = 0
	config.Engines = 2
	fleet, err := amrfleet.Start(context.Background(), config)
	is.NoErr(err)
	defer func() { is.NoErr(fleet.Stop()) }()
	records, err := amrrecord.Parse("leaving", []byte(leavingRecords+fmt.Sprintf(modelRecord, "{weights: w1, share: 100}")))
	is.NoErr(err)
	is.NoErr(fleet.Apply(t.Context(), append(records, fleet.Records()...)...))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	caller := rolloutTest{fleet: fleet}
	for _, router := range fleet.Routers {
		caller.urls = append(caller.urls, router.CallersURL())
	}
	send := func(phase string) {
		for i := range requests {
			body := fmt.Sprintf(`{"model":"m1","prompt":"%s %d","max_tokens":2,"stream":false,"idempotent":true}`, phase, i)
			is.NoErr(caller.send(client, i, body))
		}
	}
	send("before")
	leaving := fleet.Servers[0]
	is.True(len(leaving.Engine.Runs()) > 0)

	address := fleet.Records()[0].Spec.(amrrecord.BackendServer).Address
	fleet.Platform.SetHost(amrplatform.Host{
		Name: leaving.Name, Address: address, Role: amrplatform.RoleSidecar, State: amrplatform.HostLeaving,
	})
	<-clockwork.NewRealClock().After(propagationLimit)
	runsBefore := len(leaving.Engine.Runs())
	send("after")
	is.Equal(len(leaving.Engine.Runs()), runsBefore)
}

const leavingRecords = `kind: team
schema-version: 1
name: recife
spec:
  key-sha256: [e4268f494ff6d9d22313831a773aa66da9b4a806040962c5d2321025b7bcf4de]
---
kind: routing-policy
schema-version: 2
name: balanced
spec:
  policy: cache-aware
  recompute-weight: 1
  wait-weight: 1
---
`
