package amrfleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrfleet"
)

// TestSessions runs the scripts in testdata/sessions and compares the responses
// that callers get byte for byte, apart from request IDs and most headers.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		is := is.New(t)
		config := amrfleet.DefaultConfig
		config.TimeScale = 20
		fleet, err := amrfleet.Start(context.Background(), config)
		is.NoErr(err)
		defer func() { is.NoErr(fleet.Stop()) }()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "records":
				return applyRecords(t, fleet, d.Input)
			case "post":
				return postRequest(t, fleet, d)
			case "runs":
				return countRuns(fleet)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

// applyRecords applies the records of the input and those of the backend
// servers. It returns "in force", or the error.
func applyRecords(t *testing.T, fleet *amrfleet.Fleet, input string) string {
	t.Helper()
	records, err := amrrecord.Parse("session", []byte(input))
	if err != nil {
		return err.Error()
	}
	if err := fleet.Apply(t.Context(), append(records, fleet.Records()...)...); err != nil {
		return err.Error()
	}
	return "in force"
}

// postRequest sends a request to a router and returns its formatted response.
// The arguments router, path and key choose the router, the path and the API
// key; any other argument sets the header with its name. LONG in the input
// stands for a long text.
func postRequest(t *testing.T, fleet *amrfleet.Fleet, d *datadriven.TestData) string {
	t.Helper()
	router, path := 0, "/v1/completions"
	headers := http.Header{"Content-Type": {"application/json"}}
	for _, a := range d.CmdArgs {
		value := strings.Join(a.Vals, ",")
		switch a.Key {
		case "router":
			d.ScanArgs(t, "router", &router)
		case "path":
			path = value
		case "key":
			headers.Set("Authorization", "Bearer "+value)
		default:
			headers.Set(a.Key, value)
		}
	}
	input := strings.ReplaceAll(d.Input, "LONG", strings.Repeat("Agenda, ruled, 160 pages, in boxes of twelve. ", 200))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.Routers[router].CallersURL()+path, strings.NewReader(input))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = headers
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return formatResponse(response, body)
}

var requestIDPattern = regexp.MustCompile(`router-\d+\.[0-9a-f]{8}\.[0-9a-z]+\.[0-9a-z]+`)

// formatResponse returns the status, some of the headers and the body of the
// response, without empty lines, and replaces request IDs by ID.
func formatResponse(response *http.Response, body []byte) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", response.StatusCode)
	for _, name := range []string{"Content-Type", "X-Request-Id", "Retry-After", "Idempotent-Replay"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, value)
		}
	}
	for line := range strings.SplitSeq(strings.TrimSpace(string(body)), "\n") {
		if line != "" {
			fmt.Fprintf(&b, "%s\n", line)
		}
	}
	return requestIDPattern.ReplaceAllString(b.String(), "ID")
}

// countRuns returns the number of runs at engines and at services.
func countRuns(fleet *amrfleet.Fleet) string {
	var engines, services int
	for _, s := range fleet.Servers {
		if s.Engine != nil {
			engines += len(s.Engine.Runs())
		}
		if s.Service != nil {
			services += len(s.Service.Runs())
		}
	}
	return fmt.Sprintf("engines %d, services %d", engines, services)
}
