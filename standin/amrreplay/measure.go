package amrreplay

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrpace"
)

const (
	windowLength   = time.Second           // Trace time that one Window covers.
	sampleInterval = 50 * time.Millisecond // Trace time between two counts of the requests in flight.
	// RouterResult covers the first requests of a router incarnation, at
	// most this many.
	firstRequestCount = 100
	// A result whose 99th percentile of the lateness exceeds this, in trace
	// time, is reported as distorted.
	maxDispatchLateness = 20 * time.Millisecond
	percentileMedian    = 50
	percentileTail      = 99
)

var (
	namespace = errorx.NewNamespace("replay")
	// distorted is the type of the error if requests were sent too late for the
	// measured latencies to be reliable.
	distorted = namespace.NewType("distorted")
	// badFaults is the type of errors in a list of faults.
	badFaults = namespace.NewType("bad-faults")
	// badFlag is the type of errors in the values of command line flags.
	badFlag = namespace.NewType("bad-flag")
)

// engineRun is an entry of an engine's log with the index of that engine.
type engineRun struct {
	amrengine.Run
	engine int
}

// measurement joins the records of the callers with the logs of the engines.
type measurement struct {
	*playback
	runs map[uint64][]engineRun // runs holds the runs by prompt fingerprint, in order of their start.
}

// measure computes the result. If requests were sent so late that the latencies
// are not reliable, it returns the result together with an error.
func (p *playback) measure() (Result, error) {
	m := measurement{playback: p, runs: make(map[uint64][]engineRun)}
	for i, s := range p.fleet.Servers {
		if s.Engine == nil {
			continue
		}
		for _, r := range s.Engine.Runs() {
			m.runs[r.Fingerprint] = append(m.runs[r.Fingerprint], engineRun{r, i})
		}
	}
	for _, runs := range m.runs {
		slices.SortFunc(runs, func(a, b engineRun) int { return a.At.Compare(b.At) })
	}
	result := m.result()
	if late := result.Details.DispatchLateness; late > maxDispatchLateness {
		return result, distorted.New("requests were sent %v late (99th percentile, limit %v): use a lower time scale or a machine with less load", late, maxDispatchLateness)
	}
	return result, nil
}

func (m measurement) result() Result {
	r := Result{Policy: m.policy, Requests: len(m.calls)}
	r.Details.Refusals = make(map[string]int)
	ttft, lateness := amrpace.NewHistogram(), amrpace.NewHistogram()
	for i := range m.calls {
		c := &m.calls[i]
		m.addOutcome(c, &r)
		lateness.Record(m.settings.traceTime(c.sent - c.due))
		m.recordTTFT(ttft, c)
	}
	var hits hitCounter
	for _, runs := range m.runs {
		for _, run := range runs {
			hits.add(run.Run)
			r.RecomputedTokens += run.PreviouslyComputedTokens
			r.WastedTokens += run.CachedAnywhereTokens
		}
	}
	r.DuplicateRuns = m.duplicateRuns()
	r.HitRate = hits.rate()
	r.TTFT50, r.TTFT99 = ttft.Percentile(percentileMedian), ttft.Percentile(percentileTail)
	r.Details.TTFTMean = ttft.Mean()
	r.Details.DispatchLateness = lateness.Percentile(percentileTail)
	r.Details.Teams = m.teams()
	r.Details.Windows, r.Details.InFlightMaxToMean = m.windows()
	r.Details.Routers = m.routers()
	return r
}

// addOutcome adds the outcome of the call to the counts of the result.
func (m measurement) addOutcome(c *call, r *Result) {
	r.Details.FailureCounts.Resent += c.sends - 1
	switch c.outcome {
	case outcomeAnswered:
		r.Answered++
	case outcomeRefused:
		r.Refused++
		r.Details.Refusals[c.reason]++
		if c.ran == string(amrreason.NotRun) && m.ran(c) {
			r.Details.FailureCounts.FalseRefusal++
			r.Lost++
		}
	case outcomeWrong:
		r.Details.FailureCounts.Wrong++
		r.Lost++
	default:
		r.Details.FailureCounts.Cut++
		r.Lost++
	}
}

// ran reports whether an engine ran the request of the call. It compares
// request ids, since a request with the same idempotency key has the same
// fingerprint.
func (m measurement) ran(c *call) bool {
	return slices.ContainsFunc(m.runs[c.fingerprint], func(r engineRun) bool { return r.RequestID == c.requestID })
}

// duplicateRuns returns the number of runs of non-idempotent requests beyond
// the first run of each. Requests with the same idempotency key have the same
// fingerprint and count as one.
func (m measurement) duplicateRuns() int {
	duplicateRuns := 0
	seen := make(map[uint64]bool)
	for i, request := range m.requests {
		fingerprint := m.calls[i].fingerprint
		if !request.NonIdempotent || seen[fingerprint] {
			continue
		}
		seen[fingerprint] = true
		duplicateRuns += max(0, len(m.runs[fingerprint])-1)
	}
	return duplicateRuns
}

// recordTTFT records the time from when the request was due to its first token,
// or to its end if it received no token. A refused request without a token is
// not recorded.
func (m measurement) recordTTFT(h *amrpace.Histogram, c *call) {
	switch {
	case c.firstToken > 0:
		h.Record(m.settings.traceTime(c.firstToken - c.due))
	case c.outcome != outcomeRefused:
		h.Record(m.settings.traceTime(c.finished - c.due))
	}
}

// teams returns the results of each team, ordered by the name of the team.
func (m measurement) teams() []TeamResult {
	type team struct {
		TeamResult
		ttft *amrpace.Histogram
		hits hitCounter
	}
	teams := make(map[string]*team)
	for i, request := range m.requests {
		t := teams[request.Team]
		if t == nil {
			t = &team{TeamResult: TeamResult{Team: request.Team}, ttft: amrpace.NewHistogram()}
			teams[request.Team] = t
		}
		t.Requests++
		m.recordTTFT(t.ttft, &m.calls[i])
		for _, run := range m.runs[m.calls[i].fingerprint] {
			t.hits.add(run.Run)
		}
	}
	var results []TeamResult
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		t := teams[name]
		t.TTFT50, t.TTFT99 = t.ttft.Percentile(percentileMedian), t.ttft.Percentile(percentileTail)
		t.HitRate = t.hits.rate()
		results = append(results, t.TeamResult)
	}
	return results
}

// windows returns the results of each window of the trace, and the ratio that
// inFlight returns.
func (m measurement) windows() ([]Window, float64) {
	count := int(m.requests[len(m.requests)-1].At/windowLength) + 1
	windows := make([]Window, count)
	ttft, hits := make([]*amrpace.Histogram, count), make([]hitCounter, count)
	for i := range windows {
		windows[i].At = time.Duration(i) * windowLength
		ttft[i] = amrpace.NewHistogram()
	}
	for i, request := range m.requests {
		w := int(request.At / windowLength)
		windows[w].Requests++
		m.recordTTFT(ttft[w], &m.calls[i])
		for _, run := range m.runs[m.calls[i].fingerprint] {
			hits[w].add(run.Run)
		}
	}
	maxInFlight, ratio := m.inFlight(count)
	for i := range windows {
		windows[i].TTFT50, windows[i].TTFT99 = ttft[i].Percentile(percentileMedian), ttft[i].Percentile(percentileTail)
		windows[i].HitRate = hits[i].rate()
		windows[i].MaxInFlight = maxInFlight[i]
	}
	return windows, ratio
}

// inFlight returns the largest number of requests in flight at one engine in
// each window. A request counts at the engine of its last run, from when the
// caller sent it until it received the answer, including the time in a router
// and in the queue of a sidecar. The ratio is the number of requests at the
// busiest engine divided by the mean over all engines, both averaged over time;
// it is 0 if no request ran.
func (m measurement) inFlight(windows int) (maxInFlight []int, ratio float64) {
	samples := windows * int(windowLength/sampleInterval)
	atEngine := make([][]int, samples)
	for i := range atEngine {
		atEngine[i] = make([]int, m.settings.engines)
	}
	for i := range m.calls {
		c := &m.calls[i]
		runs := m.runs[c.fingerprint]
		if len(runs) == 0 {
			continue
		}
		engine := runs[len(runs)-1].engine
		from := int(m.settings.traceTime(c.sent) / sampleInterval)
		to := int(m.settings.traceTime(c.finished) / sampleInterval)
		for s := from; s < min(to+1, samples); s++ {
			atEngine[s][engine]++
		}
	}
	maxInFlight = make([]int, windows)
	var sumMax, sumAll int
	for s, engines := range atEngine {
		busiest := slices.Max(engines)
		w := s / int(windowLength/sampleInterval)
		maxInFlight[w] = max(maxInFlight[w], busiest)
		sumMax += busiest
		for _, n := range engines {
			sumAll += n
		}
	}
	if sumAll == 0 {
		return maxInFlight, 0
	}
	return maxInFlight, float64(sumMax) / (float64(sumAll) / float64(m.settings.engines))
}

// routers returns, for each incarnation of a router, the hit rate of its first
// firstRequestCount requests and that of all other incarnations, including those
// of the same router, in the same period.
func (m measurement) routers() []RouterResult {
	type incarnation struct {
		RouterResult
		hits, others hitCounter
	}
	incarnations := make(map[string]*incarnation)
	byTime := slices.SortedFunc(slices.Values(m.calls), func(a, b call) int { return cmp.Compare(a.sent, b.sent) })
	for _, c := range byTime {
		name := routerIncarnation(c.requestID)
		if name == "" {
			continue
		}
		entry := incarnations[name]
		if entry == nil {
			entry = &incarnation{RouterResult: RouterResult{Router: name, From: m.settings.traceTime(c.sent)}}
			incarnations[name] = entry
		}
		if entry.Requests < firstRequestCount {
			entry.Requests++
			entry.To = m.settings.traceTime(c.sent)
			m.addRuns(&entry.hits, c)
		}
	}
	var results []RouterResult
	for _, name := range slices.Sorted(maps.Keys(incarnations)) {
		entry := incarnations[name]
		for _, c := range byTime {
			at := m.settings.traceTime(c.sent)
			if other := routerIncarnation(c.requestID); other != "" && other != name && at >= entry.From && at <= entry.To {
				m.addRuns(&entry.others, c)
			}
		}
		entry.HitRate, entry.OthersHitRate = entry.hits.rate(), entry.others.rate()
		results = append(results, entry.RouterResult)
	}
	slices.SortStableFunc(results, func(a, b RouterResult) int { return cmp.Compare(a.From, b.From) })
	return results
}

// addRuns adds the runs of the call's request to hits.
func (m measurement) addRuns(hits *hitCounter, c call) {
	for _, run := range m.runs[c.fingerprint] {
		hits.add(run.Run)
	}
}

// routerIncarnation returns the name and incarnation of the router that
// assigned the request id, separated by a dot, or "" if the id does not contain
// them.
func routerIncarnation(requestID string) string {
	name, rest, _ := strings.Cut(requestID, ".")
	incarnation, _, found := strings.Cut(rest, ".")
	if !found {
		return ""
	}
	return name + "." + incarnation
}

// hitCounter sums the prompt tokens and the cached prompt tokens of runs.
type hitCounter struct {
	prompt, cached int
}

func (h *hitCounter) add(r amrengine.Run) {
	h.prompt += r.PromptTokens
	h.cached += r.CachedTokens
}

// rate returns the fraction of prompt tokens that were cached, or 0 if there
// were no prompt tokens.
func (h *hitCounter) rate() float64 {
	if h.prompt == 0 {
		return 0
	}
	return float64(h.cached) / float64(h.prompt)
}
