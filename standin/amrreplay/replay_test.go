package amrreplay

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"amaranthreach.example/standin/amrtrace"
)

const maxAnswerTokens = 8

// recordedRequests returns the requests of the named recorded trace that are
// due from start to end, exclusive. Their times are relative to start, and
// their answers are limited to maxAnswerTokens.
func recordedRequests(t *testing.T, name string, start, end time.Duration) []amrtrace.Request {
	t.Helper()
	f, err := os.Open(filepath.Join("..", "testdata", "traces", name+".jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	all, err := amrtrace.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	var requests []amrtrace.Request
	for _, r := range all {
		if r.At >= start && r.At < end {
			r.At -= start
			r.OutputTokens = min(r.OutputTokens, maxAnswerTokens)
			requests = append(requests, r)
		}
	}
	return requests
}

// runLenient runs the replay and ignores the error that reports late requests,
// for tests that do not check latencies.
func runLenient(t *testing.T, r *Replay, policy string) Result {
	t.Helper()
	result, err := r.Run(t.Context(), policy)
	if err != nil && !errorx.IsOfType(err, distorted) {
		t.Error(err)
	}
	return result
}

func TestReplay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	requests := recordedRequests(t, amrtrace.Mandacaru, 2400*ms, 4800*ms)
	replay := New(requests, WithEngines(12), WithRouters(2), WithTimeScale(4))
	result := runLenient(t, replay, "cache-aware")
	t.Logf("refusals by reason %v, requests sent up to %v late", result.Details.Refusals, result.Details.DispatchLateness)
	is.Equal(result.Requests, len(requests))
	is.Equal(result.Answered, len(requests))
	is.Equal(result.Lost, 0)
	is.Equal(result.DuplicateRuns, 0)
	ideal, err := replay.Run(t.Context(), PolicyIdeal)
	is.NoErr(err)
	is.True(result.HitRate > 0)
	is.True(result.HitRate <= ideal.HitRate+0.05)

	dir := t.TempDir()
	is.NoErr(WriteReport(dir, []Result{result, ideal}))
	page, err := os.ReadFile(filepath.Join(dir, reportPage))
	is.NoErr(err)
	is.True(bytes.Contains(page, []byte("cache-aware")))
	data, err := os.ReadFile(filepath.Join(dir, reportResults))
	is.NoErr(err)
	var list []map[string]any
	is.NoErr(json.Unmarshal(data, &list))
	is.Equal(len(list), 2)
	for _, name := range []string{
		"policy", "requests", "answered", "refused", "lost", "doubled", "hit-rate", "recomputed-tokens", "wasted-tokens", "ttft-p50-ms", "ttft-p99-ms",
	} {
		for _, object := range list {
			_, ok := object[name]
			is.True(ok)
			is.Equal(len(object), 11)
		}
	}
}

// TestReplayWithFaults checks that faults neither lose a request nor run a
// non-idempotent request twice.
func TestReplayWithFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	requests := recordedRequests(t, amrtrace.Mandacaru, 2400*ms, 4800*ms)
	faults := Faults{
		{At: 800 * ms, Kind: FaultCrash, Target: "engine-1", For: 500 * ms},
		{At: 300 * ms, Kind: FaultCrash, Target: "router-1", For: 100 * ms},
		{At: 900 * ms, Kind: FaultRouterRestart, Target: "router-2"},
		{At: 1200 * ms, Kind: FaultFreeze, Target: "engine-2", For: 200 * ms},
		{At: 1200 * ms, Kind: FaultEventGap, For: 500 * ms},
		{At: 1500 * ms, Kind: FaultStoreOutage, For: 500 * ms},
	}
	replay := New(requests, WithEngines(12), WithRouters(2), WithTimeScale(2), WithFaults(faults))
	result := runLenient(t, replay, "cache-aware")
	is.Equal(result.Answered+result.Refused, len(requests))
	is.Equal(result.Details.FailureCounts, FailureCounts{Resent: result.Details.FailureCounts.Resent})
	is.Equal(result.DuplicateRuns, 0)
	is.True(slices.ContainsFunc(result.Details.Routers, func(r RouterResult) bool {
		// The router served requests after its restart.
		return strings.HasPrefix(r.Router, "router-1.") && r.To > 400*ms
	}))
}

func TestCommand(t *testing.T) {
	trace := filepath.Join("..", "testdata", "traces", "mandacaru.jsonl")
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"no trace", nil, `required flag(s) "trace" not set`},
		{"missing trace", []string{"--trace", "none.jsonl"}, "replay.bad-flag: --trace: cannot open the trace file; name a readable trace file, cause: open none.jsonl: no such file or directory"},
		{"unknown policy", []string{"--trace", trace, "--policy", "best"}, `replay.bad-flag: --policy: "best" is not a policy: use cache-aware, round-robin, least-loaded, prefix-hash, omniscient or ideal`},
		{"time scale", []string{"--trace", trace, "--time-scale", "0"}, "replay.bad-flag: --time-scale must be greater than 0"},
		{"engines", []string{"--trace", trace, "--engines", "0"}, "replay.bad-flag: --engines and --routers must be greater than 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := Command()
			c.SetArgs(tt.args)
			c.SetOut(&bytes.Buffer{})
			c.SetErr(&bytes.Buffer{})
			err := c.ExecuteContext(context.Background())
			is.True(err != nil)
			is.Equal(err.Error(), tt.want)
		})
	}
}
