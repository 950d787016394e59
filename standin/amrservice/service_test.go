package amrservice

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestService runs the script testdata/service.
func TestService(t *testing.T) {
	service := New()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	datadriven.RunTest(t, "testdata/service", func(t *testing.T, d *datadriven.TestData) string {
		var n int
		d.MaybeScanArgs(t, "n", &n)
		switch d.Cmd {
		case "call":
			return call(t, d, server.URL)
		case "refuse":
			service.RefuseNext(n)
		case "lose":
			service.LoseResponses(n)
		case "down":
			service.SetDown(n == 1)
		case "log":
			var b strings.Builder
			for _, r := range service.Runs() {
				fmt.Fprintf(&b, "%d %s key=%q body=%s lost=%v\n", r.Number, r.Path, r.IdempotencyKey, r.Body, r.ResponseLost)
			}
			return b.String()
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		return ""
	})
}

// call sends a call and returns the status and the body of the response, or
// "cut" if the connection was aborted.
func call(t *testing.T, d *datadriven.TestData, url string) string {
	method, path, key := http.MethodPost, "", ""
	d.ScanArgs(t, "path", &path)
	d.MaybeScanArgs(t, "method", &method)
	d.MaybeScanArgs(t, "key", &key)
	req, err := http.NewRequestWithContext(t.Context(), method, url+path, strings.NewReader(d.Input))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", key)
	req.GetBody = nil // Otherwise the transport repeats a call with an idempotency key when its response is lost.
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "cut"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, body)
}
