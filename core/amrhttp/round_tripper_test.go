package amrhttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"amaranthreach.example/core/amrhttp"
)

// TestRoundTripper runs the cases in testdata/round-tripper, which have the form of those of
// TestTransport. With the argument "times", each request is sent that often, to a new server
// each time, and the output tells how often its response was complete.
func TestRoundTripper(t *testing.T) {
	datadriven.RunTest(t, "testdata/round-tripper", func(t *testing.T, d *datadriven.TestData) string {
		responses := parseResponses(d.Input)
		body := bodyOf(d)
		times := 1
		d.MaybeScanArgs(t, "times", &times)
		var out strings.Builder
		var complete int
		for range times {
			s := serve(t, responses)
			client := &http.Client{Transport: amrhttp.NewRoundTripper(&http.Transport{DisableCompression: true})}
			for range responses {
				result, err := get(t, client, s.listener.Addr().String(), body)
				if err == nil {
					complete++
				}
				out.WriteString(result + "\n")
			}
			client.CloseIdleConnections()
			if d.HasArg("conns") {
				fmt.Fprintf(&out, "connections: %d\n", s.conns.Load())
			}
		}
		if d.HasArg("times") {
			return fmt.Sprintf("complete: %d of %d\n", complete, times)
		}
		return out.String()
	})
}

// get sends a request and describes the response, or what is wrong with it.
func get(t *testing.T, client *http.Client, address, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return "no response", err
	}
	defer func() { _ = response.Body.Close() }() // The body has been read to its end or to an error.
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "broken body " + string(data), err
	}
	return strings.TrimSpace(http.StatusText(response.StatusCode) + " " + string(data)), nil
}
