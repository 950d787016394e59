package amrforward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

const (
	reportDelay  = 100 * time.Millisecond // Time until a server reports its load with the header of its answer.
	serverTokens = 10_000                 // Memory of a server.
)

// loadedBackend answers with the load of a server that runs only what it was sent.
type loadedBackend struct {
	sent    chan struct{} // Gets a value for each send.
	delay   time.Duration // Time until the header of each answer.
	answers chan struct{} // Closed when the answers end.
}

func (b *loadedBackend) Send(ctx context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	if _, err := a.BeforeSend(); err != nil {
		return nil, amrhttp.NotSent.Wrap(err, "withheld")
	}
	b.sent <- struct{}{}
	select {
	case <-clock.After(b.delay):
	case <-ctx.Done():
		return nil, amrhttp.Broken.Wrap(ctx.Err(), "no answer")
	}
	return &amrforward.Answer{
		Status: http.StatusOK, Header: http.Header{}, Length: -1, Load: &amrpool.Load{Running: 1, Slots: 8},
		Body: io.NopCloser(&openBody{end: b.answers}),
	}, nil
}

// openBody is the body of an answer that ends when its channel is closed.
type openBody struct{ end <-chan struct{} }

func (b *openBody) Read([]byte) (int, error) {
	<-b.end
	return 0, io.EOF
}

// TestWaitForFirstReport guards against requests that a router refuses as it has just started,
// although its servers are idle: with a hard bound on their memory it has one request in flight
// at each until that has reported its load. It also guards against the opposite, a request that
// waits although the reports show that there is no room, or that no report will come in time.
func TestWaitForFirstReport(t *testing.T) {
	for name, test := range map[string]struct {
		firstTokens  int           // Output tokens of the request that is in flight when the others arrive.
		delay        time.Duration // See loadedBackend.
		arrive       time.Duration // Time from the send of the first request to the arrival of the others.
		served       bool
		least, below time.Duration // Bounds of the time that the others wait.
	}{
		"report comes":              {firstTokens: 500, delay: reportDelay, served: true, below: time.Second},
		"no room, no report yet":    {firstTokens: 8900, delay: reportDelay, below: reportDelay},
		"no room by the report":     {firstTokens: 8900, arrive: 50 * time.Millisecond, below: reportDelay},
		"no report within the time": {firstTokens: 500, delay: 5 * time.Second, least: 200 * time.Millisecond, below: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := &loadedBackend{sent: make(chan struct{}, 10), delay: test.delay, answers: make(chan struct{})}
			forward := newHardForwarder(b)
			var first errgroup.Group
			first.Go(func() error { serveTokens(t.Context(), forward, "first", test.firstTokens); return nil })
			<-b.sent
			clock.Sleep(test.arrive)
			var others errgroup.Group
			for _, id := range []string{"second", "third"} {
				others.Go(func() error {
					start := clock.Now()
					if test.served { // Its answer ends like the first one, when the channel is closed.
						serveTokens(t.Context(), forward, id, 500)
						return nil
					}
					w := serveTokens(t.Context(), forward, id, 500)
					waited := clock.Since(start)
					is.Equal(w.Code, http.StatusServiceUnavailable)
					is.True(strings.Contains(w.Body.String(), `"ran":"not-run"`))
					is.True(w.Header().Get("Retry-After") != "")
					is.True(waited >= test.least)
					is.True(waited < test.below)
					return nil
				})
			}
			if test.served {
				for range 2 {
					select {
					case <-b.sent:
					case <-clock.After(test.below):
						t.Error("a request was not sent although the server has room")
					}
				}
			} else {
				is.NoErr(others.Wait())
			}
			close(b.answers)
			is.NoErr(others.Wait())
			is.NoErr(first.Wait())
		})
	}
}

// newHardForwarder returns a forwarder to one engine, whose memory is a hard bound.
func newHardForwarder(b amrforward.Backend) *amrforward.Forwarder {
	fleet := amrpool.New(amrpool.WithHardServerMemory(), amrpool.WithCacheTokens(func(string) int { return serverTokens }))
	fleet.UpdateServer(amrpool.Listing{Name: "e1", Pool: "engines", Address: "e1", Slots: 8, Weights: map[string]int{"m1": 1}})
	forward := amrforward.New(fleet, b, amrforward.WithWarmUp(0))
	forward.SetTable(amrroute.New(amrroute.Records{
		Version: 1,
		Routes: []amrroute.Route{{
			Name: "model", Host: "shop.example", Prefix: "/", Kind: amrroute.Idempotent, Timeout: 3 * time.Second, MaxServers: 1,
			Targets: []amrroute.Target{{Pool: "engines", Weight: 1}},
		}},
		Teams: []amrroute.Team{{Name: "recife", Keys: []string{"k1"}}},
	}))
	return forward
}

// serveTokens serves a request for the number of output tokens.
func serveTokens(ctx context.Context, forward *amrforward.Forwarder, id string, tokens int) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	forward.Serve(ctx, w, &amrforward.Request{
		ID: id, Method: http.MethodPost, Target: "/x", Path: "/x", Host: "shop.example", Header: http.Header{}, Key: "k1", Arrived: clock.Now(),
		Model: "m1", PromptTokens: 20, OutputTokens: tokens, Parts: []amrpool.Part{{ID: id, Tokens: 20}},
	})
	return w
}
