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

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata. A prompt is written with one
// letter for each block; engines compute one block a second.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{placer: New(WithSeed(1))}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

type script struct {
	placer *Placer
	last   Candidate
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	now := epoch.Add(duration(t, d, "at"))
	var name, prompt string
	d.MaybeScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "prompt", &prompt)
	keys := chain(prompt)
	switch d.Cmd {
	case "view":
		s.placer.SetView(NewView(members(d.Input)))
	case "report":
		s.placer.Reported(now, name, load(t, d))
	case "stored":
		blocks := make([]uint64, len(keys))
		for i, k := range keys {
			blocks[i] = short(k)
		}
		s.placer.Stored(name, blocks)
	case "dispatch":
		s.last = s.place(t, d, now, keys).Candidates[0]
		s.placer.Dispatched(s.last)
		return s.last.Name + "\n"
	case "accept":
		s.placer.Accepted(now, s.last, keys, cached(t, d), load(t, d))
	case "decline":
		s.placer.Declined(now, s.last, keys, cached(t, d), load(t, d))
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

func describe(d Decision) string {
	var b strings.Builder
	for _, c := range d.Candidates {
		fmt.Fprintf(&b, "%s %s wait=%v cached=%d cost=%v\n", c.Name, c.Source,
			c.Wait.Round(10*time.Millisecond), c.CachedTokens, c.Cost.Round(10*time.Millisecond))
	}
	fmt.Fprintf(&b, "bound=%v\n", d.Bound.Round(10*time.Millisecond))
	return b.String()
}

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

func load(t *testing.T, d *datadriven.TestData) Load {
	l := Load{PrefillRate: amrprompt.TokensPerBlock, Wait: duration(t, d, "wait")}
	d.MaybeScanArgs(t, "engine", &l.EngineIncarnation)
	return l
}

func cached(t *testing.T, d *datadriven.TestData) int {
	var blocks int
	d.ScanArgs(t, "cached", &blocks)
	return blocks * amrprompt.TokensPerBlock
}

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

// chain returns keys of which each depends on all letters before it.
func chain(prompt string) []amrprompt.Key {
	keys := make([]amrprompt.Key, len(prompt))
	for i := range keys {
		h := xxh3.HashString128(prompt[:i+1]).Bytes()
		keys[i] = amrprompt.Key(h)
	}
	return keys
}

// TestRendezvous checks that a key's backend servers change only with those
// that leave, and that a low weight takes a low share of the keys.
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
		is.True(i == 3 || n > 150 && n < 280) // 208 on average
	}
	fair := 0.25 / 19.25 * keys
	is.True(float64(share) > fair/2 && float64(share) < fair*2)
}

// TestNoHerd lets several placers that heard one stale report of idleness
// choose many times; no backend server may get more than twice the mean.
func TestNoHerd(t *testing.T) {
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
			p.Reported(epoch, fmt.Sprint("server-", i), Load{Wait: wait})
		}
		for i := range requests {
			now := epoch.Add(3 * time.Second)
			c := p.Place(now, Request{PromptTokens: 100 + i}).Candidates[0]
			p.Dispatched(c)
			counts[c.Name]++
		}
	}
	for _, n := range counts {
		is.True(n <= 2*placers*requests/servers)
	}
}

// TestDecisionDoesNotGrow checks that a decision allocates nothing that grows
// with the fleet.
func TestDecisionDoesNotGrow(t *testing.T) {
	is := is.New(t)
	allocations := func(servers int) float64 {
		p := newFleetPlacer(servers, 1)
		r := Request{Keys: chain("abcdefghi"), PromptTokens: 9300}
		return testing.AllocsPerRun(100, func() { p.Place(epoch, r) })
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
		p.Reported(epoch, p.servers[i].name, Load{Wait: time.Duration(i) * time.Millisecond})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Place(epoch, r)
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
