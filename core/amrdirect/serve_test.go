package amrdirect

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestStopAsksCallersToLeave guards against connections that callers use often and that a stop
// closes while a request is on its way: from the begin of the stop on, each answer tells the caller
// that its connection ends. The opposite: a router that is not stopping keeps connections.
func TestStopAsksCallersToLeave(t *testing.T) {
	is := is.New(t)
	r := New(Dependencies{}, Settings{Host: "own"}, WithLogger(slog.New(slog.DiscardHandler)))
	server := httptest.NewServer(r.askToLeave(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "complete")
	})))
	defer server.Close()
	for _, stopping := range []bool{false, true} {
		if stopping {
			r.MarkNotReady()
		}
		response, err := http.Get(server.URL)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(string(body), "complete")
		is.Equal(response.Close, stopping)
	}
}
