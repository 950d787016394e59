package amrtrace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Parameters says what trace to make.
type Parameters struct {
	Workload        string
	Load            float64 // Share of the fleet's prefill speed that the ideal's uncached tokens fill.
	Duration        time.Duration
	Seed            uint64
	Engines         int
	TokensPerSecond float64 // Prefill speed of an engine.
	SurgeTeam       string  // A team that sends more in the middle third of the trace; empty for none.
	SurgeFactor     float64 // How many times its share the team sends then.
}

const (
	rampShare     = 0.2 // Share of the trace in which the rate grows to its full height.
	rampStart     = 0.1 // Share of the rate at the start.
	solveRounds   = 12
	loadTolerance = 0.01
	firstRate     = 100 // Requests per second.
	cacheShare    = 2   // The fleet caches one in so many of the distinct blocks.
)

// Make returns a trace. Its rate is such that the tokens which the ideal of a
// cache of half the distinct blocks has to compute after the ramp fill the
// wanted share of the fleet's prefill speed.
func Make(p Parameters) ([]Request, error) {
	wanted := p.Load * float64(p.Engines) * p.TokensPerSecond
	rate, low, high := float64(firstRate), 0.0, math.Inf(1)
	for range solveRounds {
		requests, err := draw(p, rate)
		if err != nil {
			return nil, err
		}
		got := uncachedPerSecond(requests, p.Duration)
		if math.Abs(got-wanted) <= loadTolerance*wanted {
			return requests, nil
		}
		if got < wanted {
			low = rate
		} else {
			high = rate
		}
		rate *= wanted / max(got, 1)
		if rate <= low || rate >= high {
			rate = (low + min(high, 2*low)) / 2
		}
	}
	return nil, unsolved.New("no rate gives a load of %v: use a longer trace or another load", p.Load)
}

// uncachedPerSecond returns the tokens that the ideal computes in a second
// after the ramp.
func uncachedPerSecond(requests []Request, d time.Duration) float64 {
	keys := allKeys(requests)
	ramp := time.Duration(float64(d) * rampShare)
	distinct := play(requests, keys, 1, 0).DistinctBlocks
	ideal := play(requests, keys, distinct/cacheShare, ramp)
	return float64(ideal.PromptTokens-ideal.CachedTokens) / (d - ramp).Seconds()
}

// draw returns the requests at a rate, in requests per second.
func draw(p Parameters, rate float64) ([]Request, error) {
	var w workload
	switch p.Workload {
	case Mandacaru:
		w = newMandacaru()
	case Ledoslik:
		w = newLedoslik()
	default:
		return nil, unknown.New("no workload is called %q: use %s or %s", p.Workload, Mandacaru, Ledoslik)
	}
	random := rand.New(rand.NewPCG(p.Seed, uint64(len(p.Workload))))
	var requests []Request
	for at := time.Duration(0); ; {
		share := at.Seconds() / p.Duration.Seconds()
		height := min(1, rampStart+(1-rampStart)*share/rampShare)
		at += time.Duration(random.ExpFloat64() / (rate * height) * float64(time.Second))
		if at >= p.Duration {
			break
		}
		r := w.draw(random, share)
		r.At = at
		for range p.copies(random, r.Team, share) {
			requests = append(requests, r)
		}
	}
	return finish(random, requests), nil
}

// copies returns how many requests a draw of the team stands for.
func (p Parameters) copies(random *rand.Rand, team string, share float64) int {
	if team != p.SurgeTeam || share < 1.0/3 || share >= 2.0/3 {
		return 1
	}
	whole, fraction := math.Modf(p.SurgeFactor)
	if random.Float64() < fraction {
		whole++
	}
	return int(whole)
}

// finish gives keys to requests that run once, sends some of those again, and
// numbers the lines.
func finish(random *rand.Rand, requests []Request) []Request {
	for i := range requests {
		if !requests[i].Once {
			continue
		}
		requests[i].Key = "once-" + strconv.Itoa(i+1)
		if random.IntN(retriedEach) == 0 {
			again := requests[i]
			again.At += retryAfter
			requests = append(requests, again)
		}
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	for i := range requests {
		requests[i].At = requests[i].At.Truncate(time.Millisecond)
		requests[i].Line = i + 1
	}
	return requests
}
