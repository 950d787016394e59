package amrforward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

// recordingPlacer selects no server and keeps the last request.
type recordingPlacer struct {
	last amrpool.Request
}

func (p *recordingPlacer) Pick(_ context.Context, r amrpool.Request, _ time.Duration) (*amrpool.Choice, amrpool.Denial) {
	p.last = r
	return nil, amrpool.Denial{Reason: amrpool.NoServer}
}

// fixedOrigin knows the origin of all streams.
type fixedOrigin struct {
	origin amrorigin.Origin
}

func (o fixedOrigin) Begin(amrorigin.Stream, string, amrpool.SoftwareID) {}

func (o fixedOrigin) Withdraw(amrorigin.Stream, string) {}

func (o fixedOrigin) Find(context.Context, amrorigin.Stream, string) (amrorigin.Origin, amrorigin.Certainty) {
	return o.origin, amrorigin.Known
}

// TestTakenUpStreamIsNotRefusedForLoad guards against refusing a stream that its caller
// takes up because the servers are busy: the caller has a part of it, and cannot begin
// elsewhere. It also checks that the stream goes to the pool that began it.
func TestTakenUpStreamIsNotRefusedForLoad(t *testing.T) {
	is := is.New(t)
	placer := &recordingPlacer{}
	software := amrpool.SoftwareIDOf("v1")
	f := amrforward.New(amrpool.New(), &backend{}, amrforward.WithWarmUp(0), amrforward.WithPlacer(placer),
		amrforward.WithOrigins(fixedOrigin{amrorigin.Origin{Pool: amrorigin.PoolIDOf("second"), Software: software}}))
	f.SetTable(amrroute.New(amrroute.Records{Version: 1, Routes: []amrroute.Route{{
		Name: "stream", Host: "shop.example", Prefix: "/stream/", Kind: amrroute.Stream, Resumable: true, Timeout: time.Second, LatencyGoal: 100 * time.Millisecond, Public: true,
		Targets: []amrroute.Target{{Pool: "first", Weight: 1000}, {Pool: "second", Weight: 1}},
	}}}))
	send := func(lastEventID string) amrpool.Request {
		f.Serve(t.Context(), httptest.NewRecorder(), &amrforward.Request{
			ID: "r", Method: http.MethodPost, Target: "/stream/x", Path: "/stream/x", Host: "shop.example", Header: http.Header{}, Arrived: clock.Now(),
			Model: "m1", LastEventID: lastEventID, Resumes: "q",
		})
		return placer.last
	}
	begun := send("")
	is.Equal(begun.Pool, "first")
	is.Equal(begun.MaxWait, 100*time.Millisecond)
	is.Equal(begun.Software, amrpool.SoftwareID(0))
	takenUp := send("3")
	is.Equal(takenUp.Pool, "second")
	is.Equal(takenUp.MaxWait, time.Duration(0))
	is.Equal(takenUp.Software, software)
}
