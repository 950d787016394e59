package amrcapacity

import (
	"cmp"
	"slices"
	"time"
)

const (
	// latencyInterval is the least time, and minLatencySamples the least number of short
	// prompts, that are evaluated together. Results older than latencyWindow are dropped with
	// the next one; the window covers times in which some server is idle, since prompts wait
	// at busy ones.
	latencyInterval   = time.Second
	minLatencySamples = 8
	latencyWindow     = time.Minute

	// latencyQuantile is the quantile of the prompts of an interval that is taken. Some
	// prompts take less than the latency because a server has cached more of them than is
	// known here.
	latencyQuantile = 0.1

	// latencyMargin is subtracted from the latency. Times vary by that much, and a server that
	// is taken to be idle while it works looks faster than it is.
	latencyMargin = 10 * time.Millisecond

	// sizeGain is the weight of a prompt in the mean size of prompts.
	sizeGain = 1.0 / 64
)

// latency estimates the part of the time to the first token that depends neither on the
// server's work nor on the tokens of the prompt. The server computes other prompts meanwhile,
// so that it does not count as busy time. Short prompts are used, since an error of the rate
// affects them least.
type latency struct {
	meanTokens float64
	samples    []firstToken // Short prompts since sampledAt.
	sampledAt  time.Time
	minima     []firstToken // Of the intervals within latencyWindow.
}

// firstToken is the time to the first token of a prompt.
type firstToken struct {
	at      time.Time
	seconds float64 // At the usual pace.
	tokens  float64 // Of the prompt, as far as they had to be computed.
}

// unexplained returns the part of the time that the tokens do not explain.
func (f firstToken) unexplained(perToken float64) float64 {
	return max(0, f.seconds-f.tokens*perToken)
}

// record adds the time to the first token of a prompt at a server that takes the given time
// for each token.
func (l *latency) record(f firstToken, perToken float64) {
	l.meanTokens += sizeGain * (f.tokens - l.meanTokens)
	if f.tokens <= l.meanTokens {
		l.samples = append(l.samples, f)
	}
	if f.at.Sub(l.sampledAt) < latencyInterval || len(l.samples) < minLatencySamples {
		return
	}
	slices.SortFunc(l.samples, func(a, b firstToken) int { return cmp.Compare(a.unexplained(perToken), b.unexplained(perToken)) })
	l.minima = append(l.minima, l.samples[int(latencyQuantile*float64(len(l.samples)))])
	l.samples, l.sampledAt = l.samples[:0], f.at
	l.minima = slices.DeleteFunc(l.minima, func(low firstToken) bool { return f.at.Sub(low.at) >= latencyWindow })
}

// estimate returns the latency less latencyMargin at servers that take the given time for
// each token. It is 0 before there are enough observations, and for a latency up to
// maxOverhead, which the estimate of the overhead covers.
func (l *latency) estimate(perToken float64) time.Duration {
	if len(l.minima) == 0 {
		return 0
	}
	low := slices.MinFunc(l.minima, func(a, b firstToken) int { return cmp.Compare(a.unexplained(perToken), b.unexplained(perToken)) })
	if low.unexplained(perToken) <= maxOverhead.Seconds() {
		return 0
	}
	return time.Duration(low.unexplained(perToken)*float64(time.Second)) - latencyMargin
}
