package amradmit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrcache"
	"amaranthreach.example/core/amrprompt"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata. Each command is an event at the
// given time, and prints the resulting actions and the load. In a prompt, each
// letter stands for one block. The engine runs three requests at the same time
// and computes one block per second.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		q := New(amrcache.New(), WithQueueLimit(6))
		q.Handle(epoch, EngineState{BatchLimit: 3, PrefillRate: 1024})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := argument(t, d, "at")
			return describe(q.Handle(epoch.Add(at), event(t, d))) + describeLoad(q, epoch.Add(at))
		})
	})
}

// event returns the event that the command describes.
func event(t *testing.T, d *datadriven.TestData) Event {
	var id string
	d.MaybeScanArgs(t, "id", &id)
	switch d.Cmd {
	case "arrive":
		return arrival(t, d, id)
	case "computed":
		return Computed{ID: id}
	case "finished":
		var cached int
		known := d.MaybeScanArgs(t, "cached", &cached)
		return Finished{ID: id, CachedTokens: cached, CachedTokensKnown: known}
	case "canceled":
		return Canceled{ID: id}
	case "engine-state":
		return EngineState{Unavailable: d.HasArg("away")}
	case "engine-lost":
		return EngineLost{}
	case "tick":
		return Tick{}
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return nil
}

func arrival(t *testing.T, d *datadriven.TestData, id string) Arrive {
	a := Arrive{Request: Request{ID: id, Team: "red", Isolated: d.HasArg("isolated")}}
	var prompt string
	d.ScanArgs(t, "prompt", &prompt)
	d.MaybeScanArgs(t, "team", &a.Team)
	d.MaybeScanArgs(t, "weight", &a.TeamWeight)
	d.MaybeScanArgs(t, "priority", &a.Priority)
	a.Keys = blocks(a.Team, prompt)
	a.PromptTokens = len(prompt) * amrprompt.TokensPerBlock
	a.TimeLeft = argument(t, d, "time-left")
	a.MaxWait = argument(t, d, "max-wait")
	a.CostLimit = CostLimit{Cost: argument(t, d, "max-cost"), WaitWeight: 1, RecomputeWeight: 2}
	return a
}

// argument returns the duration in the named argument, or 0 if there is none.
func argument(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	var text string
	if !d.MaybeScanArgs(t, name, &text) {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

// blocks returns one key for each letter of the prompt. Teams have different
// keys.
func blocks(team, prompt string) []amrprompt.Key {
	keys := make([]amrprompt.Key, len(prompt))
	for i := range keys {
		copy(keys[i][:], team[:1]+prompt[i:i+1])
	}
	return keys
}

func describe(actions []Action) string {
	var b strings.Builder
	for _, action := range actions {
		switch a := action.(type) {
		case Accept:
			fmt.Fprintf(&b, "accept %s wait=%v cached=%d\n", a.ID, a.Wait, a.CachedTokens)
		case Decline:
			fmt.Fprintf(&b, "decline %s %s retry-after=%v wait=%v cached=%d\n", a.ID, a.Reason, a.RetryAfter, a.Wait, a.CachedTokens)
		case Run:
			fmt.Fprintf(&b, "run %s\n", a.ID)
		case Expire:
			fmt.Fprintf(&b, "expire %s %s\n", a.ID, a.Reason)
		}
	}
	return b.String()
}

func describeLoad(q *Queue, now time.Time) string {
	l := q.Load(now)
	return fmt.Sprintf("running=%d queued=%d tokens=%d wait=%v\n", l.Running, l.Queued, l.WaitingTokens, l.Wait)
}

// TestFloodingTeam checks that a team that sends five times as many requests as
// the engine can compute does not delay the requests of another team by more
// than the prompts that are already submitted to the engine and one more. The
// engine computes one prompt at a time, and no prompts share blocks.
func TestFloodingTeam(t *testing.T) {
	is := is.New(t)
	alone := longestQuietWait(0)
	flooded := longestQuietWait(5)
	const prompts = DefaultMaxPrefills + 1 // Number of prompts that may run before. The bound allows 200 ms for each, twice what it takes.
	is.True(flooded <= alone+prompts*200*time.Millisecond)
}

// longestQuietWait returns the longest time to the first token of a team that
// sends one request every 800 ms, while another team sends the given number of
// requests every 100 ms.
func longestQuietWait(flood int) time.Duration {
	s := newSimulation()
	for step := range 400 {
		now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
		s.computeUntil(now)
		for i := range flood {
			s.arrive(now, "loud", fmt.Sprintf("loud-%d-%d", step, i))
		}
		if step%8 == 0 {
			s.arrive(now, "quiet", fmt.Sprintf("quiet-%d", step))
		}
	}
	return s.longest
}

// simulation simulates a queue and an engine that computes prompts of two
// blocks, one at a time, in 100 ms each.
type simulation struct {
	queue     *Queue
	engine    []string             // IDs of the requests submitted to the engine.
	startedAt time.Time            // Time at which the engine started the first of them.
	arrived   map[string]time.Time // Time of arrival of each request.
	longest   time.Duration        // Longest time to the first token of a request of the team quiet.
}

func newSimulation() *simulation {
	s := &simulation{queue: New(amrcache.New(amrcache.WithCapacity(4))), arrived: make(map[string]time.Time)}
	s.queue.Handle(epoch, EngineState{PrefillRate: 10 * 2 * amrprompt.TokensPerBlock})
	return s
}

// arrive sends a request with a prompt of two blocks to the queue.
func (s *simulation) arrive(now time.Time, team, id string) {
	s.arrived[id] = now
	if len(s.engine) == 0 {
		s.startedAt = now
	}
	s.submit(s.queue.Handle(now, Arrive{Request: Request{ID: id, Team: team, PromptTokens: 2 * amrprompt.TokensPerBlock}}))
}

// submit submits the requests to the engine that the queue says to run.
func (s *simulation) submit(actions []Action) {
	for _, a := range actions {
		if r, ok := a.(Run); ok {
			s.engine = append(s.engine, r.ID)
		}
	}
}

// computeUntil lets the engine compute and finish requests until the given
// time.
func (s *simulation) computeUntil(now time.Time) {
	for len(s.engine) > 0 && !s.startedAt.Add(100*time.Millisecond).After(now) {
		id := s.engine[0]
		s.engine = s.engine[1:]
		s.startedAt = s.startedAt.Add(100 * time.Millisecond)
		if strings.HasPrefix(id, "quiet") {
			s.longest = max(s.longest, s.startedAt.Sub(s.arrived[id]))
		}
		s.submit(s.queue.Handle(s.startedAt, Computed{ID: id}))
		s.submit(s.queue.Handle(s.startedAt, Finished{ID: id}))
	}
}

func BenchmarkArriveBehindFullQueue(b *testing.B) {
	q := New(amrcache.New())
	keys := blocks("red", "abcdefgh")
	for i := range DefaultQueueLimit {
		q.Handle(epoch, Arrive{Request: Request{ID: fmt.Sprint(i), Team: fmt.Sprint(i % 8), Keys: keys, PromptTokens: 8192}})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Handle(epoch, Arrive{Request: Request{ID: "next", Team: "1", Keys: keys, PromptTokens: 8192}, MaxWait: time.Millisecond})
	}
}
