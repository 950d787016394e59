package amrledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrreason"
)

// TestLedger runs the scripts in testdata with a fake clock.
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed()
			datadriven.RunTest(t, path, b.run)
		})
	})
}

// testbed consists of two routers and two sidecars that share a platform.
type testbed struct {
	clock    clockwork.Clock
	start    time.Time
	platform *amrmemory.Platform
	routers  map[string]*Ledger
	sidecars map[string]*testSidecar
	log      strings.Builder
}

// testSidecar runs claims, or fails in the way that its mode names.
type testSidecar struct {
	name    string
	process int
	claims  *Claims
	mode    string // Kind of failure, or "" for none.
	body    string // Answer of its runs instead of the default one.
	runs    int
}

func newTestbed() *testbed {
	clock := clockwork.NewRealClock()
	b := &testbed{clock: clock, start: clock.Now(), routers: map[string]*Ledger{}, sidecars: map[string]*testSidecar{}}
	b.platform = amrmemory.New(amrmemory.WithClock(clock))
	for i, name := range []string{"a", "b"} {
		b.routers[name] = New(b.platform, b.platform, WithClock(clock), WithRand(rand.New(rand.NewPCG(1, uint64(i)))))
	}
	for _, name := range []string{"s1", "s2"} {
		b.sidecars[name] = &testSidecar{name: name, claims: NewClaims(name + "/0")}
	}
	return b
}

func (b *testbed) run(t *testing.T, d *datadriven.TestData) string {
	b.log.Reset()
	switch d.Cmd {
	case "faults":
		b.platform.SetFaults(faultsOf(t, d))
	case "sidecar":
		b.setSidecar(t, d)
	case "call":
		b.call(t, d)
	case "pass":
		var epochs int
		d.ScanArgs(t, "epochs", &epochs)
		for range epochs {
			b.clock.Sleep(EpochLength)
			b.maintain(t) // Starts the next epoch.
			b.maintain(t) // Observes the new epoch.
		}
	case "maintain":
		b.maintain(t)
	case "sweep":
		l := b.routers["a"]
		fmt.Fprintf(&b.log, "deleted %d\n", l.Sweep(t.Context())+l.Sweep(t.Context()))
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return b.log.String()
}

func (b *testbed) maintain(t *testing.T) {
	for _, l := range b.routers {
		l.RecordBacklog(t.Context())
		l.UpdateEpoch(t.Context())
	}
}

// faultsOf returns the faults that the arguments of a script command name.
func faultsOf(t *testing.T, d *datadriven.TestData) amrmemory.Faults {
	var f amrmemory.Faults
	f.Down = d.HasArg("down")
	d.MaybeScanArgs(t, "lose", &f.LoseNextAnswers)
	d.MaybeScanArgs(t, "delay", &f.DelayNextTxns)
	return f
}

func (b *testbed) setSidecar(t *testing.T, d *datadriven.TestData) {
	var name string
	d.ScanArgs(t, "name", &name)
	s := b.sidecars[name]
	s.mode, s.body = "", ""
	d.MaybeScanArgs(t, "mode", &s.mode)
	if d.HasArg("large") {
		s.body = strings.Repeat("x", MaxInlineAnswerBytes+1)
	}
	if d.HasArg("restart") {
		s.process++
		s.claims = NewClaims(fmt.Sprint(name, "/", s.process))
	}
}

func (b *testbed) call(t *testing.T, d *datadriven.TestData) {
	router, key, body, servers := "a", "k", "order", "s1"
	d.MaybeScanArgs(t, "router", &router)
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "servers", &servers)
	began := b.clock.Now()
	action := b.routers[router].Run(t.Context(), Call{
		Team: "recife", Key: key, RequestID: "r", Digest: Digest(body), Deadline: began.Add(10 * time.Second),
	}, &testBackend{testbed: b, servers: strings.Split(servers, "+")})
	switch end := action.(type) {
	case Answered:
		fmt.Fprintf(&b.log, "answered %.20s replayed=%t recorded=%t", end.Answer.Body, end.Replayed, end.Recorded)
	case Refused:
		fmt.Fprintf(&b.log, "refused %s %s", end.Reason, end.Ran)
		if end.Detail != "" {
			fmt.Fprintf(&b.log, ": %s", end.Detail)
		}
	}
	fmt.Fprintf(&b.log, " in %v; runs s1=%d s2=%d\n", b.clock.Since(began), b.sidecars["s1"].runs, b.sidecars["s2"].runs)
}

// testBackend selects each of the servers once, in order.
type testBackend struct {
	testbed *testbed
	servers []string
	next    int
}

func (b *testBackend) now() time.Duration {
	return b.testbed.clock.Since(b.testbed.start)
}

func (b *testBackend) Place(context.Context) Event {
	if b.next == len(b.servers) {
		return NotPlaced{Reason: amrreason.NoBackendServer}
	}
	s := b.testbed.sidecars[b.servers[b.next]]
	b.next++
	return Placed{Placement: Placement{Server: s.name, Incarnation: fmt.Sprint(s.name, "/", s.process), WindowEnd: b.now() + 5*time.Second}}
}

func (b *testBackend) Dispatch(_ context.Context, row Row) Event {
	s := b.testbed.sidecars[row.Server]
	fmt.Fprintf(&b.testbed.log, "dispatch to %s fence=%d\n", row.Server, row.Fence)
	switch s.mode {
	case "decline":
		return NotRun{Reason: amrreason.Overloaded, RetryElsewhere: true}
	case "cut-before":
		return ConnectionLost{}
	case "slow-router":
		b.testbed.clock.Sleep(6 * time.Second)
	}
	ok, reason, ran := s.claims.Start(b.now(), claimOf(row))
	if !ok && ran == amrreason.NotRun {
		return NotRun{Reason: reason, RetryElsewhere: true}
	}
	if !ok {
		return Interrupted{Reason: reason}
	}
	s.runs++
	if s.mode == "crash" {
		s.claims.Fail(row.Token)
		return Interrupted{Reason: amrreason.EngineLost}
	}
	answer := &Answer{Body: []byte(fmt.Sprintf("run %d on %s", s.runs, s.name))}
	if s.body != "" {
		answer.Body = []byte(s.body)
	}
	switch s.mode {
	case "hang":
		return ConnectionLost{}
	case "outage-after":
		b.testbed.platform.SetFaults(amrmemory.Faults{Down: true})
	}
	s.claims.Finish(row.Token, answer)
	if s.mode == "cut-after" {
		return ConnectionLost{}
	}
	return Completed{Answer: answer}
}

func (b *testBackend) Seal(_ context.Context, row Row) Event {
	s := b.testbed.sidecars[row.Server]
	if s.mode == "unreachable" {
		return SealUnanswered{}
	}
	outcome, answer := s.claims.Seal(b.now(), claimOf(row))
	fmt.Fprintf(&b.testbed.log, "seal at %s: %s\n", row.Server, outcome)
	return SealAnswered{Outcome: outcome, Answer: answer}
}
