package amrforward_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

// lateBackend answers after a pause, also if the deadline has passed meanwhile.
type lateBackend struct {
	pause time.Duration
	body  string
}

// Send sends the request.
func (b lateBackend) Send(_ context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	if _, err := a.BeforeSend(); err != nil {
		return nil, err
	}
	clock.Sleep(b.pause)
	return &amrforward.Answer{Status: http.StatusOK, Header: http.Header{}, Length: int64(len(b.body)), Body: io.NopCloser(strings.NewReader(b.body))}, nil
}

// TestLateAnswersArrive guards against requests that get neither an answer nor a refusal because
// the time to write the answer ended before it was written: the body arrived slowly, the route's
// timeout is shorter than before, or the processor was busy. The opposite: the time to write to a
// caller that reads nothing stays bounded.
func TestLateAnswersArrive(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for name, test := range map[string]struct {
		age   time.Duration // Of the request when its body is complete.
		pause time.Duration // Until the server answers.
		bytes int           // Length of the answer.
		deaf  bool          // The caller does not read for a second.

		status int // 0 if the answer is cut off.
	}{
		"in time":                    {bytes: 10, status: http.StatusOK},
		"body arrives late":          {age: 2 * time.Second, bytes: 10, status: http.StatusServiceUnavailable},
		"server is late":             {pause: time.Second, bytes: 10, status: http.StatusOK},
		"caller reads late":          {bytes: 64 << 20, deaf: true},
		"server and caller are late": {pause: time.Second, bytes: 64 << 20, deaf: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := amrpool.New()
			fleet.UpdateServer(amrpool.Listing{Name: "a1", Pool: "app", Address: "a1", Slots: 8})
			forward := amrforward.New(fleet, lateBackend{test.pause, strings.Repeat("x", test.bytes)}, amrforward.WithWarmUp(0), amrforward.WithLogger(slog.New(slog.DiscardHandler)))
			forward.SetTable(amrroute.New(amrroute.Records{Version: 1, Routes: []amrroute.Route{{
				Name: "once", Host: "shop.example", Prefix: "/", Kind: amrroute.Once, Timeout: timeout, MaxServers: 1, Targets: []amrroute.Target{{Pool: "app", Weight: 1}},
			}}}))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				forward.Serve(r.Context(), w, &amrforward.Request{
					ID: "r", Method: http.MethodGet, Target: "/x", Path: "/x", Host: "shop.example", Header: http.Header{}, Arrived: clock.Now().Add(-test.age),
				})
			}))
			defer server.Close()
			response, err := http.Get(server.URL)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			if test.deaf {
				clock.Sleep(1500 * time.Millisecond)
			}
			body, err := io.ReadAll(response.Body)
			if test.status == 0 {
				is.True(err != nil)
				is.True(len(body) < test.bytes)
				return
			}
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
		})
	}
}
