package amrreplay

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Result is what came of a trace under a policy. Times are those of the trace.
type Result struct {
	Policy           string
	Requests         int
	Answered         int
	Refused          int
	Lost             int     // Neither answered whole nor refused truly.
	Doubled          int     // Runs of non-idempotent requests beyond the first.
	HitRate          float64 // Share of prompt tokens that were cached when a run started.
	RecomputedTokens int     // Prompt tokens computed that some engine had computed before.
	WastedTokens     int     // Prompt tokens computed that some engine held at that time.
	TTFT50           time.Duration
	TTFT99           time.Duration
	Details          Details
}

// Details are further measurements of a result.
type Details struct {
	Causes           Causes
	Teams            []TeamResult
	Windows          []Window
	Routers          []RouterResult
	InFlightMaxMean  float64       // Time average of the most requests at an engine by that of the mean over engines.
	TTFTMean         time.Duration // Of all requests with a first token.
	DispatchLateness time.Duration // 99th percentile of how late requests were sent.
	Refusals         map[string]int
}

// Causes counts why requests were lost, and requests that were sent again.
type Causes struct {
	Cut          int // The connection ended without an end or a reason.
	Wrong        int // The answer was not the request's.
	FalseRefusal int // The refusal said that the request had not run, but it had.
	Resent       int // Requests sent again after a cut connection.
}

// TeamResult is what came of a team's requests.
type TeamResult struct {
	Team     string
	Requests int
	TTFT50   time.Duration
	TTFT99   time.Duration
	HitRate  float64
}

// Window is what came of the requests due in a part of the trace.
type Window struct {
	At       time.Duration // Start of the window.
	Requests int
	TTFT50   time.Duration
	TTFT99   time.Duration
	HitRate  float64
	InFlight int // The most requests at one engine.
}

// RouterResult is what came of the first requests of a router's incarnation.
type RouterResult struct {
	Router   string // Name and incarnation.
	From     time.Duration
	To       time.Duration
	Requests int
	HitRate  float64
	Others   float64 // Hit rate of the other routers in the same time.
}

type resultWire struct {
	Policy           string   `json:"policy"`
	Requests         int      `json:"requests"`
	Answered         *int     `json:"answered"`
	Refused          *int     `json:"refused"`
	Lost             *int     `json:"lost"`
	Doubled          *int     `json:"doubled"`
	HitRate          float64  `json:"hit-rate"`
	RecomputedTokens *int     `json:"recomputed-tokens"`
	WastedTokens     *int     `json:"wasted-tokens"`
	TTFT50           *float64 `json:"ttft-p50-ms"`
	TTFT99           *float64 `json:"ttft-p99-ms"`
}

// WriteJSON writes the results as a list. What an ideal cache has no figure
// for is null.
func WriteJSON(w io.Writer, results []Result) error {
	wires := make([]resultWire, len(results))
	for i, r := range results {
		wires[i] = resultWire{Policy: r.Policy, Requests: r.Requests, HitRate: r.HitRate}
		if r.Policy == PolicyIdeal {
			continue
		}
		p50, p99 := milliseconds(r.TTFT50), milliseconds(r.TTFT99)
		wires[i].Answered, wires[i].Refused, wires[i].Lost, wires[i].Doubled = &r.Answered, &r.Refused, &r.Lost, &r.Doubled
		wires[i].RecomputedTokens, wires[i].WastedTokens = &r.RecomputedTokens, &r.WastedTokens
		wires[i].TTFT50, wires[i].TTFT99 = &p50, &p99
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(wires)
}

// WriteTable writes the results for people.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\trequests\tanswered\trefused\tlost\tdoubled\thit rate\trecomputed\twasted\tTTFT p50\tTTFT p99\t")
	for _, r := range results {
		if r.Policy == PolicyIdeal {
			fmt.Fprintf(t, "%s\t%d\t-\t-\t-\t-\t%.3f\t-\t-\t-\t-\t\n", r.Policy, r.Requests, r.HitRate)
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%.0f ms\t%.0f ms\t\n", r.Policy, r.Requests, r.Answered, r.Refused,
			r.Lost, r.Doubled, r.HitRate, r.RecomputedTokens, r.WastedTokens, milliseconds(r.TTFT50), milliseconds(r.TTFT99))
	}
	return t.Flush()
}

// WriteDetails writes the details of the results for people.
func WriteDetails(w io.Writer, results []Result) error {
	for _, r := range results {
		if r.Policy == PolicyIdeal {
			continue
		}
		d := r.Details
		fmt.Fprintf(w, "\n%s: in-flight max/mean %.2f, mean TTFT %.0f ms, dispatch lateness p99 %.1f ms, cut %d, wrong %d, false refusals %d, resent %d\n",
			r.Policy, d.InFlightMaxMean, milliseconds(d.TTFTMean), milliseconds(d.DispatchLateness),
			d.Causes.Cut, d.Causes.Wrong, d.Causes.FalseRefusal, d.Causes.Resent)
		for reason, n := range d.Refusals {
			fmt.Fprintf(w, "  refused %s: %d\n", reason, n)
		}
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "team\trequests\thit rate\tTTFT p50\tTTFT p99\t")
		for _, team := range d.Teams {
			fmt.Fprintf(t, "%s\t%d\t%.3f\t%.0f ms\t%.0f ms\t\n", team.Team, team.Requests, team.HitRate, milliseconds(team.TTFT50), milliseconds(team.TTFT99))
		}
		fmt.Fprintln(t, "from\trequests\thit rate\tTTFT p50\tTTFT p99\tmost in flight\t")
		for _, v := range d.Windows {
			fmt.Fprintf(t, "%s\t%d\t%.3f\t%.0f ms\t%.0f ms\t%d\t\n", v.At, v.Requests, v.HitRate, milliseconds(v.TTFT50), milliseconds(v.TTFT99), v.InFlight)
		}
		fmt.Fprintln(t, "first requests of\tfrom\tto\trequests\thit rate\tothers\t")
		for _, v := range d.Routers {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t\n", v.Router, v.From.Round(time.Millisecond), v.To.Round(time.Millisecond), v.Requests, v.HitRate, v.Others)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
