package amrtrace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Parameters describes the trace to generate.
type Parameters struct {
	Workload string
	// Load is the fraction of the fleet's prefill speed that is needed to
	// compute the tokens that are not in the ideal cache.
	Load            float64
	Duration        time.Duration
	Seed            uint64
	Engines         int
	TokensPerSecond float64 // TokensPerSecond is the prefill speed of an engine.
	// SurgeTeam is the team that sends more requests in the middle third of
	// the trace; it is empty for no surge.
	SurgeTeam   string
	SurgeFactor float64 // SurgeFactor is the factor by which SurgeTeam's request rate grows.
}

const (
	rampShare        = 0.2  // The rate grows linearly during this fraction of the trace.
	initialRateShare = 0.1  // The rate starts at this fraction of the full rate.
	maxRateSteps     = 12   // The search tries at most this many rates.
	loadTolerance    = 0.01 // The load may differ from the requested one by this fraction of it.
	searchStartRate  = 100  // The search starts at this rate, in requests per second.
	cacheDivisor     = 2    // The ideal cache holds the number of distinct blocks divided by this.
)

// Generate returns a generated trace, which depends only on the parameters. It
// searches for the request rate at which an ideal cache of half the distinct
// blocks misses, after the initial ramp, as many tokens per second as the fleet
// computes at the given load. It returns an error if the workload is unknown or
// if no rate is found that gives the load within loadTolerance.
func Generate(p Parameters) ([]Request, error) {
	targetTokens := p.Load * float64(p.Engines) * p.TokensPerSecond
	rate, low, high := float64(searchStartRate), 0.0, math.Inf(1)
	for range maxRateSteps {
		requests, err := draw(p, rate)
		if err != nil {
			return nil, err
		}
		uncachedTokens := uncachedPerSecond(requests, p.Duration)
		if math.Abs(uncachedTokens-targetTokens) <= loadTolerance*targetTokens {
			return requests, nil
		}
		if uncachedTokens < targetTokens {
			low = rate
		} else {
			high = rate
		}
		rate *= targetTokens / max(uncachedTokens, 1)
		if rate <= low || rate >= high {
			rate = (low + min(high, 2*low)) / 2
		}
	}
	return nil, loadNotReached.New("no request rate found for a load of %v: use a longer trace or another load", p.Load)
}

// uncachedPerSecond returns the number of tokens per second that the ideal
// cache misses after the ramp.
func uncachedPerSecond(requests []Request, d time.Duration) float64 {
	keys := promptKeys(requests)
	ramp := time.Duration(float64(d) * rampShare)
	distinct := simulateCache(requests, keys, 1, 0).DistinctBlocks
	ideal := simulateCache(requests, keys, distinct/cacheDivisor, ramp)
	return float64(ideal.PromptTokens-ideal.CachedTokens) / (d - ramp).Seconds()
}

// draw returns random requests of the workload that arrive as a Poisson process
// at the given rate, in requests per second, which the ramp reduces at the
// start.
func draw(p Parameters, rate float64) ([]Request, error) {
	var w workload
	switch p.Workload {
	case Mandacaru:
		w = newMandacaru()
	case Ledoslik:
		w = newLedoslik()
	default:
		return nil, unknownWorkload.New("%q is not a workload: use %s or %s", p.Workload, Mandacaru, Ledoslik)
	}
	random := rand.New(rand.NewPCG(p.Seed, uint64(len(p.Workload))))
	var requests []Request
	for at := time.Duration(0); ; {
		progress := at.Seconds() / p.Duration.Seconds()
		rateShare := min(1, initialRateShare+(1-initialRateShare)*progress/rampShare)
		at += time.Duration(random.ExpFloat64() / (rate * rateShare) * float64(time.Second))
		if at >= p.Duration {
			break
		}
		r := w.draw(random, progress)
		r.At = at
		for range p.requestsPerDraw(random, r.Team, progress) {
			requests = append(requests, r)
		}
	}
	return completeRequests(random, requests), nil
}

// requestsPerDraw returns the number of copies of a drawn request of the team
// to add to the trace: 1 outside a surge, and SurgeFactor on average during a
// surge of the team.
func (p Parameters) requestsPerDraw(random *rand.Rand, team string, progress float64) int {
	if team != p.SurgeTeam || progress < 1.0/3 || progress >= 2.0/3 {
		return 1
	}
	whole, fraction := math.Modf(p.SurgeFactor)
	if random.Float64() < fraction {
		whole++
	}
	return int(whole)
}

// completeRequests gives idempotency keys to non-idempotent requests, adds
// retries of some of them, sorts the requests by time and numbers the lines.
func completeRequests(random *rand.Rand, requests []Request) []Request {
	for i := range requests {
		if !requests[i].NonIdempotent {
			continue
		}
		requests[i].Key = "once-" + strconv.Itoa(i+1)
		if random.IntN(retryOneIn) == 0 {
			retry := requests[i]
			retry.At += retryDelay
			requests = append(requests, retry)
		}
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	for i := range requests {
		requests[i].At = requests[i].At.Truncate(time.Millisecond)
		requests[i].Line = i + 1
	}
	return requests
}
