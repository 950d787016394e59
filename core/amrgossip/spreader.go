package amrgossip

import (
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

const (
	// fanout is the number of routers to which a router passes a fact on. With 6,
	// all but a four-hundredth of the routers learn of it (1 - e^-6, see Eugster et
	// al., "Epidemic information dissemination in distributed systems", 2004), and
	// more with each copy that is not lost. The others learn it from the platform's
	// store or from servers.
	fanout = 6

	// maxKnownFacts is the maximum number of facts that a router remembers.
	maxKnownFacts = 8192

	// maxFactItems is the maximum size of the facts of one message in items, which
	// keeps it within maxDatagram.
	maxFactItems = 32
)

// Spreader decides which facts a router passes on to which others. It does no I/O
// and is not safe for concurrent use. Create it with NewSpreader.
type Spreader struct {
	random *rand.Rand
	known  *expirable.LRU[factKey, struct{}]
	queue  []queuedFact
}

// factKey identifies a fact.
type factKey struct {
	kind     factKind
	subject  uint64
	position [2]uint64
}

type factKind int

const (
	leavingFact factKind = iota
	strikeFact
	begunFact
	doneFact
	failedFact
	partFact
	limitFact
)

// queuedFact is a fact that is still to be passed on.
type queuedFact struct {
	facts Facts // Contains one item.
	sends int   // Routers to which it is still to be passed on.
}

// NewSpreader returns a Spreader that knows no facts.
func NewSpreader(random *rand.Rand) *Spreader {
	return &Spreader{random: random, known: expirable.NewLRU[factKey, struct{}](maxKnownFacts, nil, ageLimit)}
}

// Add adds facts that the router has observed itself or received, and returns those
// that it did not know.
func (s *Spreader) Add(f Facts) (news Facts) {
	for _, item := range f.items() {
		if _, ok := s.known.Get(item.key); ok {
			continue
		}
		s.known.Add(item.key, struct{}{})
		s.queue = append(s.queue, queuedFact{facts: item.facts, sends: fanout})
		news = news.with(item.facts)
	}
	return news
}

// Pending reports whether there are facts to pass on.
func (s *Spreader) Pending() bool {
	return len(s.queue) > 0
}

// Next returns facts to pass on to the next router, of a size of at most maxFactItems,
// and counts them as passed on. The facts that were added first come first. The result
// is empty if there are none.
func (s *Spreader) Next() Facts {
	var next Facts
	size := 0
	for i := range s.queue {
		size += s.queue[i].facts.size()
		if size > maxFactItems {
			break
		}
		next = next.with(s.queue[i].facts)
		s.queue[i].sends--
	}
	s.queue = slices.DeleteFunc(s.queue, func(q queuedFact) bool { return q.sends <= 0 })
	return next
}

// Drop forgets the facts that are still to be passed on, and returns their number.
func (s *Spreader) Drop() int {
	n := len(s.queue)
	s.queue = nil
	return n
}

// Choose returns a random router among n, or -1 if n is 0.
func (s *Spreader) Choose(n int) int {
	if n == 0 {
		return -1
	}
	return s.random.IntN(n)
}

// item is a single fact with its key.
type item struct {
	key   factKey
	facts Facts
}

// items returns the facts one by one.
func (f Facts) items() []item {
	var items []item
	for _, l := range f.Leaving {
		items = append(items, item{factKey{leavingFact, uint64(l.Server), [2]uint64{uint64(l.StartedMS)}}, Facts{Leaving: []Leaving{l}}})
	}
	for _, s := range f.Strikes {
		position := [2]uint64{s.Server, uint64(s.Sequence)}
		subject := uint64(0)
		for _, b := range s.Fingerprint {
			subject = subject<<8 ^ subject>>56 ^ uint64(b)
		}
		if s.Cleared {
			position[0] = ^s.Server
		}
		items = append(items, item{factKey{strikeFact, subject, position}, Facts{Strikes: []Strike{s}}})
	}
	for _, p := range f.Progress {
		items = append(items, p.items()...)
	}
	for _, n := range f.Parts {
		items = append(items, item{factKey{partFact, n.Part, [2]uint64{uint64(n.Kind), uint64(n.Sequence)}}, Facts{Parts: []PartNotice{n}}})
	}
	for _, l := range f.Limits {
		position := [2]uint64{uint64(l.StartedMS), uint64(l.Sequence)}
		items = append(items, item{factKey{limitFact, uint64(l.Server), position}, Facts{Limits: []ServerLimit{l}}})
	}
	return items
}

// items returns the progress of the single servers.
func (p Progress) items() []item {
	var items []item
	add := func(kind factKind, servers []ServerID, set func(*Progress, []ServerID)) {
		for _, server := range servers {
			one := Progress{RowEra: p.RowEra, RowVersion: p.RowVersion, Model: p.Model, Version: p.Version}
			set(&one, []ServerID{server})
			key := factKey{kind, uint64(server), [2]uint64{p.RowEra, p.RowVersion}}
			if kind == doneFact {
				key.position = [2]uint64{0, uint64(p.Version)}
			}
			items = append(items, item{key, Facts{Progress: []Progress{one}}})
		}
	}
	add(begunFact, p.Begun, func(one *Progress, servers []ServerID) { one.Begun = servers })
	add(doneFact, p.Done, func(one *Progress, servers []ServerID) { one.Done = servers })
	add(failedFact, p.Failed, func(one *Progress, servers []ServerID) { one.Failed = servers })
	return items
}

// with returns f with the given facts added. Progress of the same rollout and the
// same row is combined.
func (f Facts) with(other Facts) Facts {
	f.Leaving = append(f.Leaving, other.Leaving...)
	f.Strikes = append(f.Strikes, other.Strikes...)
	f.Parts = append(f.Parts, other.Parts...)
	f.Limits = append(f.Limits, other.Limits...)
	for _, p := range other.Progress {
		i := slices.IndexFunc(f.Progress, func(q Progress) bool {
			return q.RowEra == p.RowEra && q.RowVersion == p.RowVersion && q.Model == p.Model && q.Version == p.Version
		})
		if i < 0 {
			f.Progress = append(f.Progress, p)
			continue
		}
		q := &f.Progress[i]
		q.Begun, q.Done, q.Failed = append(q.Begun, p.Begun...), append(q.Done, p.Done...), append(q.Failed, p.Failed...)
	}
	return f
}

// serversPerItem is the number of servers of a PartNotice that take up as much space as
// another fact.
const serversPerItem = 3

// size returns the size of the facts in items of usual length.
func (f Facts) size() int {
	size := len(f.Leaving) + len(f.Strikes) + len(f.Progress) + len(f.Parts) + len(f.Limits)
	for _, n := range f.Parts {
		size += len(n.Servers) / serversPerItem
	}
	return size
}

// Empty reports whether there are no facts.
func (f Facts) Empty() bool {
	return len(f.Leaving)+len(f.Strikes)+len(f.Progress)+len(f.Parts)+len(f.Limits) == 0
}
