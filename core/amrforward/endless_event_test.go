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

// endlessBackend is a backend whose first answer repeats a text after its first event, up to
// a size that stands for no end. All others go on with the second event to the end.
type endlessBackend struct {
	begin  string // What follows the first event.
	repeat string
	left   int // Bytes that the first answer still has to send.
	sends  int
}

func (b *endlessBackend) Send(_ context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	if _, err := a.BeforeSend(); err != nil {
		return nil, err
	}
	b.sends++
	answer := &amrforward.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1}
	if b.sends > 1 {
		answer.Body = io.NopCloser(strings.NewReader("id: 2\ndata: x\n\n"))
		return answer, nil
	}
	answer.Body = cutBody{io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"+b.begin), b)}
	return answer, nil
}

// Read reads the repeated text.
func (b *endlessBackend) Read(p []byte) (int, error) {
	n := 0
	for b.left > 0 && len(p)-n >= len(b.repeat) {
		n += copy(p[n:], b.repeat)
		b.left -= len(b.repeat)
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// newEventSite returns a forwarder before the backend, with two servers and a resumable
// stream route.
func newEventSite(b amrforward.Backend, opts ...amrforward.Option) *amrforward.Forwarder {
	fleet := amrpool.New()
	for _, name := range []string{"s1", "s2"} {
		fleet.UpdateServer(amrpool.Listing{Name: name, Pool: "app", Address: name, Slots: 10})
	}
	opts = append(opts, amrforward.WithWarmUp(0), amrforward.WithLogger(slog.New(slog.DiscardHandler)),
		amrforward.WithRetryBounds(amrforward.RetryBounds{Slack: 10, Window: 10 * time.Second}, func() int { return 1 }))
	forward := amrforward.New(fleet, b, opts...)
	forward.SetTable(amrroute.New(amrroute.Records{Version: 1, Routes: []amrroute.Route{{
		Name: "stream", Host: "shop.example", Prefix: "/", Kind: amrroute.Stream, Resumable: true, Public: true, Timeout: time.Minute, MaxServers: 2,
		Targets: []amrroute.Target{{Pool: "app", Weight: 1}},
	}}}))
	return forward
}

// streamRequest returns a request to the route of newEventSite.
func streamRequest() *amrforward.Request {
	return &amrforward.Request{ID: "r", Method: http.MethodPost, Target: "/x", Path: "/x", Host: "shop.example", Header: http.Header{}, Arrived: clock.Now()}
}

// TestEndlessEvent guards against an event without end that fills the memory of a router
// whose settings name no bound: the stream is broken off there and goes on at another server.
func TestEndlessEvent(t *testing.T) {
	const sent, mostRead = 64 << 20, 2 << 20
	for name, b := range map[string]*endlessBackend{
		"line without end":         {begin: "data: ", repeat: "xxxxxxxx"},
		"data lines without blank": {repeat: "data: x\n"},
		"id lines without blank":   {repeat: "id: 2\n"},
		"comments in an event":     {begin: "id: 2\n", repeat: ":\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b.left = sent
			w := httptest.NewRecorder()
			newEventSite(b).Serve(t.Context(), w, streamRequest())
			is.True(sent-b.left < mostRead)
			is.Equal(w.Body.String(), "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
			is.Equal(b.sends, 2)
		})
	}
}

// TestLargeEvent guards against sound events that the limit of TestEndlessEvent cuts off.
func TestLargeEvent(t *testing.T) {
	is := is.New(t)
	const eventBytes = 900 << 10
	b := &endlessBackend{begin: "id: 2\ndata: " + strings.Repeat("x", eventBytes) + "\n\n", repeat: "id: 3\ndata: y\n\n", left: 20 * 15}
	w := httptest.NewRecorder()
	newEventSite(endedBackend{b}).Serve(t.Context(), w, streamRequest())
	is.Equal(w.Body.String(), "id: 1\ndata: x\n\n"+b.begin+strings.Repeat(b.repeat, 20))
	is.Equal(b.sends, 1)
}

// endedBackend is an endlessBackend whose first answer ends where its bytes do.
type endedBackend struct{ *endlessBackend }

func (b endedBackend) Send(ctx context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	answer, err := b.endlessBackend.Send(ctx, a)
	if cut, ok := answer.Body.(cutBody); ok {
		answer.Body = io.NopCloser(cut.Reader)
	}
	return answer, err
}

// TestOversizedEventID guards against an ID that is kept after its event and sent on to the
// next server: such a stream is broken off, and not taken up after an earlier event.
func TestOversizedEventID(t *testing.T) {
	is := is.New(t)
	b := &endlessBackend{begin: "id: " + strings.Repeat("9", 500<<10) + "\ndata: x\n\n", repeat: "data: x\n\n", left: 9}
	forward := newEventSite(b)
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // How a broken answer ends.
		forward.Serve(t.Context(), w, streamRequest())
	}()
	is.Equal(w.Body.String(), "id: 1\ndata: x\n\n"+b.begin+b.repeat)
	is.Equal(b.sends, 1)
}
