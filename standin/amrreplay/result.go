package amrreplay

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Result holds the measurements of one replay under a policy. All times are in
// trace time.
type Result struct {
	Policy   string
	Requests int
	Answered int
	Refused  int
	// Lost counts requests without a complete correct answer or a truthful
	// refusal.
	Lost int
	// DuplicateRuns counts the runs of non-idempotent requests beyond the first
	// run of each.
	DuplicateRuns int
	// HitRate is the fraction of prompt tokens that were cached when a run
	// started.
	HitRate float64
	// RecomputedTokens counts computed prompt tokens that an engine had
	// computed before.
	RecomputedTokens int
	// WastedTokens counts computed prompt tokens that any engine, the
	// computing one included, had cached when the prefill started.
	WastedTokens int
	// TTFT50 and TTFT99 are percentiles of the time to the first token. A
	// request that received no token counts with its whole duration, unless
	// it was refused.
	TTFT50  time.Duration
	TTFT99  time.Duration
	Details Details
}

// Details holds further measurements of a replay.
type Details struct {
	FailureCounts FailureCounts
	Teams         []TeamResult
	Windows       []Window
	Routers       []RouterResult
	// InFlightMaxToMean is the number of requests at the busiest engine
	// divided by the mean over all engines, both averaged over time.
	InFlightMaxToMean float64
	TTFTMean          time.Duration // TTFTMean is the mean of the times that TTFT50 covers.
	// DispatchLateness is the 99th percentile of the delay with which
	// requests were sent.
	DispatchLateness time.Duration
	Refusals         map[string]int // Refusals counts refused requests by reason.
}

// FailureCounts counts lost requests by cause, and repeated sends.
type FailureCounts struct {
	Cut          int // Cut counts requests whose answer ended early or did not arrive.
	Wrong        int // Wrong counts requests with an incorrect answer.
	FalseRefusal int // FalseRefusal counts refusals that claim that the request did not run although it did.
	Resent       int // Resent counts the sends that repeat a request after a broken connection.
}

// TeamResult holds the measurements of one team's requests.
type TeamResult struct {
	Team     string
	Requests int
	TTFT50   time.Duration
	TTFT99   time.Duration
	HitRate  float64
}

// Window holds the measurements of the requests that were due within one second
// of the trace.
type Window struct {
	At          time.Duration // At is the start of the window.
	Requests    int
	TTFT50      time.Duration
	TTFT99      time.Duration
	HitRate     float64
	MaxInFlight int // MaxInFlight is the largest number of requests in flight at one engine.
}

// RouterResult holds the measurements of the first requests of one incarnation
// of a router.
type RouterResult struct {
	Router        string        // Router is the name and the incarnation, separated by a dot.
	From          time.Duration // From and To are the times of the first and the last of these requests.
	To            time.Duration
	Requests      int
	HitRate       float64
	OthersHitRate float64 // OthersHitRate is the hit rate of all other router incarnations between From and To.
}

type resultJSON struct {
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

// WriteJSON writes the results as a JSON list. Fields that do not apply to
// PolicyIdeal are null in its result.
func WriteJSON(w io.Writer, results []Result) error {
	list := make([]resultJSON, len(results))
	for i, r := range results {
		list[i] = resultJSON{Policy: r.Policy, Requests: r.Requests, HitRate: r.HitRate}
		if r.Policy == PolicyIdeal {
			continue
		}
		p50, p99 := milliseconds(r.TTFT50), milliseconds(r.TTFT99)
		list[i].Answered, list[i].Refused, list[i].Lost, list[i].Doubled = &r.Answered, &r.Refused, &r.Lost, &r.DuplicateRuns
		list[i].RecomputedTokens, list[i].WastedTokens = &r.RecomputedTokens, &r.WastedTokens
		list[i].TTFT50, list[i].TTFT99 = &p50, &p99
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(list)
}

// WriteTable writes the results as a text table with one row for each policy.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\trequests\tanswered\trefused\tlost\tdoubled\thit rate\trecomputed\twasted\tTTFT p50\tTTFT p99\t")
	for _, r := range results {
		if r.Policy == PolicyIdeal {
			fmt.Fprintf(t, "%s\t%d\t-\t-\t-\t-\t%.3f\t-\t-\t-\t-\t\n", r.Policy, r.Requests, r.HitRate)
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%.0f ms\t%.0f ms\t\n", r.Policy, r.Requests, r.Answered, r.Refused,
			r.Lost, r.DuplicateRuns, r.HitRate, r.RecomputedTokens, r.WastedTokens, milliseconds(r.TTFT50), milliseconds(r.TTFT99))
	}
	return t.Flush()
}

// WriteDetails writes the details of each result as text, with tables by team,
// by window and by router.
func WriteDetails(w io.Writer, results []Result) error {
	for _, r := range results {
		if r.Policy == PolicyIdeal {
			continue
		}
		d := r.Details
		fmt.Fprintf(w, "\n%s: in-flight max/mean %.2f, mean TTFT %.0f ms, dispatch lateness p99 %.1f ms, truncated answers %d, wrong answers %d, false refusals %d, resent %d\n",
			r.Policy, d.InFlightMaxToMean, milliseconds(d.TTFTMean), milliseconds(d.DispatchLateness),
			d.FailureCounts.Cut, d.FailureCounts.Wrong, d.FailureCounts.FalseRefusal, d.FailureCounts.Resent)
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
			fmt.Fprintf(t, "%s\t%d\t%.3f\t%.0f ms\t%.0f ms\t%d\t\n", v.At, v.Requests, v.HitRate, milliseconds(v.TTFT50), milliseconds(v.TTFT99), v.MaxInFlight)
		}
		fmt.Fprintln(t, "first requests of\tfrom\tto\trequests\thit rate\tothers\t")
		for _, v := range d.Routers {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t\n", v.Router, v.From.Round(time.Millisecond), v.To.Round(time.Millisecond), v.Requests, v.HitRate, v.OthersHitRate)
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
