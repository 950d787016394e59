package amrsuspect_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrsuspect"
)

// TestSuspects runs the scripts in testdata with two routers, a and b, and one
// table. Commands act for router a and the request with the content x unless
// they say otherwise.
func TestSuspects(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFixture()
		datadriven.RunTest(t, path, f.run)
	})
}

// fixture holds two routers that share a table.
type fixture struct {
	clock    *clockwork.FakeClock
	platform *amrmemory.Platform
	store    *amrsuspect.Store
	routers  map[string]*amrsuspect.Registry
}

func newFixture() *fixture {
	clock := clockwork.NewFakeClock()
	platform := amrmemory.New(amrmemory.WithClock(clock))
	return &fixture{
		clock:    clock,
		platform: platform,
		store:    amrsuspect.NewStore(platform),
		routers:  map[string]*amrsuspect.Registry{"a": amrsuspect.NewRegistry(), "b": amrsuspect.NewRegistry()},
	}
}

// run executes a command of a script.
func (f *fixture) run(t *testing.T, d *datadriven.TestData) string {
	router, text, crash := "a", "x", ""
	d.MaybeScanArgs(t, "router", &router)
	d.MaybeScanArgs(t, "text", &text)
	d.MaybeScanArgs(t, "crash", &crash)
	registry, now := f.routers[router], f.clock.Now()
	fingerprint := amrsuspect.FingerprintOf("recife", text)
	trial := amrsuspect.Trial{Fingerprint: fingerprint, Team: "recife", Token: router + "/" + text, Router: router}
	switch d.Cmd {
	case "faults":
		var faults amrmemory.Faults
		faults.Down = d.HasArg("down")
		d.MaybeScanArgs(t, "lose", &faults.LoseNextAnswers)
		d.MaybeScanArgs(t, "delay", &faults.DelayNextTxns)
		f.platform.SetFaults(faults)
		return ""
	case "hear":
		registry.RecordReport(now, fingerprint, crash)
		return ""
	case "admit":
		reported, struck := registry.Suspected(now, fingerprint)
		if !struck {
			return "runs\n"
		}
		struck, err := f.store.BeginTrial(t.Context(), trial, reported, func(s amrsuspect.Suspect) bool { return registry.Abandoned(now, s) })
		if err == nil && !struck {
			registry.Clear(fingerprint)
			return "runs\n"
		}
		return result("runs on trial", err)
	case "strike":
		return result("done", f.store.RecordCrash(t.Context(), fingerprint, "recife", crash))
	case "crashed":
		return result("done", f.store.RecordTrialCrash(t.Context(), trial, crash))
	case "released":
		return result("done", f.store.ReleaseTrial(t.Context(), trial))
	case "cleared":
		registry.Clear(fingerprint)
		return result("done", f.store.Clear(t.Context(), trial))
	case "lift":
		return result("done", f.store.Lift(t.Context(), fingerprint))
	case "poll":
		return f.poll(t, registry)
	case "pass":
		var length string
		d.ScanArgs(t, "time", &length)
		wait, err := time.ParseDuration(length)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		f.clock.Advance(wait)
		return ""
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

// poll lets the registry observe the table, prints the rows, and deletes those
// that the registry returns.
func (f *fixture) poll(t *testing.T, registry *amrsuspect.Registry) string {
	suspects, err := f.store.List(t.Context())
	if err != nil {
		return result("", err)
	}
	var out strings.Builder
	for _, s := range suspects {
		fmt.Fprintf(&out, "crashes=%v trial=%q quarantined=%t\n", s.Crashes, s.Trial, s.Quarantined())
	}
	for _, s := range registry.Observe(f.clock.Now(), suspects) {
		fmt.Fprintf(&out, "drop: %s\n", result("done", f.store.Delete(t.Context(), s)))
	}
	return out.String()
}

// result returns the type of the error, or ok if there is none.
func result(ok string, err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Type().FullName() + "\n"
	}
	return ok + "\n"
}

// TestLocalStrikes checks that a LocalStrikes counts the crashes of a request
// until it completes or LocalStrikeTTL has passed.
func TestLocalStrikes(t *testing.T) {
	now := time.Unix(0, 0)
	strikes := amrsuspect.NewLocalStrikes()
	first, second := amrsuspect.FingerprintOf("recife", "a"), amrsuspect.FingerprintOf("recife", "b")
	strikes.RecordCrash(now, first, "s1/1")
	strikes.RecordCrash(now, second, "s1/1")
	strikes.RecordCrash(now.Add(time.Second), second, "s1/2")
	tests := []struct {
		name string
		do   func()
		at   time.Time
		of   amrsuspect.Fingerprint
		want amrsuspect.StrikeSummary
	}{
		{"one crash", func() {}, now, first, amrsuspect.StrikeSummary{Fingerprint: first, Count: 1, Crash: "s1/1"}},
		{"two crashes", func() {}, now, second, amrsuspect.StrikeSummary{Fingerprint: second, Count: 2, Crash: "s1/2"}},
		{"cleared by a completed run", func() { strikes.Clear(second) }, now, second, amrsuspect.StrikeSummary{}},
		{"expired", func() {}, now.Add(amrsuspect.LocalStrikeTTL + time.Second), first, amrsuspect.StrikeSummary{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.do()
			strike, struck := strikes.Get(test.at, test.of)
			is := is.New(t)
			is.Equal(strike, test.want)
			is.Equal(struck, test.want.Count > 0)
		})
	}
}
