package amrreplay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrtrace"
)

const ms = time.Millisecond

// TestMeasurementResult checks the result that is computed from calls and
// engine runs, each of which exercises a different rule.
func TestMeasurementResult(t *testing.T) {
	is := is.New(t)
	requests := []amrtrace.Request{
		{Team: "recife"},
		{Team: "recife", At: 10 * ms},
		{Team: "natal", At: 20 * ms, NonIdempotent: true, Key: "order-1"},
		{Team: "natal", At: 30 * ms, NonIdempotent: true, Key: "order-1"},
		{Team: "natal", At: 40 * ms},
		{Team: "natal", At: 50 * ms},
		{Team: "natal", At: 60 * ms},
	}
	calls := []call{
		{outcome: outcomeAnswered, fingerprint: 1, sent: 1 * ms, firstToken: 50 * ms, finished: 60 * ms, sends: 1, requestID: "router-1.a.1"},
		{outcome: outcomeAnswered, fingerprint: 2, due: 5 * ms, sent: 6 * ms, firstToken: 15 * ms, finished: 20 * ms, sends: 2, requestID: "router-2.b.1"},
		{outcome: outcomeAnswered, fingerprint: 3, due: 10 * ms, sent: 10 * ms, firstToken: 20 * ms, finished: 30 * ms, sends: 1, requestID: "router-1.a.2"},
		{outcome: outcomeRefused, fingerprint: 3, due: 15 * ms, sent: 15 * ms, finished: 17 * ms, sends: 1, ran: "not-run", reason: "overloaded", requestID: "router-2.b.2"},
		{outcome: outcomeRefused, fingerprint: 4, due: 20 * ms, sent: 20 * ms, finished: 21 * ms, sends: 1, ran: "not-run", reason: "overloaded", requestID: "router-1.a.3"},
		{outcome: outcomeWrong, fingerprint: 5, due: 25 * ms, sent: 25 * ms, firstToken: 30 * ms, finished: 31 * ms, sends: 1},
		{outcome: outcomeCut, fingerprint: 6, due: 30 * ms, sent: 30 * ms, finished: 40 * ms, sends: 2},
	}
	m := measurement{
		playback: &playback{policy: "cache-aware", requests: requests, calls: calls, settings: settings{timeScale: 2, engines: 2}},
		runs: map[uint64][]engineRun{
			1: {{amrengine.Run{PromptTokens: 1000, CachedTokens: 800}, 0}},
			2: {{amrengine.Run{PromptTokens: 1000, CachedAnywhereTokens: 400, PreviouslyComputedTokens: 500}, 1}},
			3: {{amrengine.Run{PromptTokens: 1000}, 0}, {amrengine.Run{PromptTokens: 1000}, 1}},
			4: {{amrengine.Run{RequestID: "router-1.a.3", PromptTokens: 1000, CachedTokens: 200}, 1}},
		},
	}
	r := m.result()
	is.Equal(r.Requests, 7)
	is.Equal(r.Answered, 3)
	is.Equal(r.Refused, 2)
	// One answer was cut off, one was wrong, and one request was refused as
	// not run although it ran.
	is.Equal(r.Lost, 3)
	is.Equal(r.Details.FailureCounts, FailureCounts{Cut: 1, Wrong: 1, FalseRefusal: 1, Resent: 2})
	is.Equal(r.DuplicateRuns, 1)
	is.Equal(r.HitRate, 0.2)
	is.Equal(r.RecomputedTokens, 500)
	is.Equal(r.WastedTokens, 400)
	// The times are 100, 20, 20, 10 and, for the answer that was cut off,
	// 20 ms.
	is.Equal(r.TTFT50.Round(ms), 20*ms)
	// The time counts from when the request was due, not from when it was
	// sent.
	is.Equal(r.TTFT99.Round(ms), 100*ms)
	is.Equal(r.Details.Refusals, map[string]int{"overloaded": 2})
	is.Equal(len(r.Details.Teams), 2)
	is.Equal(r.Details.Teams[1].HitRate, 0.4)
	is.Equal(len(r.Details.Routers), 2)
	is.Equal(r.Details.Routers[0].Router, "router-1.a")
	is.Equal(r.Details.Routers[0].Requests, 3)
}
