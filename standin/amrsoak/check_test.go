package amrsoak

import (
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/standin/amrsite"
)

// scene is a check on a fake clock with a request that was sent.
type scene struct {
	*Check
	clock *clockwork.FakeClock
	found *record
}

func newScene(route, key string) *scene {
	clock := clockwork.NewFakeClock()
	s := &scene{Check: newCheck(clock, standardBounds, &troubles{}, 2), clock: clock}
	clock.Advance(time.Minute)
	s.send(route, key)
	return s
}

func (s *scene) send(route, key string) {
	s.found = s.sending(amrsite.Request{ID: "r", Route: route, Key: key, Deadline: deadline}, "router-1")
}

func (s *scene) run(server string) {
	s.ran(amrsite.Run{ID: "r", Server: server, Header: http.Header{
		amrsite.TeamHeader: {amrsite.Team}, amrsite.DeadlineHeader: {strconv.FormatInt(deadline.Milliseconds(), 10)},
	}})
}

func (s *scene) answer(status int, stamp, body string) {
	s.ended(s.found, amrsite.Response{Status: status, Stamp: stamp, Body: body}, nil)
}

// TestCheck plays what breaks each promise, and beside it what looks like it
// and does not.
func TestCheck(t *testing.T) {
	const (
		stamp = "stamp-of-a"
		whole = "the whole answer of a"
	)
	for _, c := range []struct {
		name    string
		route   string
		key     string
		promise string // The one that is broken; empty for none.
		play    func(s *scene)
	}{
		{"answered", amrsite.Once, steadyKey, "", func(s *scene) { s.run("a"); s.answer(200, stamp, whole) }},
		{"run twice", amrsite.Once, steadyKey, "at most once", func(s *scene) { s.run("a"); s.run("b") }},
		{"idempotent run twice", amrsite.Find, steadyKey, "", func(s *scene) { s.run("a"); s.run("b") }},
		{"refused and had run", amrsite.Once, steadyKey, "refused means not run", func(s *scene) { s.run("a"); s.answer(503, "", "") }},
		{"refused and runs", amrsite.Tag, steadyKey, "refused means not run", func(s *scene) { s.answer(503, "", ""); s.run("a") }},
		{"no promise and had run", amrsite.Once, steadyKey, "", func(s *scene) { s.run("a"); s.answer(502, "", "") }},
		{"cut answer that looks whole", amrsite.Find, steadyKey, "whole answers", func(s *scene) { s.run("a"); s.answer(200, stamp, whole[:9]) }},
		{"another server's answer", amrsite.Find, steadyKey, "whole answers", func(s *scene) { s.run("a"); s.answer(200, "stamp-of-b", whole) }},
		{"piece twice", amrsite.Reply, steadyKey, "whole answers", func(s *scene) {
			s.run("a")
			s.answer(200, stamp, amrsite.Stream(1)+amrsite.Stream(2))
		}},
		{"success out of nothing", amrsite.Find, steadyKey, "whole answers", func(s *scene) { s.answer(200, stamp, whole) }},
		{"no answer", amrsite.Find, steadyKey, "an answer", func(s *scene) { s.run("a"); s.ended(s.found, amrsite.Response{}, errors.New("reset")) }},
		{"no answer while the router is killed", amrsite.Find, steadyKey, "", func(s *scene) {
			s.run("a")
			s.troubles.begin("router-1", s.clock.Now())
			s.clock.Advance(time.Millisecond)
			s.ended(s.found, amrsite.Response{}, errors.New("reset"))
		}},
		{"late", amrsite.Find, steadyKey, "an answer in time", func(s *scene) { s.clock.Advance(3 * time.Second); s.answer(504, "", "") }},
		{"allowed and refused", amrsite.Find, steadyKey, "allowed requests", func(s *scene) { s.answer(401, "", "") }},
		{"allowed and not found", amrsite.Find, steadyKey, "allowed requests", func(s *scene) { s.answer(404, "", "") }},
		{"revoked long ago and runs", amrsite.Find, revocableKey, "records in force in time", func(s *scene) {
			s.keyChanged(false)
			s.clock.Advance(3 * time.Second)
			s.send(amrsite.Find, revocableKey)
			s.clock.Advance(time.Millisecond)
			s.run("a")
		}},
		{"revoked just now and runs", amrsite.Find, revocableKey, "", func(s *scene) {
			s.keyChanged(false)
			s.clock.Advance(time.Second)
			s.send(amrsite.Find, revocableKey)
			s.clock.Advance(time.Millisecond)
			s.run("a")
		}},
		{"leaving long ago", amrsite.Find, steadyKey, "leaving servers", func(s *scene) {
			s.left("a", true)
			s.clock.Advance(3 * time.Second)
			s.send(amrsite.Find, steadyKey)
			s.clock.Advance(time.Millisecond)
			s.run("a")
		}},
		{"nobody sent it", amrsite.Find, steadyKey, "unasked", func(s *scene) { s.ran(amrsite.Run{ID: "other"}) }},
		{"more time than is left", amrsite.Find, steadyKey, "deadlines", func(s *scene) {
			s.ran(amrsite.Run{ID: "r", Header: http.Header{amrsite.TeamHeader: {amrsite.Team}, amrsite.DeadlineHeader: {"9000"}}})
		}},
		{"the key is handed on", amrsite.Find, steadyKey, "keys", func(s *scene) {
			s.ran(amrsite.Run{ID: "r", Header: http.Header{amrsite.TeamHeader: {amrsite.Team}, amrsite.DeadlineHeader: {"900"}, amrsite.KeyHeader: {"k1"}}})
		}},
		{"a poison that is not stopped", amrsite.Find, steadyKey, "requests that break servers", func(s *scene) {
			s.found.request.Poison = "p"
			for range poisonStrikes + poisonRetries + 1 {
				s.run("a")
				s.clock.Advance(4 * time.Second)
				s.found.sent = s.clock.Now()
			}
		}},
		{"two holders with one fence", amrsite.Find, steadyKey, "one holder", func(s *scene) {
			s.checkOrders("e", []amrsite.Order{{Holder: "a", Fence: 1, At: s.clock.Now()}, {Holder: "b", Fence: 1, At: s.clock.Now().Add(time.Minute)}})
		}},
		{"a lower fence", amrsite.Find, steadyKey, "one holder", func(s *scene) {
			s.checkOrders("e", []amrsite.Order{{Holder: "a", Fence: 2, At: s.clock.Now()}, {Holder: "a", Fence: 1, At: s.clock.Now().Add(time.Minute)}})
		}},
		{"holders take turns soon", amrsite.Find, steadyKey, "one holder", func(s *scene) {
			s.checkOrders("e", []amrsite.Order{{Holder: "a", Fence: 1, At: s.clock.Now()}, {Holder: "b", Fence: 2, At: s.clock.Now().Add(time.Second)}})
		}},
		{"holders take turns", amrsite.Find, steadyKey, "", func(s *scene) {
			s.checkOrders("e", []amrsite.Order{{Holder: "a", Fence: 1, At: s.clock.Now()}, {Holder: "b", Fence: 2, At: s.clock.Now().Add(time.Minute)}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScene(c.route, c.key)
			c.play(s)
			var want []string
			if c.promise != "" {
				want = []string{c.promise}
			}
			is.Equal(Result{Findings: s.Findings()}.promises(), want)
		})
	}
}
