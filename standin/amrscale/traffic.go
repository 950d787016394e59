package amrscale

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrpool"
)

// Class is a kind of request.
type Class struct {
	Name         string
	Rate         float64 // Requests per second over all routers.
	Aim          time.Duration
	Deadline     time.Duration // Time after which a caller gives up.
	Priority     int           // 0 is the most urgent.
	Levels       []Level
	PromptTokens Size // Tokens of a prompt that belong to its request alone.
	Events       Size // Events of an answer.
}

// Level is a level of the shared parts of prompts.
type Level struct {
	Tokens Size
	Things int     // Number of different parts.
	Skew   float64 // Exponent of the popularity of a part by its rank.
}

// Size is a log-normal distribution of sizes.
type Size struct {
	Mean   float64
	Spread float64 // Standard deviation of the logarithm.
	Max    float64
}

// draw returns a random size of at least 1.
func (s Size) draw(random *rand.Rand) int {
	mu := math.Log(s.Mean) - s.Spread*s.Spread/2
	return int(max(1, min(s.Max, math.Exp(mu+s.Spread*random.NormFloat64()))))
}

// request is a request with its prompt.
type request struct {
	class        *Class
	router       int
	sentAt       time.Duration
	ids          []amrpool.Part // Parts as callers name them.
	parts        []int          // Tokens of the parts.
	keys         []uint64       // Prefix keys of the parts.
	shared       int            // Number of leading parts that other requests may share.
	promptTokens int
	outputTokens int
}

// source draws the requests of a class.
type source struct {
	class  *Class
	random *rand.Rand
	levels []levelSource
	n      int
}

// levelSource draws the parts of a level.
type levelSource struct {
	tokens     []int
	cumulative []float64 // Cumulative popularity of the parts.
}

func newSource(c *Class, random *rand.Rand) *source {
	s := &source{class: c, random: random}
	for _, l := range c.Levels {
		ls := levelSource{}
		total := 0.0
		for rank := range l.Things {
			total += math.Pow(float64(rank+1), -l.Skew)
			ls.tokens = append(ls.tokens, l.Tokens.draw(random))
			ls.cumulative = append(ls.cumulative, total)
		}
		s.levels = append(s.levels, ls)
	}
	return s
}

// draw returns the index of a random part.
func (l levelSource) draw(random *rand.Rand) int {
	x := random.Float64() * l.cumulative[len(l.cumulative)-1]
	low, high := 0, len(l.cumulative)-1
	for low < high {
		if middle := (low + high) / 2; l.cumulative[middle] < x {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// next returns a random request to the router. The part of a lower level determines
// that of the level above it.
func (s *source) next(now time.Duration, router int) *request {
	s.n++
	q := &request{class: s.class, router: router, sentAt: now}
	thing := 0
	things := make([]int, len(s.levels))
	for i := len(s.levels) - 1; i >= 0; i-- {
		if i == len(s.levels)-1 {
			thing = s.levels[i].draw(s.random)
		} else {
			thing %= len(s.levels[i].tokens)
		}
		things[i] = thing
	}
	for i, l := range s.levels {
		q.add(s.class.Name+"/"+strconv.Itoa(i)+"/"+strconv.Itoa(things[i]), l.tokens[things[i]])
	}
	q.shared = len(q.parts)
	q.add(s.class.Name+"/own/"+strconv.Itoa(s.n), s.class.PromptTokens.draw(s.random))
	q.promptTokens = sum(q.parts)
	q.outputTokens = s.class.Events.draw(s.random)
	return q
}

// add appends a part.
func (q *request) add(id string, tokens int) {
	q.ids = append(q.ids, amrpool.Part{ID: id, Tokens: tokens})
	q.parts = append(q.parts, tokens)
	seed := uint64(0)
	if len(q.keys) > 0 {
		seed = q.keys[len(q.keys)-1]
	}
	q.keys = append(q.keys, xxh3.HashStringSeed(id, seed))
}
