package amrtrace

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrprompt"
)

func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/read", func(_ *testing.T, d *datadriven.TestData) string {
		requests, err := Read(strings.NewReader(d.Input))
		if err != nil {
			return err.Error()
		}
		var b bytes.Buffer
		if err := Write(&b, requests); err != nil {
			return err.Error()
		}
		return b.String()
	})
}

func TestPromptNesting(t *testing.T) {
	base := Request{
		Team:         "recife",
		Model:        "m1",
		Prefix:       []Level{{"catalogue-1", 3000}, {"season-1", 2000}},
		SuffixTokens: 50,
		Line:         1,
	}
	tests := []struct {
		name   string
		change func(*Request)
		shared int // shared is the number of shared blocks.
	}{
		{"same", func(*Request) {}, 4},
		{"other question", func(r *Request) { r.Line = 2 }, 4},
		{"other season", func(r *Request) { r.Prefix = []Level{{"catalogue-1", 3000}, {"season-2", 2000}} }, 2},
		{"same season of another catalogue", func(r *Request) { r.Prefix = []Level{{"catalogue-2", 3000}, {"season-1", 2000}} }, 0},
		{"other team", func(r *Request) { r.Team = "natal" }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			other := base
			tt.change(&other)
			shared := 0
			for i, k := range other.Keys("w1") {
				if k == base.Keys("w1")[i] {
					shared++
				}
			}
			is.Equal(shared, tt.shared)
			is.Equal(amrprompt.CountTokens(other.Prompt()), other.PromptTokens())
		})
	}
}

func TestPromptOfRetryEqualsOriginal(t *testing.T) {
	is := is.New(t)
	first := Request{Team: "recife", SuffixTokens: 50, NonIdempotent: true, Key: "order-1", Line: 1}
	retry := first
	retry.Line = 7
	is.Equal(first.Prompt(), retry.Prompt())
	first.Key, retry.Key = "", ""
	is.True(first.Prompt() != retry.Prompt())
}

// TestGenerate checks that a generated trace has the requested load on an ideal
// cache and equals the recorded trace.
func TestGenerate(t *testing.T) {
	for _, workload := range []string{Mandacaru, Ledoslik} {
		t.Run(workload, func(t *testing.T) {
			is := is.New(t)
			p := Parameters{
				Workload:        workload,
				Load:            0.75,
				Duration:        12 * time.Second,
				Seed:            1,
				Engines:         defaultEngines,
				TokensPerSecond: defaultTokensPerSecond,
			}
			requests, err := Generate(p)
			is.NoErr(err)
			load := uncachedPerSecond(requests, p.Duration) / defaultEngines / defaultTokensPerSecond
			is.True(load > 0.74 && load < 0.76)

			var b bytes.Buffer
			is.NoErr(Write(&b, requests))
			recorded, err := os.ReadFile("../testdata/traces/" + workload + ".jsonl")
			is.NoErr(err)
			// The recorded trace is the output of this command:
			//	standin trace --workload NAME --seconds 12
			is.True(b.String() == string(recorded))
		})
	}
}

func TestSurge(t *testing.T) {
	is := is.New(t)
	p := Parameters{Workload: Mandacaru, Duration: 30 * time.Second, Seed: 1, SurgeTeam: "recife", SurgeFactor: 5}
	requests, err := draw(p, 100)
	is.NoErr(err)
	count := func(from, to time.Duration) (surging, others int) {
		for _, r := range requests {
			if r.At < from || r.At >= to {
				continue
			}
			if r.Team == p.SurgeTeam {
				surging++
			} else {
				others++
			}
		}
		return surging, others
	}
	surging, others := count(10*time.Second, 20*time.Second)
	usual, usualOthers := count(20*time.Second, 30*time.Second)
	ratio := float64(surging) / float64(others) / (float64(usual) / float64(usualOthers))
	is.True(ratio > 4 && ratio < 6)
}

func TestSimulateIdealCache(t *testing.T) {
	datadriven.RunTest(t, "testdata/ideal", func(t *testing.T, d *datadriven.TestData) string {
		requests, err := Read(strings.NewReader(d.Input))
		if err != nil {
			return err.Error()
		}
		var blocks int
		d.ScanArgs(t, "blocks", &blocks)
		ideal := SimulateIdealCache(requests, blocks, 0)
		return strings.TrimSpace(strings.Join([]string{
			"distinct", strconv.Itoa(CountDistinctBlocks(requests)), "prompt", strconv.Itoa(ideal.PromptTokens), "cached", strconv.Itoa(ideal.CachedTokens),
		}, " "))
	})
}
