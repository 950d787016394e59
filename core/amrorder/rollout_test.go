package amrorder

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"amaranthreach.example/core/amrrecord"
)

// TestRolloutScripts runs the scripts in testdata/rollout. A server is not
// ready while it loads, and holds the new version after a successful load.
func TestRolloutScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/rollout", func(t *testing.T, path string) {
		f := &fleet{now: time.Unix(1000, 0), loads: make(map[string]LoadOrder)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			lines := strings.Split(strings.TrimSpace(d.Input), "\n")
			switch d.Cmd {
			case "servers": // NAME ZONE WEIGHTS|- [not-ready] [unreachable]
				f.servers = nil
				for _, line := range lines {
					f.servers = append(f.servers, parseServer(strings.Fields(line)))
				}
			case "versions": // WEIGHTS SHARE [ZONE...]
				f.versions = nil
				for _, line := range lines {
					fields := strings.Fields(line)
					share, _ := strconv.Atoi(fields[1])
					f.versions = append(f.versions, amrrecord.Version{
						Weights: fields[0], Share: share, AvailabilityZones: fields[2:],
					})
				}
			case "plan":
				return f.plan()
			case "finish": // NAME [failed]
				if _, ok := f.loads[d.CmdArgs[0].Key]; !ok {
					t.Fatalf("%s is not loading", d.CmdArgs[0].Key)
				}
				f.finish(d.CmdArgs[0].Key, d.HasArg("failed"))
			case "wait":
				f.now = f.now.Add(LoadRetryAfter)
			case "complete":
				for i := 0; f.plan() != "" || len(f.loads) > 0; i++ {
					if i > 100 {
						t.Fatal("rollout not complete after 100 rounds")
					}
					for name := range f.loads {
						f.finish(name, false)
					}
				}
			}
			return f.String()
		})
	})
}

// parseServer returns the server that the fields of a script line describe.
func parseServer(fields []string) RolloutServer {
	s := RolloutServer{Name: fields[0], AvailabilityZone: fields[1], Weights: fields[2], Ready: true, Reachable: true, Reported: true}
	if s.Weights == "-" {
		s.Weights, s.Ready = "", false
	}
	if slices.Contains(fields, "not-ready") {
		s.Ready = false
	}
	if slices.Contains(fields, "unreachable") {
		s.Reachable = false
	}
	return s
}

// fleet simulates a deployment during a rollout.
type fleet struct {
	now      time.Time
	rollout  Rollout
	versions []amrrecord.Version
	servers  []RolloutServer
	loads    map[string]LoadOrder // Loads in progress, by name of the server.
}

// plan starts the loads that the rollout plans, and returns one line for each.
func (f *fleet) plan() string {
	var out strings.Builder
	for _, load := range f.rollout.Plan(f.now, f.versions, f.servers) {
		f.loads[load.Server] = load
		f.server(load.Server).Ready = false
		fmt.Fprintf(&out, "load %s on %s\n", load.Weights, load.Server)
	}
	return out.String()
}

// finish ends the load of the named server.
func (f *fleet) finish(name string, failed bool) {
	load := f.loads[name]
	delete(f.loads, name)
	var err error
	if failed {
		err = errors.New("failed")
	} else {
		f.server(name).Weights = load.Weights
	}
	f.server(name).Ready = f.server(name).Weights != ""
	f.rollout.Finish(f.now, load, err)
}

func (f *fleet) server(name string) *RolloutServer {
	return &f.servers[slices.IndexFunc(f.servers, func(s RolloutServer) bool { return s.Name == name })]
}

// String returns a line for each version with its servers, and a line for each
// halted version.
func (f *fleet) String() string {
	held := make(map[string][]string)
	var versions []string
	for _, s := range f.servers {
		version := s.Weights
		if !s.Ready {
			version += " not-ready"
		}
		if held[version] == nil {
			versions = append(versions, version)
		}
		held[version] = append(held[version], s.Name)
	}
	slices.Sort(versions)
	var out strings.Builder
	for _, v := range versions {
		fmt.Fprintf(&out, "%s: %s\n", v, strings.Join(held[v], " "))
	}
	for _, v := range f.rollout.Halted() {
		fmt.Fprintf(&out, "halted: %s\n", v)
	}
	return out.String()
}

// TestRolloutKeepsCapacity brings fleets of random sizes to random shares of two
// versions, with some failing loads. It checks after each step that no more
// loads are in progress than allowed and that enough backend servers serve, and
// at the end that each version has its share.
func TestRolloutKeepsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Unix(1000, 0), loads: make(map[string]LoadOrder)}
		for i := range rapid.IntRange(1, 14).Draw(t, "servers") {
			f.servers = append(f.servers, RolloutServer{Name: fmt.Sprintf("s%02d", i), Weights: "v1", Ready: true, Reachable: true, Reported: true})
		}
		share := rapid.IntRange(0, 100).Draw(t, "share")
		f.versions = []amrrecord.Version{{Weights: "v1", Share: 100 - share}, {Weights: "v2", Share: share}}
		failures := rapid.IntRange(0, MaxConsecutiveFailures-1).Draw(t, "failures")
		for range 200 {
			f.plan()
			f.checkCapacity(t)
			if len(f.loads) == 0 {
				break
			}
			names := make([]string, 0, len(f.loads))
			for name := range f.loads {
				names = append(names, name)
			}
			slices.Sort(names)
			f.finish(rapid.SampledFrom(names).Draw(t, "ends"), failures > 0)
			failures--
			f.now = f.now.Add(LoadRetryAfter)
		}
		held := 0
		for _, s := range f.servers {
			if s.Weights == "v2" {
				held++
			}
		}
		exact := float64(share*len(f.servers)) / 100
		if diff := float64(held) - exact; diff <= -1 || diff >= 1 {
			t.Fatalf("%d of %d servers hold v2, want a share of %d%%", held, len(f.servers), share)
		}
	})
}

// checkCapacity fails the test if too many servers load or too few serve.
func (f *fleet) checkCapacity(t *rapid.T) {
	if len(f.loads) > MaxConcurrentLoads {
		t.Fatalf("%d loads in progress, more than allowed", len(f.loads))
	}
	serving := 0
	for _, s := range f.servers {
		if s.Ready {
			serving++
		}
	}
	if n := len(f.servers); n > 1 && (serving < 1 || float64(serving) < MinServingShare*float64(n)-1) {
		t.Fatalf("only %d of %d servers are ready", serving, n)
	}
}
