package amrsoak

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/standin/amrsite"
)

// TestCheckLimits checks that the Checker reports a server which gets more requests than
// its limit allows from routers that it has told, and none that gets what is allowed or
// whose requests come from routers that were not told, or were disturbed.
func TestCheckLimits(t *testing.T) {
	const perSecond = 2
	for _, c := range []struct {
		name   string
		pause  time.Duration // Between two requests.
		told   bool
		killed bool
		broken bool
	}{
		{"too many", 100 * time.Millisecond, true, false, true},
		{"allowed", 400 * time.Millisecond, true, false, false},
		{"not told", 100 * time.Millisecond, false, false, false},
		{"killed", 100 * time.Millisecond, true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newCheckerTest(amrsite.IdempotentRoute, permanentKey)
			s.recordLimit("a", perSecond)
			if c.killed {
				s.disturbances.begin("router-1", s.clock.Now())(s.clock.Now().Add(time.Second))
			}
			for range int(20 * time.Second / c.pause) {
				s.send(amrsite.IdempotentRoute, permanentKey)
				s.run("a")
				if c.told {
					s.answer(200, "stamp-of-a", "the whole answer of a")
				}
				s.clock.Advance(c.pause)
			}
			is.Equal(len(s.Violations()) > 0, c.broken)
		})
	}
}

// TestCheckSoftware checks that the Checker reports streams that go on at another software
// version than the one that began them, within one answer and where callers take them up.
func TestCheckSoftware(t *testing.T) {
	for _, c := range []struct {
		inAnswer, takenUpAt string // Servers that go on with the stream; empty for none.
		broken              bool
	}{
		{"", "", false}, {"b", "", false}, {"c", "", true}, {"", "b", false}, {"b", "a", false}, {"", "c", true}, {"b", "c", true},
		{"a renewed", "", true}, {"", "a renewed", true}, {"b", "a renewed", true},
	} {
		t.Run(fmt.Sprint(c.inAnswer, "-", c.takenUpAt), func(t *testing.T) {
			is := is.New(t)
			s := newCheckerTest(amrsite.ResumableStreamRoute, permanentKey)
			for server, version := range map[string]string{"a": "v1", "b": "v1", "c": "v1.1"} {
				s.recordSoftware(server, version)
			}
			run := func(server string) {
				server, renewed := strings.CutSuffix(server, " renewed")
				if renewed {
					s.recordSoftware(server, "v1.1") // It has started again under its name.
				}
				s.run(server)
				s.tracked.engineRuns[len(s.tracked.engineRuns)-1].goesOn = true
			}
			s.run("a")
			if c.inAnswer != "" {
				run(c.inAnswer)
			}
			s.checkAnswer(s.tracked, amrsite.Response{Status: 200, Stamp: "stamp-of-a", Body: amrsite.StreamBody(1), Err: errors.New("cut")}, nil)
			if c.takenUpAt != "" {
				begun := s.tracked
				s.tracked = s.recordSend(amrsite.Request{ID: "r2", Route: amrsite.ResumableStreamRoute, Key: permanentKey, Timeout: requestTimeout, Resumes: begun.request.ID, LastEventID: "1"}, "router-2")
				run(c.takenUpAt)
				s.answer(200, "stamp-of-"+strings.TrimSuffix(c.takenUpAt, " renewed"), "id: 2\ndata: token\n\n")
			}
			is.Equal(len(s.Violations()) > 0, c.broken)
		})
	}
}

// TestCheckEvents checks that the Checker reports streams with events that are missing, come
// twice or are out of order, also if the answer has broken off inside an event.
func TestCheckEvents(t *testing.T) {
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: token\n\n", id) }
	for _, c := range []struct {
		last   string
		body   string
		broken bool
	}{
		{"", "", false},
		{"", event(1) + event(2), false},
		{"", event(1) + "id: 2\nda", false},
		{"", "id: 1\nda", false},
		{"1", event(2), false},
		{"", event(2), true},
		{"", event(1) + event(3), true},
		{"", event(1) + event(1), true},
		{"", event(2) + event(1), true},
		{"1", event(1) + event(2), true},
		{"1", event(3), true},
		{"", event(1) + "id: 2\nda" + event(2), true},
	} {
		t.Run(fmt.Sprintf("%s %q", c.last, c.body), func(t *testing.T) {
			is := is.New(t)
			s := newCheckerTest(amrsite.ResumableStreamRoute, permanentKey)
			s.tracked = s.recordSend(amrsite.Request{ID: "r2", Route: amrsite.ResumableStreamRoute, Key: permanentKey, Timeout: requestTimeout, LastEventID: c.last}, "router-1")
			s.run("a")
			s.checkAnswer(s.tracked, amrsite.Response{Status: 200, Stamp: "stamp-of-a", Body: c.body, Err: errors.New("cut")}, nil)
			is.Equal(len(s.Violations()) > 0, c.broken)
		})
	}
}

// TestCheckTakenUp checks that the Checker reports routers which refuse streams that callers
// take up, and not those whose servers reject them.
func TestCheckTakenUp(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		t.Run(fmt.Sprint("rejected=", rejected), func(t *testing.T) {
			is := is.New(t)
			s := newCheckerTest(amrsite.ResumableStreamRoute, permanentKey)
			for range minTakenUp {
				s.send(amrsite.ResumableStreamRoute, permanentKey)
				s.run("a")
				s.answer(200, "stamp-of-a", amrsite.StreamBody(2))
				s.tracked = s.recordSend(amrsite.Request{ID: "r2", Route: amrsite.ResumableStreamRoute, Key: permanentKey, Resumes: "r", LastEventID: "1"}, "router-1")
				if rejected {
					s.checkRejection("a", "r2", "")
				}
				s.answer(503, "", "")
			}
			s.checkTakenUp()
			is.Equal(len(s.Violations()) == 0, rejected)
		})
	}
}
