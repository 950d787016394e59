package amrplace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrrecord"
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata. A prompt is given as one letter for
// each block. Engines compute one block per second.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{placer: New(WithSeed(1))}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script is the state of a script in progress.
type script struct {
	placer *Placer
	last   Candidate // Candidate to which the last request was dispatched.
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	now := startTime.Add(duration(t, d, "at"))
	var name, prompt string
	d.MaybeScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "prompt", &prompt)
	keys := chain(prompt)
	switch d.Cmd {
	case "view":
		s.placer.SetView(NewView(members(d.Input)))
	case "report":
		s.placer.RecordLoad(now, name, load(t, d))
	case "stored":
		blocks := make([]uint64, len(keys))
		for i, k := range keys {
			blocks[i] = shortKey(k)
		}
		s.placer.RecordStored(name, blocks)
	case "dispatch":
		s.last = s.place(t, d, now, keys).Candidates[0]
		s.placer.RecordDispatched(s.last)
		return s.last.Name + "\n"
	case "accept":
		s.placer.RecordAccepted(now, s.last, keys, cached(t, d), load(t, d))
	case "decline":
		s.placer.RecordDeclined(now, s.last, keys, cached(t, d), load(t, d))
	case "place":
		return describe(s.place(t, d, now, keys))
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return ""
}

func (s *script) place(t *testing.T, d *datadriven.TestData, now time.Time, keys []amrprompt.Key) Decision {
	policy := amrrecord.RoutingPolicy{Policy: amrrecord.PolicyCacheAware}
	var name string
	if d.MaybeScanArgs(t, "policy", &name) {
		policy.Policy = amrrecord.Policy(name)
	}
	d.MaybeScanArgs(t, "wait-weight", &policy.WaitWeight)
	d.MaybeScanArgs(t, "recompute-weight", &policy.RecomputeWeight)
	var excluded []string
	if d.HasArg("excluded") {
		excluded = make([]string, 1)
		d.ScanArgs(t, "excluded", &excluded[0])
	}
	return s.placer.Place(now, Request{
		Keys:         keys,
		PromptTokens: len(keys) * amrprompt.TokensPerBlock,
		Policy:       policy,
		Excluded:     excluded,
	})
}

// describe returns a line for each candidate, and one for the cost limit.
func describe(d Decision) string {
	var b strings.Builder
	for _, c := range d.Candidates {
		fmt.Fprintf(&b, "%s %s wait=%v cached=%d cost=%v\n", c.Name, c.Source,
			c.Wait.Round(10*time.Millisecond), c.CachedTokens, c.Cost.Round(10*time.Millisecond))
	}
	fmt.Fprintf(&b, "bound=%v\n", d.MaxCost.Round(10*time.Millisecond))
	return b.String()
}

// members parses one member per line: its name and, optionally, the incarnation
// of its engine.
func members(input string) []Member {
	var all []Member
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		m := Member{Name: f[0]}
		if len(f) > 1 {
			m.EngineIncarnation = f[1]
		}
		all = append(all, m)
	}
	return all
}

// load returns the load that the arguments of the command describe.
func load(t *testing.T, d *datadriven.TestData) Load {
	l := Load{PrefillRate: amrprompt.TokensPerBlock, Wait: duration(t, d, "wait")}
	d.MaybeScanArgs(t, "engine", &l.EngineIncarnation)
	return l
}

// cached returns the number of tokens for the command's number of cached blocks.
func cached(t *testing.T, d *datadriven.TestData) int {
	var blocks int
	d.ScanArgs(t, "cached", &blocks)
	return blocks * amrprompt.TokensPerBlock
}

// duration returns the value of the named argument, or 0 if it is missing.
func duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
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

// chain returns a key for each letter of the prompt. The key depends on the
// letter and on all letters before it.
func chain(prompt string) []amrprompt.Key {
	keys := make([]amrprompt.Key, len(prompt))
	for i := range keys {
		h := xxh3.HashString128(prompt[:i+1]).Bytes()
		keys[i] = amrprompt.Key(h)
	}
	return keys
}

// TestRendezvous checks that the two backend servers for a key change only if
// one of them is removed, that the keys are spread evenly, and that a backend
// server with a low weight gets a proportionally low share of them.
func TestRendezvous(t *testing.T) {
	is := is.New(t)
	all := fleet(20)
	all[3].Weight = 0.25
	whole, smaller := NewView(all), NewView(all[:19])
	const keys = 4000
	share := 0
	counts := make([]int, len(all))
	for i := range keys {
		key := amrprompt.Key(xxh3.HashString128(fmt.Sprint(i)).Bytes())
		first, second := whole.top(key)
		is.True(first != second)
		if first != 19 && second != 19 {
			f, s := smaller.top(key)
			is.Equal([]int{f, s}, []int{first, second})
		}
		counts[first]++
		if first == 3 {
			share++
		}
	}
	for i, n := range counts {
		is.True(i == 3 || n > 150 && n < 280) // The mean is 208.
	}
	fair := 0.25 / 19.25 * keys
	is.True(float64(share) > fair/2 && float64(share) < fair*2)
}

// TestNoThunderingHerd checks that placers do not all choose the same backend
// server when they have the same outdated report that it is idle: no backend
// server may get more than twice the mean number of requests.
func TestNoThunderingHerd(t *testing.T) {
	is := is.New(t)
	const servers, placers, requests = 12, 40, 30
	counts := make(map[string]int)
	for seed := range placers {
		p := newFleetPlacer(servers, uint64(seed))
		for i := range servers {
			wait := 400 * time.Millisecond
			if i == 0 {
				wait = 0
			}
			p.RecordLoad(startTime, fmt.Sprint("server-", i), Load{Wait: wait})
		}
		for i := range requests {
			now := startTime.Add(3 * time.Second)
			c := p.Place(now, Request{PromptTokens: 100 + i}).Candidates[0]
			p.RecordDispatched(c)
			counts[c.Name]++
		}
	}
	for _, n := range counts {
		is.True(n <= 2*placers*requests/servers)
	}
}

// TestPlaceAllocationsDoNotGrow checks that the number of allocations for a
// decision does not grow with the number of backend servers.
func TestPlaceAllocationsDoNotGrow(t *testing.T) {
	is := is.New(t)
	allocations := func(servers int) float64 {
		p := newFleetPlacer(servers, 1)
		r := Request{Keys: chain("abcdefghi"), PromptTokens: 9300}
		return testing.AllocsPerRun(100, func() { p.Place(startTime, r) })
	}
	is.True(allocations(2400) <= allocations(12))
}

func BenchmarkPlace12(b *testing.B)   { benchmarkPlace(b, 12) }
func BenchmarkPlace2400(b *testing.B) { benchmarkPlace(b, 2400) }

func benchmarkPlace(b *testing.B, servers int) {
	p := newFleetPlacer(servers, 1)
	r := Request{Keys: chain("abcdefghijklmnop"), PromptTokens: 16500}
	for i := range min(servers, 12) {
		p.holders.add(r.Keys[:i], p.servers[i].holder())
		p.RecordLoad(startTime, p.servers[i].name, Load{Wait: time.Duration(i) * time.Millisecond})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Place(startTime, r)
	}
}

func newFleetPlacer(servers int, seed uint64) *Placer {
	p := New(WithSeed(seed))
	p.SetView(NewView(fleet(servers)))
	return p
}

func fleet(n int) []Member {
	all := make([]Member, n)
	for i := range all {
		all[i].Name = fmt.Sprint("server-", i)
	}
	return all
}
