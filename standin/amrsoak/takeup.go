package amrsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthreach.example/standin/amrsite"
)

// Versions of the engines' software, in turn.
var softwareVersions = []string{"v1", "v1.1"}

// minTakenUp is the number of streams from which the share of those that go on is checked.
const minTakenUp = 12

const (
	takeUpInterval = 200 * time.Millisecond // Time between two attempts to take up a stream while no router answers.
	takeUpTime     = 4 * time.Second        // Time for which a stream is taken up; longer than one fault keeps all routers down.
)

// maxTakeUps is the number of times that a caller takes a stream up again which has broken
// off once more.
const maxTakeUps = 3

// takeUp takes a stream up again that broke off after its caller had got some events, at
// a router that is ready, and again if it breaks off there.
func (s *site) takeUp(random *rand.Rand, begun *trackedRequest, got amrsite.Response) {
	if begun.request.Route != amrsite.ResumableStreamRoute {
		return
	}
	last := 0
	for n := range maxTakeUps {
		events := strings.Count(got.Body, "\n\n")
		if got.Status != http.StatusOK || got.Err == nil || events == 0 {
			return
		}
		last += events
		request := begun.request
		request.ID = fmt.Sprintf("%s-again-%d", begun.request.ID, n+1)
		request.Resumes, request.LastEventID = begun.request.ID, strconv.Itoa(last)
		got = s.takeUpOnce(random, request)
	}
}

// takeUpOnce sends the request that takes a stream up. It tries again if no router accepts the
// connection, as after a kill of all routers.
func (s *site) takeUpOnce(random *rand.Rand, request amrsite.Request) amrsite.Response {
	id := request.ID
	for i, begin := 1, s.clock.Now(); s.clock.Since(begin) < takeUpTime; i++ {
		request.ID = fmt.Sprintf("%s-%d", id, i)
		if _, answer := s.sendTracked(s.pickRouter(random), request); answer.Status != 0 {
			return answer
		}
		s.clock.Sleep(takeUpInterval)
	}
	return amrsite.Response{}
}

// leaveDelay is the time from the departure of the engines of one software version until
// all routers are killed. It is long enough for the routers to hear of the departure.
const leaveDelay = 300 * time.Millisecond

// killAllMixed kills all routers at once while engines of two software versions serve.
// For half of the faults, the engines of one version leave just before, so that routers
// which start know only the other version.
func (s *site) killAllMixed(f fault) error {
	if f.FaultyRequests%2 == 0 {
		return s.killAll(f.Length)
	}
	version := softwareVersions[f.Server%len(softwareVersions)]
	for _, b := range s.servers {
		if b.Model != "" && b.entry.Version == version {
			s.drain(b)
		}
	}
	s.clock.Sleep(leaveDelay)
	err := s.killAll(f.Length)
	s.clock.Sleep(defaultTimeLimits.drain)
	for _, b := range s.servers {
		if b.Model != "" && b.entry.Version == version {
			s.restartServer(b)
		}
	}
	return err
}

// recordSoftware records the version of a server's software.
func (c *Checker) recordSoftware(server, version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.software[server] = version
}

// engineRun is a run of a stream at an engine, with the software that the engine had then.
type engineRun struct {
	server   string
	software string
	goesOn   bool // The engine went on with the stream.
}

// checkSoftware checks that all servers that went on with a stream had the software
// version of the one that began it. The caller must hold c.mu.
func (c *Checker) checkSoftware(tracked *trackedRequest, a amrsite.Response) {
	if a.Status != http.StatusOK || tracked.request.Route != amrsite.ResumableStreamRoute || !strings.Contains(a.Body, "\n\n") {
		return
	}
	if tracked.begunAt == "" {
		tracked.begunAt = c.softwareOf(tracked, amrsite.ServerOfStamp(a.Stamp))
		if begun := c.requests[tracked.request.Resumes]; begun != nil {
			tracked.begunAt = begun.begunAt
		}
	}
	for _, run := range tracked.engineRuns {
		if run.goesOn && run.software != tracked.begunAt {
			c.report("streams keep their software version", "%s began at %s and went on at %s with %s", tracked.request.ID, tracked.begunAt, run.server, run.software)
		}
	}
}

// softwareOf returns the software that the server had when it ran the request. The caller
// must hold c.mu.
func (c *Checker) softwareOf(tracked *trackedRequest, server string) string {
	for _, run := range tracked.engineRuns {
		if run.server == server {
			return run.software
		}
	}
	return c.software[server]
}

// checkEvents checks that the caller of a stream that broke off got its events in order, none
// twice and none left out. Whole answers are compared as a whole. The caller must hold c.mu.
func (c *Checker) checkEvents(tracked *trackedRequest, a amrsite.Response) {
	if a.Status != http.StatusOK || a.Err == nil || !tracked.request.Stream() || tracked.request.Flood > 0 {
		return
	}
	last, _ := strconv.Atoi(tracked.request.LastEventID) // 0 for a new stream.
	whole := strings.TrimPrefix(amrsite.StreamBody(c.streamEvents), amrsite.StreamBody(last))
	events := a.Body[:strings.LastIndex("\n\n"+a.Body, "\n\n")] // It may have broken off inside an event.
	if !strings.HasPrefix(whole, events) {
		c.report("events in order", "%s after event %d got from %q: %q", tracked.request.ID, last, a.Stamp, a.Body)
	}
}

// countTakenUp counts the answer to a request that takes a stream up, or begins one, and
// whose router was not disturbed. Requests that servers have rejected, or that were sent
// beside extra load, do not count: too few servers have room then, perhaps of one software
// version only. The caller must hold c.mu.
func (c *Checker) countTakenUp(tracked *trackedRequest, a amrsite.Response) {
	if tracked.request.Route != amrsite.ResumableStreamRoute || tracked.request.CrashingPart() != "" || tracked.rejected {
		return
	}
	if !c.disturbances.undisturbed(extraLoad, tracked.sent.Add(-c.timeLimits.settle), c.clock.Now()) {
		return
	}
	counts := &c.newStreams
	if tracked.request.LastEventID != "" {
		counts = &c.takenUp
	}
	counts.count(a)
}

// served counts requests and those of them that were served.
type served struct {
	all, served int
}

// count counts a request for a stream with the answer.
func (s *served) count(a amrsite.Response) {
	s.all++
	if a.Status == http.StatusOK && strings.Contains(a.Body, "\n\n") {
		s.served++
	}
}

// share returns the share of the requests that were served.
func (s served) share() float64 {
	return float64(s.served) / float64(max(1, s.all))
}

// checkTakenUp checks that streams which callers take up go on at least half as often as
// new streams begin.
func (c *Checker) checkTakenUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.takenUp.all >= minTakenUp && c.takenUp.share() < c.newStreams.share()/2 {
		c.report("streams go on", "%d of %d streams that callers took up went on, and %d of %d new ones began", c.takenUp.served, c.takenUp.all, c.newStreams.served, c.newStreams.all)
	}
}
