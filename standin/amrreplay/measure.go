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
	windowLength     = time.Second
	sampleInterval   = 50 * time.Millisecond
	firstOfRouter    = 100                   // Requests.
	latenessLimit    = 20 * time.Millisecond // Of the trace, at the 99th percentile.
	percentileMedian = 50
	percentileTail   = 99
)

var (
	namespace = errorx.NewNamespace("replay")
	distorted = namespace.NewType("distorted")
	badFaults = namespace.NewType("bad-faults")
	badFlag   = namespace.NewType("bad-flag")
)

// run is a run at one of the engines.
type run struct {
	amrengine.Run
	engine int
}

// measurement joins what callers saw with what engines ran.
type measurement struct {
	*play
	runs map[uint64][]run // By fingerprint, in order of start.
}

// measure returns the result, or an error when requests were sent so late that
// the figures would be distorted.
func (p *play) measure() (Result, error) {
	m := measurement{play: p, runs: make(map[uint64][]run)}
	for i, s := range p.fleet.Servers {
		if s.Engine == nil {
			continue
		}
		for _, r := range s.Engine.Runs() {
			m.runs[r.Fingerprint] = append(m.runs[r.Fingerprint], run{r, i})
		}
	}
	for _, runs := range m.runs {
		slices.SortFunc(runs, func(a, b run) int { return a.At.Compare(b.At) })
	}
	result := m.result()
	if late := result.Details.DispatchLateness; late > latenessLimit {
		return result, distorted.New("requests were sent %v late (99th percentile, limit %v): use a lower time scale or a less busy machine", late, latenessLimit)
	}
	return result, nil
}

func (m measurement) result() Result {
	r := Result{Policy: m.policy, Requests: len(m.calls)}
	r.Details.Refusals = make(map[string]int)
	ttft, lateness := amrpace.NewHistogram(), amrpace.NewHistogram()
	for i := range m.calls {
		c := &m.calls[i]
		m.count(c, &r)
		lateness.Record(m.settings.unscaled(c.sent - c.due))
		m.recordFirst(ttft, c)
	}
	var hits hitCounter
	for _, runs := range m.runs {
		for _, run := range runs {
			hits.add(run.Run)
			r.RecomputedTokens += run.PreviouslyComputedTokens
			r.WastedTokens += run.CachedElsewhereTokens
		}
	}
	r.Doubled = m.doubled()
	r.HitRate = hits.rate()
	r.TTFT50, r.TTFT99 = ttft.Percentile(percentileMedian), ttft.Percentile(percentileTail)
	r.Details.TTFTMean = ttft.Mean()
	r.Details.DispatchLateness = lateness.Percentile(percentileTail)
	r.Details.Teams = m.teams()
	r.Details.Windows, r.Details.InFlightMaxMean = m.windows()
	r.Details.Routers = m.routers()
	return r
}

func (m measurement) count(c *call, r *Result) {
	r.Details.Causes.Resent += c.sends - 1
	switch c.outcome {
	case outcomeAnswered:
		r.Answered++
	case outcomeRefused:
		r.Refused++
		r.Details.Refusals[c.reason]++
		if c.ran == string(amrreason.NotRun) && m.ran(c) {
			r.Details.Causes.FalseRefusal++
			r.Lost++
		}
	case outcomeWrong:
		r.Details.Causes.Wrong++
		r.Lost++
	default:
		r.Details.Causes.Cut++
		r.Lost++
	}
}

// ran reports whether an engine ran the request itself, not one that was sent
// with the same key.
func (m measurement) ran(c *call) bool {
	return slices.ContainsFunc(m.runs[c.fingerprint], func(r run) bool { return r.RequestID == c.id })
}

// doubled counts the runs of non-idempotent requests beyond the first.
func (m measurement) doubled() int {
	doubled := 0
	seen := make(map[uint64]bool)
	for i, request := range m.requests {
		fingerprint := m.calls[i].fingerprint
		if !request.Once || seen[fingerprint] {
			continue
		}
		seen[fingerprint] = true
		doubled += max(0, len(m.runs[fingerprint])-1)
	}
	return doubled
}

// recordFirst notes the time to the first token, or the whole time of a
// request that was cut or got none. Refused requests do not count.
func (m measurement) recordFirst(h *amrpace.Histogram, c *call) {
	switch {
	case c.first > 0:
		h.Record(m.settings.unscaled(c.first - c.due))
	case c.outcome != outcomeRefused:
		h.Record(m.settings.unscaled(c.done - c.due))
	}
}

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
		m.recordFirst(t.ttft, &m.calls[i])
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

// windows returns the course of the replay, and the requests in flight at the
// busiest engine by those of the mean engine, averaged over time.
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
		m.recordFirst(ttft[w], &m.calls[i])
		for _, run := range m.runs[m.calls[i].fingerprint] {
			hits[w].add(run.Run)
		}
	}
	most, ratio := m.inFlight(count)
	for i := range windows {
		windows[i].TTFT50, windows[i].TTFT99 = ttft[i].Percentile(percentileMedian), ttft[i].Percentile(percentileTail)
		windows[i].HitRate = hits[i].rate()
		windows[i].InFlight = most[i]
	}
	return windows, ratio
}

// inFlight returns the most requests that were at one engine in each window,
// queues of sidecars counted, and the time average of the most by that of the
// mean.
func (m measurement) inFlight(windows int) (most []int, ratio float64) {
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
		from := int(m.settings.unscaled(c.sent) / sampleInterval)
		to := int(m.settings.unscaled(c.done) / sampleInterval)
		for s := from; s < min(to+1, samples); s++ {
			atEngine[s][engine]++
		}
	}
	most = make([]int, windows)
	var sumMost, sumAll int
	for s, engines := range atEngine {
		busiest := slices.Max(engines)
		w := s / int(windowLength/sampleInterval)
		most[w] = max(most[w], busiest)
		sumMost += busiest
		for _, n := range engines {
			sumAll += n
		}
	}
	if sumAll == 0 {
		return most, 0
	}
	return most, float64(sumMost) / (float64(sumAll) / float64(m.settings.engines))
}

// routers returns the hit rates of the first requests of each incarnation of a
// router, and those of the others in the same time.
func (m measurement) routers() []RouterResult {
	type first struct {
		RouterResult
		hits, others hitCounter
	}
	starts := make(map[string]*first)
	byTime := slices.SortedFunc(slices.Values(m.calls), func(a, b call) int { return cmp.Compare(a.sent, b.sent) })
	for _, c := range byTime {
		name := incarnationOf(c.id)
		if name == "" {
			continue
		}
		f := starts[name]
		if f == nil {
			f = &first{RouterResult: RouterResult{Router: name, From: m.settings.unscaled(c.sent)}}
			starts[name] = f
		}
		if f.Requests < firstOfRouter {
			f.Requests++
			f.To = m.settings.unscaled(c.sent)
			m.addRuns(&f.hits, c)
		}
	}
	var results []RouterResult
	for _, name := range slices.Sorted(maps.Keys(starts)) {
		f := starts[name]
		for _, c := range byTime {
			at := m.settings.unscaled(c.sent)
			if other := incarnationOf(c.id); other != "" && other != name && at >= f.From && at <= f.To {
				m.addRuns(&f.others, c)
			}
		}
		f.HitRate, f.Others = f.hits.rate(), f.others.rate()
		results = append(results, f.RouterResult)
	}
	slices.SortStableFunc(results, func(a, b RouterResult) int { return cmp.Compare(a.From, b.From) })
	return results
}

func (m measurement) addRuns(hits *hitCounter, c call) {
	for _, run := range m.runs[c.fingerprint] {
		hits.add(run.Run)
	}
}

// incarnationOf returns the router's name and incarnation, with which request
// ids begin.
func incarnationOf(id string) string {
	name, rest, _ := strings.Cut(id, ".")
	incarnation, _, found := strings.Cut(rest, ".")
	if !found {
		return ""
	}
	return name + "." + incarnation
}

// hitCounter sums up the tokens of runs.
type hitCounter struct {
	prompt, cached int
}

func (h *hitCounter) add(r amrengine.Run) {
	h.prompt += r.PromptTokens
	h.cached += r.CachedTokens
}

func (h *hitCounter) rate() float64 {
	if h.prompt == 0 {
		return 0
	}
	return float64(h.cached) / float64(h.prompt)
}
