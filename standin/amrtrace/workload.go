package amrtrace

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// These are the names of the workloads that Generate accepts.
const (
	Mandacaru = "mandacaru"
	Ledoslik  = "ledoslik"
)

// workload generates the requests of one customer.
type workload interface {
	// draw returns a random request, without its time, key and line, that
	// arrives when the given fraction of the trace has passed.
	draw(random *rand.Rand, progress float64) Request
}

// prefixTree is a tree of three levels of prefix text, in which some nodes are
// much more popular than others.
type prefixTree struct {
	team     string
	names    [3]string
	tokens   [3]int
	children [3]weightedPicker
}

// pick returns the path to a random leaf.
func (t prefixTree) pick(random *rand.Rand) []Level {
	prefix := make([]Level, len(t.names))
	for i, name := range t.names {
		prefix[i] = Level{name + "-" + strconv.Itoa(t.children[i].pick(random)+1), t.tokens[i]}
	}
	return prefix
}

// weightedPicker picks random indexes with probabilities in proportion to their
// weights.
type weightedPicker struct {
	cumulative []float64
}

func newWeightedPicker(weights ...float64) weightedPicker {
	p := weightedPicker{make([]float64, len(weights))}
	sum := 0.0
	for i, w := range weights {
		sum += w
		p.cumulative[i] = sum
	}
	return p
}

// newZipfPicker returns a picker of indexes below n that gives the index i the
// weight 1/(i+1)^exponent.
func newZipfPicker(n int, exponent float64) weightedPicker {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
	}
	return newWeightedPicker(weights...)
}

func (p weightedPicker) pick(random *rand.Rand) int {
	x := random.Float64() * p.cumulative[len(p.cumulative)-1]
	for i, c := range p.cumulative {
		if x < c {
			return i
		}
	}
	return len(p.cumulative) - 1
}

// randomBetween returns a random number from low to high, inclusive.
func randomBetween(random *rand.Rand, low, high int) int {
	return low + random.IntN(high-low+1)
}

const (
	model      = "m1"
	retryDelay = 2 * time.Second // A retry of a non-idempotent request follows after this time.
	retryOneIn = 10              // One in this many non-idempotent requests is retried.
)

// teamWeights holds the fraction of the requests that each team sends.
var teamWeights = []float64{0.34, 0.24, 0.16, 0.08, 0.06, 0.05, 0.04, 0.03}

// mandacaru is a workload of long catalogue sheets, nested by season and
// reseller, with short drafts as answers. One request in thirty confirms an
// order and is not idempotent.
type mandacaru struct {
	teams weightedPicker
	trees []prefixTree
}

const mandacaruConfirmationOneIn = 30

var mandacaruTeams = []string{"recife", "fortaleza", "natal", "olinda", "caruaru", "mossoro", "sobral", "petrolina"}

func newMandacaru() mandacaru {
	m := mandacaru{teams: newWeightedPicker(teamWeights...)}
	for i, team := range mandacaruTeams {
		sizeFactor := teamWeights[i] / teamWeights[0]
		m.trees = append(m.trees, prefixTree{
			team:   team,
			names:  [3]string{"catalogue", "season", "reseller"},
			tokens: [3]int{6000, 2000, 1500},
			children: [3]weightedPicker{
				newZipfPicker(2+int(8*sizeFactor), 0.8),
				newZipfPicker(4, 1),
				newZipfPicker(10+int(30*sizeFactor), 0.7),
			},
		})
	}
	return m
}

func (m mandacaru) draw(random *rand.Rand, _ float64) Request {
	t := m.trees[m.teams.pick(random)]
	return Request{
		Team:          t.team,
		Model:         model,
		Prefix:        t.pick(random),
		SuffixTokens:  randomBetween(random, 40, 160),
		OutputTokens:  randomBetween(random, 20, 60),
		NonIdempotent: random.IntN(mandacaruConfirmationOneIn) == 0,
	}
}

// ledoslik is a workload of short public questions about lakes, some long
// digests of bulletins, and a few closure notices, which are not idempotent.
// From the middle of the trace, a large share of the questions is about a
// single lake.
type ledoslik struct {
	teams weightedPicker
	trees []prefixTree
}

const (
	ledoslikNoticeOneIn = 200
	ledoslikDigestOneIn = 25
	ledoslikHotStart    = 0.5 // The single lake becomes popular after this fraction of the trace.
	ledoslikHotShare    = 0.4 // This fraction of the questions is then about the single lake.
)

var ledoslikTeams = []string{"public", "inspectors", "skating", "anglers", "rescue", "bulletin", "region-office", "archive"}

func newLedoslik() ledoslik {
	l := ledoslik{teams: newWeightedPicker(teamWeights...)}
	for i, team := range ledoslikTeams {
		sizeFactor := teamWeights[i] / teamWeights[0]
		l.trees = append(l.trees, prefixTree{
			team:   team,
			names:  [3]string{"authority", "region", "lake"},
			tokens: [3]int{4000, 1800, 1200},
			children: [3]weightedPicker{
				newZipfPicker(2, 1),
				newZipfPicker(4+int(8*sizeFactor), 0.8),
				newZipfPicker(10+int(30*sizeFactor), 0.8),
			},
		})
	}
	return l
}

func (l ledoslik) draw(random *rand.Rand, progress float64) Request {
	t := l.trees[l.teams.pick(random)]
	r := Request{
		Team:         t.team,
		Model:        model,
		Prefix:       t.pick(random),
		SuffixTokens: randomBetween(random, 20, 80),
		OutputTokens: randomBetween(random, 15, 45),
	}
	switch {
	case random.IntN(ledoslikDigestOneIn) == 0:
		r.SuffixTokens = randomBetween(random, 4000, 8000)
		r.OutputTokens = randomBetween(random, 60, 120)
	case random.IntN(ledoslikNoticeOneIn) == 0:
		r.NonIdempotent = true
	case progress >= ledoslikHotStart && random.Float64() < ledoslikHotShare:
		r.Team = l.trees[0].team
		r.Prefix = l.hotLakePrefix()
	}
	return r
}

// hotLakePrefix returns the prefix of the questions about the single lake that
// becomes popular. No other request has it.
func (l ledoslik) hotLakePrefix() []Level {
	t := l.trees[0]
	return []Level{{t.names[0] + "-2", t.tokens[0]}, {t.names[1] + "-9", t.tokens[1]}, {t.names[2] + "-hot", t.tokens[2]}}
}
