package amrtrace

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Names of workloads.
const (
	Mandacaru = "mandacaru"
	Ledoslik  = "ledoslik"
)

// workload draws the requests of one customer.
type workload interface {
	// draw returns a request that arrives at the given share of the trace.
	draw(random *rand.Rand, share float64) Request
}

// tree is text nested in three levels, with some nodes much more popular than
// others.
type tree struct {
	team     string
	names    [3]string
	tokens   [3]int
	children [3]picker
}

// pick returns the path to a leaf.
func (t tree) pick(random *rand.Rand) []Level {
	prefix := make([]Level, len(t.names))
	for i, name := range t.names {
		prefix[i] = Level{name + "-" + strconv.Itoa(t.children[i].pick(random)+1), t.tokens[i]}
	}
	return prefix
}

// picker draws indexes by weight.
type picker struct {
	cumulated []float64
}

func newPicker(weights ...float64) picker {
	p := picker{make([]float64, len(weights))}
	sum := 0.0
	for i, w := range weights {
		sum += w
		p.cumulated[i] = sum
	}
	return p
}

// newZipfPicker returns a picker for which the index i has weight
// 1/(i+1)^exponent.
func newZipfPicker(n int, exponent float64) picker {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
	}
	return newPicker(weights...)
}

func (p picker) pick(random *rand.Rand) int {
	x := random.Float64() * p.cumulated[len(p.cumulated)-1]
	for i, c := range p.cumulated {
		if x < c {
			return i
		}
	}
	return len(p.cumulated) - 1
}

// between returns a number from low to high.
func between(random *rand.Rand, low, high int) int {
	return low + random.IntN(high-low+1)
}

const (
	model       = "m1"
	retryAfter  = 2 * time.Second // When a caller sends non-idempotent work again.
	retriedEach = 10              // One in so many is sent again.
)

var teamWeights = []float64{0.34, 0.24, 0.16, 0.08, 0.06, 0.05, 0.04, 0.03}

// mandacaru is long catalogue sheets, nested by season and reseller, with
// short drafts as answers; one request in thirty confirms an order.
type mandacaru struct {
	teams picker
	trees []tree
}

const mandacaruConfirmationEach = 30

var mandacaruTeams = []string{"recife", "fortaleza", "natal", "olinda", "caruaru", "mossoro", "sobral", "petrolina"}

func newMandacaru() mandacaru {
	m := mandacaru{teams: newPicker(teamWeights...)}
	for i, team := range mandacaruTeams {
		large := teamWeights[i] / teamWeights[0]
		m.trees = append(m.trees, tree{
			team:   team,
			names:  [3]string{"catalogue", "season", "reseller"},
			tokens: [3]int{6000, 2000, 1500},
			children: [3]picker{
				newZipfPicker(2+int(8*large), 0.8),
				newZipfPicker(4, 1),
				newZipfPicker(10+int(30*large), 0.7),
			},
		})
	}
	return m
}

func (m mandacaru) draw(random *rand.Rand, _ float64) Request {
	t := m.trees[m.teams.pick(random)]
	return Request{
		Team:         t.team,
		Model:        model,
		Prefix:       t.pick(random),
		SuffixTokens: between(random, 40, 160),
		OutputTokens: between(random, 20, 60),
		Once:         random.IntN(mandacaruConfirmationEach) == 0,
	}
}

// ledoslik is short public questions about a lake, long bulletin digests, and
// now and then a closure notice. In the middle of the trace one lake is
// suddenly hot.
type ledoslik struct {
	teams picker
	trees []tree
}

const (
	ledoslikNoticeEach = 200
	ledoslikDigestEach = 25
	ledoslikHotFrom    = 0.5 // Share of the trace.
	ledoslikHotShare   = 0.4 // Share of the requests.
)

var ledoslikTeams = []string{"public", "inspectors", "skating", "anglers", "rescue", "bulletin", "region-office", "archive"}

func newLedoslik() ledoslik {
	l := ledoslik{teams: newPicker(teamWeights...)}
	for i, team := range ledoslikTeams {
		large := teamWeights[i] / teamWeights[0]
		l.trees = append(l.trees, tree{
			team:   team,
			names:  [3]string{"authority", "region", "lake"},
			tokens: [3]int{4000, 1800, 1200},
			children: [3]picker{
				newZipfPicker(2, 1),
				newZipfPicker(4+int(8*large), 0.8),
				newZipfPicker(10+int(30*large), 0.8),
			},
		})
	}
	return l
}

func (l ledoslik) draw(random *rand.Rand, share float64) Request {
	t := l.trees[l.teams.pick(random)]
	r := Request{
		Team:         t.team,
		Model:        model,
		Prefix:       t.pick(random),
		SuffixTokens: between(random, 20, 80),
		OutputTokens: between(random, 15, 45),
	}
	switch {
	case random.IntN(ledoslikDigestEach) == 0:
		r.SuffixTokens = between(random, 4000, 8000)
		r.OutputTokens = between(random, 60, 120)
	case random.IntN(ledoslikNoticeEach) == 0:
		r.Once = true
	case share >= ledoslikHotFrom && random.Float64() < ledoslikHotShare:
		r.Team = l.trees[0].team
		r.Prefix = l.hotLake()
	}
	return r
}

func (l ledoslik) hotLake() []Level {
	t := l.trees[0]
	return []Level{{t.names[0] + "-2", t.tokens[0]}, {t.names[1] + "-9", t.tokens[1]}, {t.names[2] + "-hot", t.tokens[2]}}
}
