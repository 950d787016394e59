package amrfleet_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrfleet"
)

const explainRecords = `
kind: team
schema-version: 1
name: recife
spec:
  key-sha256: [R-DIGEST]
  requests-per-second: 1
---
kind: team
schema-version: 1
name: operators
spec:
  key-sha256: [O-DIGEST]
  operator: true
---
kind: routing-policy
schema-version: 2
name: p
spec: {policy: cache-aware, recompute-weight: 1, wait-weight: 1}
---
kind: deployment
schema-version: 1
name: m1
spec: {type: model, model: m1, weights: w1, routing-policy: p}
---
kind: deployment
schema-version: 1
name: orders
spec: {type: service, routing-policy: p}
`

// secret is a text in callers' prompts and in an invalid model name that must
// not be logged or stored.
const secret = "MY-CHILD-IS-ILL"

// TestExplainAcrossRouters checks that a router explains the decisions of
// another one, both while the other runs and after it has stopped, and that no
// text of a prompt or of an invalid model name is logged or stored.
func TestExplainAcrossRouters(t *testing.T) {
	is := is.New(t)
	var logged lockedBuffer
	config := amrfleet.DefaultConfig
	config.TimeScale = 20
	config.Log = slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
	fleet, err := amrfleet.Start(context.Background(), config)
	is.NoErr(err)
	defer func() { is.NoErr(fleet.Stop()) }()
	records := explainRecords
	records = strings.Replace(records, "R-DIGEST", amrrecord.KeyDigest("r-key"), 1)
	records = strings.Replace(records, "O-DIGEST", amrrecord.KeyDigest("o-key"), 1)
	is.Equal(applyRecords(t, fleet, records), "in force")

	answered := requestCompletion(t, fleet, `{"model":"m1","prompt":"`+secret+`","max_tokens":2}`, http.StatusOK)
	invalid := requestCompletion(t, fleet, `{"model":"`+strings.Repeat(secret, 20)+`","prompt":"x"}`, http.StatusBadRequest)
	var limited string
	for range 20 {
		response := sendCompletion(t, fleet, `{"model":"m1","prompt":"`+secret+`","max_tokens":2}`)
		if response.StatusCode == http.StatusTooManyRequests {
			limited = response.Header.Get("X-Request-Id")
			break
		}
	}
	is.True(limited != "") // A request was rejected because of the team's limit.

	awaitPeers(t, fleet)
	is.Equal(getExplanation(t, fleet, answered).Outcome, "answered")
	is.Equal(getExplanation(t, fleet, limited).Reason, "team-limit")

	is.NoErr(fleet.Routers[0].Stop())
	is.Equal(getExplanation(t, fleet, answered).Outcome, "answered")
	is.Equal(getExplanation(t, fleet, invalid).Reason, "bad-request")
	found := getExplanation(t, fleet, limited)
	is.True(strings.Contains(found.Summary, "It was not run, so nothing has been done because of it."))

	var refusals struct {
		Refusals []explanation `json:"refusals"`
	}
	getFromOperators(t, fleet, "/v1/refusals?team=recife&reason=team-limit", &refusals)
	is.Equal(refusals.Refusals[len(refusals.Refusals)-1].RequestID, limited)

	is.True(!strings.Contains(logged.String(), secret))
	is.True(!strings.Contains(storedData(t, fleet), secret))
}

// explanation is the part of the response to /v1/explain that the test checks.
type explanation struct {
	RequestID string `json:"request_id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Summary   string `json:"summary"`
}

// requestCompletion sends a completion request to the first router, checks the
// status of the response and returns the request ID.
func requestCompletion(t *testing.T, fleet *amrfleet.Fleet, body string, status int) string {
	t.Helper()
	response := sendCompletion(t, fleet, body)
	if response.StatusCode != status {
		t.Fatalf("status %d, want %d", response.StatusCode, status)
	}
	return response.Header.Get("X-Request-Id")
}

// sendCompletion sends a completion request to the first router. It reads and
// discards the body of the response.
func sendCompletion(t *testing.T, fleet *amrfleet.Fleet, body string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.Routers[0].CallersURL()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer r-key")
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response
}

// getExplanation gets the explanation of a request from the second router.
func getExplanation(t *testing.T, fleet *amrfleet.Fleet, id string) explanation {
	t.Helper()
	var e explanation
	getFromOperators(t, fleet, "/v1/explain/"+id, &e)
	return e
}

// getFromOperators gets a path of the second router's operators' interface and
// decodes the response into result.
func getFromOperators(t *testing.T, fleet *amrfleet.Fleet, path string, result any) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fleet.Routers[1].OperatorsURL()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer o-key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d", path, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		t.Fatal(err)
	}
}

// awaitPeers waits until the second router has discovered all routers.
func awaitPeers(t *testing.T, fleet *amrfleet.Fleet) {
	t.Helper()
	var status struct {
		Routers []struct {
			Name  string `json:"name"`
			Ready bool   `json:"ready"`
		} `json:"routers"`
	}
	clock := clockwork.NewRealClock()
	for deadline := clock.Now().Add(10 * time.Second); clock.Now().Before(deadline); clock.Sleep(5 * time.Millisecond) {
		getFromOperators(t, fleet, "/v1/status", &status)
		if len(status.Routers) == len(fleet.Routers) {
			return
		}
	}
	t.Fatalf("the second router has not discovered all routers: %v", status)
}

// storedData returns the contents of the platform's object store and table. It
// uncompresses compressed objects.
func storedData(t *testing.T, fleet *amrfleet.Fleet) string {
	t.Helper()
	const limit = 10000
	var b strings.Builder
	keys, err := fleet.Platform.ListObjects(t.Context(), "", "", limit)
	if err != nil {
		t.Fatal(err)
	}
	if len(keys) == 0 {
		t.Fatal("nothing is stored")
	}
	for _, key := range keys {
		data, err := fleet.Platform.GetObject(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		if reader, err := gzip.NewReader(bytes.NewReader(data)); err == nil {
			if data, err = io.ReadAll(reader); err != nil {
				t.Fatal(err)
			}
		}
		b.Write(data)
	}
	items, err := fleet.Platform.Scan(t.Context(), "", "", limit)
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range items {
		b.Write(item.Value)
	}
	return b.String()
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
