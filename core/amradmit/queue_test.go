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

// TestScripts runs the scripts in testdata. A prompt is written with one
// letter for each block.
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
		return Finished{ID: id, CachedTokens: cached, Known: known}
	case "canceled":
		return Canceled{ID: id}
	case "engine-state":
		return EngineState{Away: d.HasArg("away")}
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
	a.Bound = Bound{Cost: argument(t, d, "max-cost"), WaitWeight: 1, RecomputeWeight: 2}
	return a
}

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

// TestFloodingTeam lets one team send five times what the engine can compute
// and looks at how long another team's requests wait. The engine computes one
// prompt at a time; both teams send prompts of two blocks that share nothing.
func TestFloodingTeam(t *testing.T) {
	is := is.New(t)
	alone := quietTeamWait(0)
	flooded := quietTeamWait(5)
	const prompts = DefaultHandedPrompts + 1 // What may stand before it.
	is.True(flooded <= alone+prompts*200*time.Millisecond)
}

// quietTeamWait returns the longest time to the first token of a team that
// uses a quarter of the engine while another floods it.
func quietTeamWait(flood int) time.Duration {
	b := newBench()
	for step := range 400 {
		now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
		b.computeUntil(now)
		for i := range flood {
			b.arrive(now, "loud", fmt.Sprintf("loud-%d-%d", step, i))
		}
		if step%8 == 0 {
			b.arrive(now, "quiet", fmt.Sprintf("quiet-%d", step))
		}
	}
	return b.longest
}

// bench runs a queue before an engine that computes 10 prompts of two blocks
// in a second, one at a time.
type bench struct {
	queue   *Queue
	engine  []string
	free    time.Time
	arrived map[string]time.Time
	longest time.Duration
}

func newBench() *bench {
	b := &bench{queue: New(amrcache.New(amrcache.WithCapacity(4))), arrived: make(map[string]time.Time)}
	b.queue.Handle(epoch, EngineState{PrefillRate: 10 * 2 * amrprompt.TokensPerBlock})
	return b
}

func (b *bench) arrive(now time.Time, team, id string) {
	b.arrived[id] = now
	if len(b.engine) == 0 {
		b.free = now
	}
	b.take(b.queue.Handle(now, Arrive{Request: Request{ID: id, Team: team, PromptTokens: 2 * amrprompt.TokensPerBlock}}))
}

func (b *bench) take(actions []Action) {
	for _, a := range actions {
		if r, ok := a.(Run); ok {
			b.engine = append(b.engine, r.ID)
		}
	}
}

func (b *bench) computeUntil(now time.Time) {
	for len(b.engine) > 0 && !b.free.Add(100*time.Millisecond).After(now) {
		id := b.engine[0]
		b.engine = b.engine[1:]
		b.free = b.free.Add(100 * time.Millisecond)
		if strings.HasPrefix(id, "quiet") {
			b.longest = max(b.longest, b.free.Sub(b.arrived[id]))
		}
		b.take(b.queue.Handle(b.free, Computed{ID: id}))
		b.take(b.queue.Handle(b.free, Finished{ID: id}))
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
