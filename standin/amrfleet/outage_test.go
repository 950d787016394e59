package amrfleet_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"storj.io/drpc/drpcconn"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrfleet"
)

// TestRestartWithoutStore restarts all routers while the platform's table and
// object store are down, and checks that the first router loads the
// configuration from the snapshots of the sidecars and serves requests.
func TestRestartWithoutStore(t *testing.T) {
	t.Parallel()
	const readyTimeout = 10 * time.Second
	is := is.New(t)
	config := amrfleet.DefaultConfig
	config.TimeScale = 20
	fleet, err := amrfleet.Start(context.Background(), config)
	is.NoErr(err)
	defer func() { is.NoErr(fleet.Stop()) }()
	records := strings.Replace(explainRecords, "R-DIGEST", amrrecord.KeyDigest("r-key"), 1)
	records = strings.Replace(records, "O-DIGEST", amrrecord.KeyDigest("o-key"), 1)
	is.Equal(applyRecords(t, fleet, records), "in force")
	clock := clockwork.NewRealClock()
	awaitSnapshot(t, fleet)

	fleet.Platform.SetFaults(amrmemory.Faults{Down: true})
	for _, r := range fleet.Routers {
		r.Kill()
	}
	start := clock.Now()
	for _, r := range fleet.Routers {
		is.NoErr(fleet.StartRouter(r))
	}
	for !fleet.Routers[0].Router.Ready() && clock.Since(start) < readyTimeout {
		clock.Sleep(5 * time.Millisecond)
	}
	is.True(fleet.Routers[0].Router.Ready())
	t.Logf("ready after %s", clock.Since(start))
	requestCompletion(t, fleet, `{"model":"m1","prompt":"Is the agenda in stock?","max_tokens":2}`, http.StatusOK)
}

// awaitSnapshot waits until a sidecar has a snapshot of the configuration.
func awaitSnapshot(t *testing.T, fleet *amrfleet.Fleet) {
	t.Helper()
	clock := clockwork.NewRealClock()
	for deadline := clock.Now().Add(10 * time.Second); clock.Now().Before(deadline); clock.Sleep(20 * time.Millisecond) {
		for _, record := range fleet.Records() {
			server, _ := record.Spec.(amrrecord.BackendServer)
			conn, err := net.Dial("tcp", server.Address)
			if err != nil {
				t.Fatal(err)
			}
			client := drpcconn.New(conn)
			reply, err := amrgate.NewDRPCGateClient(client).Snapshot(t.Context(), &amrgate.SnapshotRequest{})
			_ = client.Close()
			if err == nil && reply.GetRevision() > 0 {
				return
			}
		}
	}
	t.Fatal("no sidecar holds a snapshot")
}
