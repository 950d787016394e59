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

// TestRolloutScripts runs the scripts of testdata/rollout. A load that starts
// makes its server unready, one that ends gives it the version.
func TestRolloutScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/rollout", func(t *testing.T, path string) {
		f := &fleet{now: time.Unix(1000, 0), loads: make(map[string]Load)}
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
					t.Fatalf("%s does not load", d.CmdArgs[0].Key)
				}
				f.finish(d.CmdArgs[0].Key, d.HasArg("failed"))
			case "wait":
				f.now = f.now.Add(LoadRetryAfter)
			case "complete":
				for i := 0; f.plan() != "" || len(f.loads) > 0; i++ {
					if i > 100 {
						t.Fatal("the rollout does not end")
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

func parseServer(fields []string) Server {
	s := Server{Name: fields[0], AvailabilityZone: fields[1], Weights: fields[2], Ready: true, Reachable: true, Known: true}
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

// fleet is a deployment under a rollout.
type fleet struct {
	now      time.Time
	rollout  Rollout
	versions []amrrecord.Version
	servers  []Server
	loads    map[string]Load
}

func (f *fleet) plan() string {
	var out strings.Builder
	for _, load := range f.rollout.Plan(f.now, f.versions, f.servers) {
		f.loads[load.Server] = load
		f.server(load.Server).Ready = false
		fmt.Fprintf(&out, "load %s on %s\n", load.Weights, load.Server)
	}
	return out.String()
}

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

func (f *fleet) server(name string) *Server {
	return &f.servers[slices.IndexFunc(f.servers, func(s Server) bool { return s.Name == name })]
}

// String returns the servers by version, and the halted versions.
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

// TestRolloutKeepsCapacity rolls random fleets to random shares, with loads
// that fail now and then, and checks each step: no more loads at once than
// allowed, enough backend servers serving, and an end where each version has
// its share.
func TestRolloutKeepsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Unix(1000, 0), loads: make(map[string]Load)}
		for i := range rapid.IntRange(1, 14).Draw(t, "servers") {
			f.servers = append(f.servers, Server{Name: fmt.Sprintf("s%02d", i), Weights: "v1", Ready: true, Reachable: true, Known: true})
		}
		share := rapid.IntRange(0, 100).Draw(t, "share")
		f.versions = []amrrecord.Version{{Weights: "v1", Share: 100 - share}, {Weights: "v2", Share: share}}
		failures := rapid.IntRange(0, MaxFailures-1).Draw(t, "failures")
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
			t.Fatalf("%d of %d hold v2, its share is %d%%", held, len(f.servers), share)
		}
	})
}

func (f *fleet) checkCapacity(t *rapid.T) {
	if len(f.loads) > MaxLoads {
		t.Fatalf("%d loads at once", len(f.loads))
	}
	serving := 0
	for _, s := range f.servers {
		if s.Ready {
			serving++
		}
	}
	if n := len(f.servers); n > 1 && (serving < 1 || float64(serving) < MinServingShare*float64(n)-1) {
		t.Fatalf("%d of %d serve", serving, n)
	}
}
