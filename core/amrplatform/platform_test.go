package amrplatform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// services is the set of the three services under test.
type services interface {
	amrplatform.Table
	amrplatform.ObjectStore
	amrplatform.HostList
}

// TestServices runs the scripts in testdata/services on amrmemory.Platform, first
// directly and then through Client and the handler. Both must give the same
// results.
func TestServices(t *testing.T) {
	for _, transport := range []string{"memory", "http"} {
		t.Run(transport, func(t *testing.T) {
			datadriven.Walk(t, "testdata/services", func(t *testing.T, path string) {
				clock := clockwork.NewFakeClock()
				platform := amrmemory.New(amrmemory.WithClock(clock), amrmemory.WithSeed(7))
				var s services = platform
				if transport == "http" {
					server := httptest.NewServer(amrplatform.NewHandler(platform, platform, platform))
					defer server.Close()
					client := amrplatform.NewClient(server.URL)
					defer client.CloseIdleConnections()
					s = client
				}
				script := script{platform: platform, services: s, clock: clock}
				datadriven.RunTest(t, path, script.run)
			})
		})
	}
}

// script is the state of a test script.
type script struct {
	platform *amrmemory.Platform
	services services
	clock    *clockwork.FakeClock
}

// run executes a command of a script and returns its output.
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	ctx := context.Background()
	switch d.Cmd {
	case "get":
		item, err := s.services.Get(ctx, d.CmdArgs[0].Key)
		return result(err, formatItem(item))
	case "scan":
		items, err := s.services.Scan(ctx, optional(d, "prefix"), optional(d, "after"), number(d, "limit"))
		var lines []string
		for _, item := range items {
			lines = append(lines, formatItem(item))
		}
		return result(err, strings.Join(lines, "\n"))
	case "commit":
		return result(s.services.Commit(ctx, parseTxn(d.Input)), "ok")
	case "put-object":
		return result(s.services.PutObject(ctx, d.CmdArgs[0].Key, []byte(d.Input)), "ok")
	case "get-object":
		data, err := s.services.GetObject(ctx, d.CmdArgs[0].Key)
		return result(err, string(data))
	case "list-objects":
		keys, err := s.services.ListObjects(ctx, optional(d, "prefix"), optional(d, "after"), number(d, "limit"))
		return result(err, strings.Join(keys, "\n"))
	case "delete-object":
		return result(s.services.DeleteObject(ctx, d.CmdArgs[0].Key), "ok")
	case "hosts":
		hosts, err := s.services.Hosts(ctx)
		var lines []string
		for _, h := range hosts {
			lines = append(lines, fmt.Sprintf("%s %s", h.Name, h.State))
		}
		return result(err, strings.Join(lines, "\n"))
	default:
		return s.control(t, d)
	}
}

// control executes the commands that control the platform in memory and the
// clock, and "fill", which returns how many of a number of reads were rejected.
func (s *script) control(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "faults":
		s.platform.SetFaults(amrmemory.Faults{
			Down:            d.HasArg("down"),
			HostsDown:       d.HasArg("hosts-down"),
			LoseNextAnswers: number(d, "lose"),
			DelayNextTxns:   number(d, "delay"),
			HostLag:         duration(d, "host-lag"),
		})
	case "set-host":
		state := amrplatform.HostState(optional(d, "state"))
		s.platform.SetHost(amrplatform.Host{Name: d.CmdArgs[0].Key, State: state})
	case "remove-host":
		s.platform.RemoveHost(d.CmdArgs[0].Key)
	case "advance":
		s.clock.Advance(duration(d, "by"))
	case "fill":
		rejected := 0
		for range number(d, "reads") {
			if _, err := s.services.Get(context.Background(), "missing"); errorx.IsOfType(err, amrplatform.Unavailable) {
				rejected++
			}
		}
		return fmt.Sprintf("refused %d", rejected)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return "ok"
}

// result returns the kind of the error, or the text if there is no error.
func result(err error, text string) string {
	var e *errorx.Error
	if errors.As(err, &e) {
		return e.Type().FullName()
	}
	if err != nil {
		return "error of no kind: " + err.Error()
	}
	return text
}

// formatItem returns an item as a line of output.
func formatItem(item amrplatform.Item) string {
	return fmt.Sprintf("%s=%s v%d", item.Key, item.Value, item.Version)
}

// parseTxn parses a transaction. Each line is "check KEY VERSION", "put KEY
// VALUE" or "delete KEY".
func parseTxn(input string) amrplatform.Txn {
	var txn amrplatform.Txn
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		fields := strings.Fields(line)
		switch fields[0] {
		case "check":
			var version uint64
			_, _ = fmt.Sscan(fields[2], &version)
			txn.Checks = append(txn.Checks, amrplatform.Check{Key: fields[1], Version: version})
		case "put":
			txn.Puts = append(txn.Puts, amrplatform.Put{Key: fields[1], Value: []byte(fields[2])})
		case "delete":
			txn.Deletes = append(txn.Deletes, fields[1])
		}
	}
	return txn
}

// optional returns the value of an argument, or "" if it is missing.
func optional(d *datadriven.TestData, key string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

// number returns the value of an argument, or 0 if it is missing.
func number(d *datadriven.TestData, key string) int {
	n := 0
	_, _ = fmt.Sscan(optional(d, key), &n)
	return n
}

// duration returns the value of an argument, or 0 if it is missing.
func duration(d *datadriven.TestData, key string) time.Duration {
	v, _ := time.ParseDuration(optional(d, key))
	return v
}

// TestSlowService checks the errors of calls that time out. A read must fail with
// Unavailable. A write must fail with OutcomeUnknown, as the service may have
// applied it.
func TestSlowService(t *testing.T) {
	is := is.New(t)
	platform := amrmemory.New(amrmemory.WithClock(clockwork.NewFakeClock()))
	server := httptest.NewServer(amrplatform.NewHandler(platform, platform, platform))
	defer server.Close()
	client := amrplatform.NewClient(server.URL, amrplatform.WithTimeout(20*time.Millisecond))
	defer client.CloseIdleConnections()
	platform.SetFaults(amrmemory.Faults{Latency: time.Hour})

	_, err := client.Get(t.Context(), "a")
	is.True(errorx.IsOfType(err, amrplatform.Unavailable))
	err = client.Commit(t.Context(), amrplatform.Txn{Puts: []amrplatform.Put{{Key: "a", Value: []byte("1")}}})
	is.True(errorx.IsOfType(err, amrplatform.OutcomeUnknown))

	platform.SetFaults(amrmemory.Faults{})
	item, err := platform.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(item.Value), "1")
}

// TestUnreachableService checks that a write fails with Unavailable, not with
// OutcomeUnknown, if the client cannot connect to the service.
func TestUnreachableService(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	server.Close()
	client := amrplatform.NewClient(server.URL)
	err := client.Commit(t.Context(), amrplatform.Txn{})
	is.True(errorx.IsOfType(err, amrplatform.Unavailable))
}
