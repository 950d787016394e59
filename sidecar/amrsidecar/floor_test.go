package amrsidecar_test

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/sidecar/amrsidecar"
)

// startSidecar runs a sidecar whose backend server is a plain service that accepts no
// connections. It returns a client that is connected to the sidecar.
func startSidecar(t *testing.T, clock clockwork.Clock) amrgate.DRPCGateClient {
	t.Helper()
	return startSidecarOf(t, clock, "http://127.0.0.1:1", slog.New(slog.DiscardHandler))
}

// startSidecarOf does the same for the plain service at the URL, with the logger.
func startSidecarOf(t *testing.T, clock clockwork.Clock, url string, log *slog.Logger) amrgate.DRPCGateClient {
	t.Helper()
	is := is.New(t)
	listeners := amrsidecar.Listeners{}
	var err error
	listeners.Gate, err = net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listeners.Metrics, err = net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	settings := amrsidecar.DefaultSettings()
	settings.Name = "b1"
	settings.BackendType = amrsidecar.BackendService
	settings.BackendURL = url
	settings.StopGrace = time.Second
	sidecar := amrsidecar.New(settings, amrsidecar.WithClock(clock), amrsidecar.WithListeners(listeners), amrsidecar.WithLogger(log))
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return sidecar.Run(ctx) })
	conn, err := net.Dial("tcp", listeners.Gate.Addr().String())
	is.NoErr(err)
	client := drpcconn.New(conn)
	t.Cleanup(func() {
		_ = client.Close()
		stop()
		is.NoErr(group.Wait())
	})
	return amrgate.NewDRPCGateClient(client)
}

// TestStaleConfiguration checks that the sidecar declines a dispatch that is based on
// an older revision of the records once the sidecar has known of a newer one for
// MaxPropagationDelay, and neither earlier nor for the newest revision.
func TestStaleConfiguration(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	client := startSidecar(t, clock)
	declined := func(revision uint64) bool {
		stream, err := client.Dispatch(t.Context(), &amrgate.DispatchRequest{
			Revision: revision, DeadlineMs: 1000, ServiceCall: &amrgate.ServiceCall{Method: "POST", Path: "x"}})
		is.NoErr(err)
		defer func() { is.NoErr(stream.Close()) }()
		reply, err := stream.Recv()
		is.NoErr(err)
		return reply.GetDeclined().GetReason() == string(amrreason.StaleConfiguration)
	}
	is.True(!declined(5))
	is.True(!declined(6))
	clock.Advance(amrconfig.MaxPropagationDelay - time.Millisecond)
	is.True(!declined(5)) // Routers may lag behind by less than MaxPropagationDelay.
	clock.Advance(time.Millisecond)
	is.True(declined(5))
	is.True(!declined(6))
	report, err := client.Report(t.Context(), &amrgate.ReportRequest{})
	is.NoErr(err)
	is.Equal(report.GetLoad().GetRevision(), uint64(6))
}

// TestSnapshot checks that the sidecar keeps the newest records that routers passed
// to it, even if an older revision arrives later.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	client := startSidecar(t, clockwork.NewFakeClock())
	set := func(revision uint64) amrrecord.Set {
		record := amrrecord.Record{Name: "recife", Spec: amrrecord.Team{Weight: int(revision)}}
		return amrrecord.Set{}.With(record).WithRevision(revision)
	}
	for _, revision := range []uint64{7, 9, 8} { // Revision 8 arrives after revision 9.
		whole, err := amrconfig.FullDelta(set(revision))
		is.NoErr(err)
		_, err = client.Keep(t.Context(), &amrgate.KeepRequest{Revision: whole.Revision, Data: whole.Data})
		is.NoErr(err)
	}
	held, err := client.Snapshot(t.Context(), &amrgate.SnapshotRequest{})
	is.NoErr(err)
	got, err := amrconfig.Delta{Revision: held.GetRevision(), Data: held.GetData()}.Apply(amrrecord.Set{})
	is.NoErr(err)
	is.Equal(got.Revision(), uint64(9))
	team, _ := got.Team("recife")
	is.Equal(team.Weight, 9)
	none, err := client.Snapshot(t.Context(), &amrgate.SnapshotRequest{Above: 9})
	is.NoErr(err)
	is.Equal(len(none.GetData()), 0)
}
