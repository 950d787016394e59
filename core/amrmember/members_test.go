package amrmember

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata/members. Each input line is an event
// in the format of parseEvent; the output lists the actions that the events
// cause and the view after them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/members", func(t *testing.T, path string) {
		members := New(WithRand(rand.New(rand.NewPCG(3, 3))))
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				if d.Cmd == "wait" {
					pause, err := time.ParseDuration(d.CmdArgs[0].Key)
					if err != nil {
						t.Fatal(err)
					}
					now = now.Add(pause)
					writeActions(&out, members.Apply(now, Tick{}))
					break
				}
				if line != "" {
					writeActions(&out, members.Apply(now, parseEvent(t, line)))
				}
			}
			writeView(&out, members.View(), now)
			return out.String()
		})
	})
}

// parseEvent parses a line that consists of the name of an event and key=value
// fields.
func parseEvent(t *testing.T, line string) Event {
	fields := strings.Fields(line)
	args := make(map[string]string)
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		args[key] = value
	}
	switch fields[0] {
	case "record":
		return RecordPut{Name: args["name"], Spec: amrrecord.BackendServer{
			Deployment: "m", Address: args["name"] + ":1", Drain: args["drain"] == "true",
		}}
	case "remove":
		return RecordRemoved{Name: args["name"]}
	case "hosts":
		var hosts []amrplatform.Host
		for _, name := range strings.Split(args["live"], ",") {
			hosts = append(hosts, amrplatform.Host{
				Address: name + ":1", Role: amrplatform.RoleSidecar, State: amrplatform.HostLive,
			})
		}
		if args["leaving"] != "" {
			since, _ := strconv.Atoi(args["since"])
			hosts = append(hosts, amrplatform.Host{
				Address: args["leaving"] + ":1", Role: amrplatform.RoleSidecar,
				State: amrplatform.HostLeaving, Since: start.Add(time.Duration(since) * time.Second),
			})
		}
		return HostsListed{Hosts: hosts}
	case "reply":
		return SidecarReplied{
			Name: args["name"], SidecarIncarnation: args["inc"],
			Draining: args["draining"] == "true", Ready: args["ready"] != "false",
		}
	case "succeeded":
		return RequestSucceeded{Name: args["name"]}
	case "failed":
		return RequestFailed{Name: args["name"], SidecarIncarnation: args["inc"], Unreachable: args["unreachable"] == "true"}
	}
	t.Fatalf("unknown event %q", line)
	return nil
}

func writeActions(out *strings.Builder, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Probe:
			fmt.Fprintf(out, "probe %s\n", a.Name)
		case NotifyLeaving:
			fmt.Fprintf(out, "notify %s leaving=%t\n", a.Name, a.Leaving)
		}
	}
}

func writeView(out *strings.Builder, v View, now time.Time) {
	for _, m := range v.Eligible("m") {
		fmt.Fprintf(out, "%s eligible", m.Name)
		if w := m.Weight(now, DefaultLimits()); w < 1 {
			fmt.Fprintf(out, " weight=%.2f", w)
		}
		out.WriteString("\n")
	}
	for _, m := range v.Excluded("m") {
		fmt.Fprintf(out, "%s %s\n", m.Name, m.Exclusion)
	}
}

// TestViewMatchesStates applies random events. It checks after each that every
// backend server is in the list that its state requires, that the lists are
// sorted and the counts are right, and at the end that an earlier view has not
// changed.
func TestViewMatchesStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := New()
		now := start
		var earlier View
		var earlierText string
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			members.Apply(now, drawEvent(t))
			checkView(t, members)
			if i == 10 {
				earlier, earlierText = members.View(), viewText(members.View())
			}
		}
		if viewText(earlier) != earlierText && earlierText != "" {
			t.Fatalf("an earlier view has changed:\n%s\nwant\n%s", viewText(earlier), earlierText)
		}
	})
}

// drawEvent returns a random event.
func drawEvent(t *rapid.T) Event {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	deployment := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "deployment")
	incarnation := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "incarnation")
	flag := rapid.Bool().Draw(t, "flag")
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0, 1:
		return RecordPut{Name: name, Spec: amrrecord.BackendServer{Deployment: deployment, Address: name, Drain: flag}}
	case 2:
		return RecordRemoved{Name: name}
	case 3:
		host := amrplatform.Host{Address: name, Role: amrplatform.RoleSidecar, State: amrplatform.HostLive}
		if flag {
			host.State, host.Since = amrplatform.HostLeaving, start
		}
		return HostsListed{Hosts: []amrplatform.Host{host}}
	case 4:
		return SidecarReplied{Name: name, SidecarIncarnation: incarnation, Draining: flag, Ready: rapid.Bool().Draw(t, "ready")}
	case 5:
		return RequestFailed{Name: name, Unreachable: flag}
	default:
		return Tick{}
	}
}

// checkView fails the test if the view or the indexes do not match the states of
// the backend servers.
func checkView(t *rapid.T, members *Members) {
	ejected := make(map[string]int)
	total := 0
	for name, s := range members.states {
		m, ok := members.view.Member(s.member.Deployment, name)
		if !ok || *m != s.member || m.Exclusion != s.exclusion() {
			t.Fatalf("member %s of the view is %+v, but its state is %+v", name, m, s)
		}
		if s.ejected {
			ejected[s.member.Deployment]++
		}
	}
	for deployment, g := range members.view.groups {
		total += g.size()
		for _, list := range [][]*Member{g.eligible, g.excluded} {
			for i, m := range list {
				if m.Deployment != deployment || (i > 0 && list[i-1].Name >= m.Name) {
					t.Fatalf("list of deployment %s is not sorted or contains a member of another one", deployment)
				}
			}
		}
		if members.ejected[deployment] != ejected[deployment] {
			t.Fatalf("%d members of %s are ejected, but %d are counted", ejected[deployment], deployment, members.ejected[deployment])
		}
	}
	for i, name := range members.names {
		if members.states[name].index != i {
			t.Fatalf("%s is at position %d, but its index is %d", name, i, members.states[name].index)
		}
	}
	if total != len(members.states) || len(members.names) != total {
		t.Fatalf("view has %d members, want %d", total, len(members.states))
	}
}

func viewText(v View) string {
	var out strings.Builder
	for _, deployment := range []string{"m", "n"} {
		for _, list := range [][]*Member{v.Eligible(deployment), v.Excluded(deployment)} {
			for _, m := range list {
				fmt.Fprintf(&out, "%+v\n", *m)
			}
		}
	}
	return out.String()
}

// TestRestartOfAllRoutersSpreadsFetches starts 360 routers at the same instant,
// with a failing store for the first minute. It checks that their fetches use at
// most a tenth of the reads that the store can serve, and that there are at least
// as many fetches as routers in the 35 s after the store has recovered.
func TestRestartOfAllRoutersSpreadsFetches(t *testing.T) {
	is := is.New(t)
	const (
		routers    = 360
		readBudget = 200 // A tenth of the store's 2,000 reads per second.
		step       = 10 * time.Millisecond
	)
	fetchers := make([]*Fetcher, routers)
	for i := range fetchers {
		r := rand.New(rand.NewPCG(uint64(i), 9))
		fetchers[i] = NewFetcher(start, 30*time.Second, 4*time.Second, r)
	}
	perSecond := make(map[int]int)
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(step) {
		for _, f := range fetchers {
			f.RequestFetch(now) // Every router requests a fetch at each step.
			if !f.TryStart(now) {
				continue
			}
			second := int(now.Sub(start) / time.Second)
			perSecond[second]++
			var err error
			if second < 60 {
				err = amrplatform.Unavailable.New("down")
			}
			f.Done(now, err)
		}
	}
	for second, fetches := range perSecond {
		if fetches > readBudget {
			t.Errorf("%d fetches in second %d", fetches, second)
		}
	}
	fetched := 0
	for second := 60; second < 95; second++ {
		fetched += perSecond[second]
	}
	is.True(fetched >= routers) // As many fetches as routers soon after the outage.
}

// TestFetcherCoalescesRequests checks that any number of requests lead to a
// single fetch, which comes neither too early nor as late as the regular one,
// and that requests do not shorten the delay after a failure.
func TestFetcherCoalescesRequests(t *testing.T) {
	is := is.New(t)
	f := NewFetcher(start, time.Minute, time.Second, rand.New(rand.NewPCG(1, 1)))
	now := f.Next()
	is.True(f.TryStart(now))
	is.True(!f.TryStart(now)) // One fetch at a time.
	for range 100 {
		f.RequestFetch(now)
	}
	f.Done(now, nil)
	next := f.Next()
	is.True(next.Sub(now) >= time.Second)   // Not before the spread has passed.
	is.True(next.Sub(now) <= 2*time.Second) // Well before the regular fetch.
	for range 100 {
		f.RequestFetch(now)
	}
	is.True(f.TryStart(f.Next()))
	f.Done(now, amrplatform.Unavailable.New("down"))
	paused := f.Next()
	f.RequestFetch(now)
	is.Equal(f.Next(), paused) // A request does not shorten the delay after a failure.
}

// newLargeMembers returns a Members with 12,000 backend servers, as in the
// largest fleet, and the host list that contains them.
func newLargeMembers() (*Members, []amrplatform.Host) {
	const backendServers, deployments = 12_000, 7
	members := New()
	var hosts []amrplatform.Host
	for i := range backendServers {
		name := fmt.Sprintf("backend-%05d", i)
		members.Apply(start, RecordPut{Name: name, Spec: amrrecord.BackendServer{
			Deployment: fmt.Sprintf("model-%d", i%deployments), Address: name + ":1",
		}})
		members.Apply(start, SidecarReplied{Name: name, SidecarIncarnation: "1", Ready: true})
		hosts = append(hosts, amrplatform.Host{Address: name + ":1", Role: amrplatform.RoleSidecar, State: amrplatform.HostLive})
	}
	return members, hosts
}

func BenchmarkReplyWithoutChange(b *testing.B) {
	members, _ := newLargeMembers()
	b.ReportAllocs()
	for b.Loop() {
		members.Apply(start, SidecarReplied{Name: "backend-06000", SidecarIncarnation: "1", Ready: true})
	}
}

func BenchmarkReplyWithChange(b *testing.B) {
	members, _ := newLargeMembers()
	draining := false
	b.ReportAllocs()
	for b.Loop() {
		draining = !draining
		members.Apply(start, SidecarReplied{Name: "backend-06000", SidecarIncarnation: "1", Ready: true, Draining: draining})
	}
}

func BenchmarkHostList(b *testing.B) {
	members, hosts := newLargeMembers()
	b.ReportAllocs()
	for b.Loop() {
		members.Apply(start, HostsListed{Hosts: hosts})
	}
}
