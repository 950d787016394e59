package amrpool_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

const (
	testModel       = "m1"
	testCacheTokens = 100_000
)

// TestFleet plays the scripts of testdata. Each names the load pattern that it
// answers.
//
//	list NAME [pool=P] [zone=Z] [weights=N] [draining] [started=MS]
//	unlist NAME [grace=DURATION]
//	weights VERSION                 new weights are named
//	named VERSION AGO               another router saw that they were
//	change NAME=VERSION...          servers about to load weights
//	pick ID [pool=P] [parts=A:N+B:N] [prompt=N] [exclude=NAME+NAME] [isolated=TEAM]
//	answer ID [running=N]           the server begins to answer
//	done ID RESULT
//	heard FROM NAME=REQUESTS/TOKENS...   another router tells of its load
//	wait DURATION
func TestFleet(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := clockwork.NewFakeClock()
		s := &script{
			clock:   clock,
			choices: make(map[string]*amrpool.Choice),
			fleet: amrpool.New(
				amrpool.WithClock(clock),
				amrpool.WithAvailabilityZone("a"),
				amrpool.WithStaleWeights(1500*time.Millisecond, 7*time.Second),
				amrpool.WithCacheTokens(func(pool string) int {
					if pool == "engines" {
						return testCacheTokens
					}
					return 0
				}),
			),
		}
		s.fleet.SetStores([]amrroute.CacheStore{{Name: "store", Address: "store:1", AvailabilityZone: "a"}})
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	clock   *clockwork.FakeClock
	fleet   *amrpool.Fleet
	choices map[string]*amrpool.Choice
	row     uint64 // Version of the shared row of the changes set last.
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for line := range strings.SplitSeq(d.Input, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if result := s.step(t, words[0], words[1:]); result != "" {
			fmt.Fprintf(&out, "%s: %s\n", strings.Join(words, " "), result)
		}
	}
	return out.String()
}

func (s *script) step(t *testing.T, command string, words []string) string {
	now := s.clock.Now()
	switch command {
	case "list":
		s.fleet.List(now, listing(t, words))
	case "unlist":
		grace, _ := time.ParseDuration(option(words, "grace"))
		s.fleet.Unlist(now, words[0], grace)
	case "weights":
		s.fleet.Name(now, testModel, number(t, words[0]))
	case "named": // VERSION AGO: another router tells
		ago, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		s.fleet.NamedSince(now.Add(-ago), testModel, number(t, words[0]))
	case "change":
		changes := make(map[string]amrpool.Change)
		for _, w := range words {
			name, version, _ := strings.Cut(w, "=")
			changes[name] = amrpool.Change{Model: testModel, Version: number(t, version)}
		}
		s.row++
		s.fleet.SetChanges(s.row, changes)
	case "pick":
		return s.pick(t, words)
	case "answer":
		var load *amrpool.Load
		if running := option(words, "running"); running != "" {
			load = &amrpool.Load{Running: number(t, running)}
		}
		s.choices[words[0]].Answered(now, load)
	case "done":
		s.choices[words[0]].Done(now, resultOf(t, words[1]))
	case "heard":
		s.fleet.Heard(now, notice(t, words))
	case "heard-rollout": // ROW changing=SERVER=VERSION+... done=SERVER=VERSION+...
		s.fleet.Heard(now, amrgossip.Notice{From: "r2", Rollout: &amrgossip.Rollout{
			Row:      uint64(number(t, words[0])),
			Changing: gossipChanges(t, option(words, "changing")),
			Done:     gossipChanges(t, option(words, "done")),
		}})
	case "notices":
		return s.notices()
	case "wait":
		d, err := time.ParseDuration(words[0])
		if err != nil {
			t.Fatal(err)
		}
		s.clock.Advance(d)
	default:
		t.Fatalf("unknown command %s", command)
	}
	return ""
}

func (s *script) pick(t *testing.T, words []string) string {
	r := amrpool.Request{Pool: "engines", Model: testModel, PromptTokens: 500, OutputTokens: 100}
	if pool := option(words, "pool"); pool != "" {
		r.Pool, r.Model = pool, ""
	}
	if parts := option(words, "parts"); parts != "" {
		r.PromptTokens = 0
		for p := range strings.SplitSeq(parts, "+") {
			id, tokens, _ := strings.Cut(p, ":")
			r.Parts = append(r.Parts, amrpool.Part{ID: id, Tokens: number(t, tokens)})
			r.PromptTokens += number(t, tokens)
		}
	}
	if exclude := option(words, "exclude"); exclude != "" {
		r.Exclude = strings.Split(exclude, "+")
	}
	if team := option(words, "isolated"); team != "" {
		r.Team, r.Isolated = team, true
	}
	r.Impatient = slices.Contains(words, "impatient")
	r.Urgent = slices.Contains(words, "urgent")
	if wait := option(words, "max-wait"); wait != "" {
		d, err := time.ParseDuration(wait)
		if err != nil {
			t.Fatal(err)
		}
		r.MaxWait = d
	}
	choice, denial := s.fleet.Pick(s.clock.Now(), r)
	if choice == nil {
		return denial.String()
	}
	s.choices[words[0]] = choice
	out := choice.Name
	if choice.CacheText != "" {
		out += " cache-text=" + choice.CacheText
	}
	if choice.FetchFrom != "" {
		out += " fetch=" + choice.FetchFrom
	}
	if choice.SaveTo != "" {
		out += " save=" + choice.SaveTo
	}
	if slices.Contains(words, "show-cached") {
		out += " cached=" + strconv.Itoa(choice.Cached)
	}
	return out
}

func (s *script) notices() string {
	loads, parts := s.fleet.Notices()
	return fmt.Sprintf("%d loads, %d parts", len(loads), len(parts))
}

func gossipChanges(t *testing.T, text string) []amrgossip.Change {
	if text == "" {
		return nil
	}
	var changes []amrgossip.Change
	for word := range strings.SplitSeq(text, "+") {
		name, version, _ := strings.Cut(word, "=")
		changes = append(changes, amrgossip.Change{Server: amrpool.HashOf(name), Model: testModel, Version: number(t, version)})
	}
	return changes
}

func listing(t *testing.T, words []string) amrpool.Listing {
	l := amrpool.Listing{Name: words[0], Pool: "engines", Address: words[0] + ":1", AvailabilityZone: "a", Slots: 8}
	if pool := option(words, "pool"); pool != "" {
		l.Pool = pool
	}
	if zone := option(words, "zone"); zone != "" {
		l.AvailabilityZone = zone
	}
	if l.Pool == "engines" {
		l.Weights = map[string]int{testModel: 1}
	}
	if weights := option(words, "weights"); weights != "" {
		l.Weights = map[string]int{testModel: number(t, weights)}
	}
	if started := option(words, "started"); started != "" {
		l.Started = time.UnixMilli(int64(number(t, started)))
	}
	l.Draining = slices.Contains(words, "draining")
	return l
}

func notice(t *testing.T, words []string) amrgossip.Notice {
	n := amrgossip.Notice{From: words[0]}
	for _, w := range words[1:] {
		name, load, _ := strings.Cut(w, "=")
		numbers := strings.Split(load+"/0", "/") // In progress, pending tokens and, where given, filled memory.
		n.Loads = append(n.Loads, amrgossip.Load{
			Server: amrpool.HashOf(name), InFlight: number(t, numbers[0]), Pending: number(t, numbers[1]), Filled: number(t, numbers[2]),
		})
	}
	return n
}

func option(words []string, name string) string {
	for _, w := range words {
		if value, ok := strings.CutPrefix(w, name+"="); ok {
			return value
		}
	}
	return ""
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func resultOf(t *testing.T, text string) amrpool.Result {
	for r := amrpool.Completed; r <= amrpool.Canceled; r++ {
		if r.String() == text {
			return r
		}
	}
	t.Fatalf("unknown result %s", text)
	return 0
}
