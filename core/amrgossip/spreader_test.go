package amrgossip

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSpread lets one router of many observe facts, which the others pass on in
// rounds of factsInterval while some messages are lost. Within the bound that
// docs/design/size.md states, nearly all routers must know them, and the messages
// that each router sends must not grow with the number of routers.
func TestSpread(t *testing.T) {
	const (
		loss     = 0.05
		bound    = 200 * time.Millisecond
		hopDelay = 10 * time.Millisecond // Time for a message to arrive and to be handled.
		minShare = 0.99
		facts    = 20
	)
	for _, n := range []int{3, 30, 100, 360, 1000} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, uint64(n)))
		routers := make([]*Spreader, n)
		for i := range routers {
			routers[i] = NewSpreader(random)
		}
		var observed Facts
		for i := range facts {
			observed.Leaving = append(observed.Leaving, Leaving{Server: ServerID(i), StartedMS: 5})
		}
		routers[0].Add(observed)
		known, sent, roundsToMost := 1, 0, 0
		for pending := true; pending; {
			pending = false
			type delivery struct {
				to    int
				facts Facts
			}
			var deliveries []delivery
			for i, r := range routers {
				for range fanout {
					if !r.Pending() {
						break
					}
					f := r.Next()
					to := random.IntN(n)
					sent++
					if to != i && random.Float64() >= loss {
						deliveries = append(deliveries, delivery{to, f})
					}
				}
			}
			if float64(known) < minShare*float64(n) {
				roundsToMost++
			}
			for _, d := range deliveries {
				pending = true
				if news := routers[d.to].Add(d.facts); len(news.Leaving) == facts {
					known++
				}
			}
		}
		is.True(float64(known) >= minShare*float64(n))
		is.True(time.Duration(roundsToMost)*(factsInterval+hopDelay) <= bound)
		is.True(float64(sent)/float64(n) <= fanout)
	}
}

// TestSpreaderKeepsFactsApart checks that progress of different rows, servers and
// outcomes is not taken for the same fact, that a fact is news only once, and that
// progress of the same rollout shares a message.
func TestSpreaderKeepsFactsApart(t *testing.T) {
	is := is.New(t)
	s := NewSpreader(rand.New(rand.NewPCG(1, 1)))
	progress := Progress{RowVersion: 7, Model: "m1", Version: 2, Begun: []ServerID{1, 2}, Done: []ServerID{3}}
	is.Equal(s.Add(Facts{Progress: []Progress{progress}}).Progress, []Progress{progress})
	is.True(s.Add(Facts{Progress: []Progress{progress}}).Empty())
	again := Progress{RowVersion: 9, Model: "m1", Version: 2, Begun: []ServerID{1}, Failed: []ServerID{2}}
	is.Equal(s.Add(Facts{Progress: []Progress{again}}).Progress, []Progress{again})
	done := Progress{RowVersion: 9, Model: "m1", Version: 2, Done: []ServerID{3}}
	is.True(s.Add(Facts{Progress: []Progress{done}}).Empty()) // It holds the weights, whatever the row.
	strikes := []Strike{{Fingerprint: [16]byte{1}, Server: 5, Sequence: 1}, {Fingerprint: [16]byte{1}, Server: 5, Sequence: 2}, {Fingerprint: [16]byte{1}, Cleared: true, Sequence: 3}}
	is.Equal(s.Add(Facts{Strikes: strikes}).Strikes, strikes)
	notices := []PartNotice{{Kind: PartAsked, Part: 5, Sequence: 1}, {Kind: PartQuarantined, Part: 5, Sequence: 1}, {Kind: PartQuarantined, Part: 5, Sequence: 2}}
	is.Equal(s.Add(Facts{Parts: notices}).Parts, notices)
	is.True(s.Add(Facts{Parts: notices}).Empty())
	next := s.Next()
	is.Equal(len(next.Progress), 2)
	is.Equal(next.Strikes, strikes)
	is.Equal(next.Parts, notices)
	for range fanout - 1 {
		is.Equal(s.Next(), next)
	}
	is.True(!s.Pending())
}

// TestBudget checks that the budget limits the mean rate, allows a burst after a
// pause, and reserves a part for messages that are more important.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newBudget(now, 100)
	is.True(b.take(now, 400, 0.5))
	is.True(!b.take(now, 200, 0.5)) // Would leave less than the reserved half.
	is.True(b.take(now, 600, 0))
	is.True(!b.take(now, 1, 0))
	now = now.Add(3 * time.Second)
	is.True(!b.take(now, 301, 0))
	is.True(b.take(now, 300, 0))
	now = now.Add(time.Hour)
	is.True(b.take(now, 1000, 0)) // Unused bytes do not add up without a limit.
	is.True(!b.take(now, 1, 0))
	unlimited := newBudget(now, 0)
	is.True(unlimited.take(now, 1<<30, 1))
}

// TestNoticesOfPartsFitIntoDatagrams checks that many notices with many servers are
// spread over messages that are not too long to be sent.
func TestNoticesOfPartsFitIntoDatagrams(t *testing.T) {
	const (
		notices = 40
		servers = 12
	)
	is := is.New(t)
	s := NewSpreader(rand.New(rand.NewPCG(1, 1)))
	sent := make(map[uint64]int) // Number of sends by part.
	for i := range uint64(notices) {
		n := PartNotice{Kind: PartQuarantined, Model: 1 << 63, Part: 1<<63 + i, Level: 40, AgeMS: 1 << 40, Sound: true, Sequence: 1 << 31}
		n.Servers = slices.Repeat([]uint64{1 << 63}, servers)
		s.Add(Facts{Parts: []PartNotice{n}})
	}
	for s.Pending() {
		f := s.Next()
		is.True(datagramBytes(message{Era: 1 << 62, Facts: &f}) <= maxDatagram)
		for _, n := range f.Parts {
			sent[n.Part]++
		}
	}
	is.Equal(len(sent), notices)
	for _, n := range sent {
		is.Equal(n, fanout)
	}
}
