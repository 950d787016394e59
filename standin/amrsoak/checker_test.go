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

// checkerTest is a Checker with a fake clock and the request that was sent last,
// with the ID "r".
type checkerTest struct {
	*Checker
	clock   *clockwork.FakeClock
	tracked *trackedRequest
}

// newCheckerTest returns a checkerTest whose request was sent a minute after the
// Checker was created, for the route and with the key.
func newCheckerTest(route, key string) *checkerTest {
	clock := clockwork.NewFakeClock()
	s := &checkerTest{Checker: newChecker(clock, defaultTimeLimits, &disturbances{}, 2), clock: clock}
	clock.Advance(time.Minute)
	s.send(route, key)
	return s
}

// send records that the request is sent to router-1.
func (s *checkerTest) send(route, key string) {
	s.tracked = s.recordSend(amrsite.Request{ID: "r", Route: route, Key: key, Timeout: requestTimeout}, "router-1")
}

// run checks a run of the request at the server.
func (s *checkerTest) run(server string) {
	s.checkRun(amrsite.Run{ID: s.tracked.request.ID, Server: server, Header: http.Header{
		amrsite.TeamHeader: {teamOfKey(s.tracked.request.Key)}, amrsite.DeadlineHeader: {strconv.FormatInt(requestTimeout.Milliseconds(), 10)},
	}})
}

// runOften checks n runs of the request after the delay.
func (s *checkerTest) runOften(n int, delay time.Duration) {
	s.clock.Advance(delay)
	for range n {
		s.run("a")
	}
}

// runAfterWeights checks a run of a request that is sent after the delay from the declaration of
// newer weights.
func (s *checkerTest) runAfterWeights(delay time.Duration, route string) {
	s.recordWeights(2)
	s.clock.Advance(delay)
	s.send(route, permanentKey)
	s.run("a")
}

// answer checks an answer to the request.
func (s *checkerTest) answer(status int, stamp, body string) {
	s.checkAnswer(s.tracked, amrsite.Response{Status: status, Stamp: stamp, Body: body}, nil)
}

// TestChecker checks that the Checker reports each kind of violation, and that it
// does not report similar behavior that the promises allow.
func TestChecker(t *testing.T) {
	const (
		stamp = "stamp-of-a"
		whole = "the whole answer of a"
	)
	for _, c := range []struct {
		name    string
		route   string
		key     string
		promise string               // Name of the promise that is broken; empty for none.
		actions func(s *checkerTest) // Events after the request was sent.
	}{
		{"complete answer", amrsite.NonIdempotentRoute, permanentKey, "", func(s *checkerTest) { s.run("a"); s.answer(200, stamp, whole) }},
		{"non-idempotent request runs twice", amrsite.NonIdempotentRoute, permanentKey, "at most once", func(s *checkerTest) { s.run("a"); s.run("b") }},
		{"quota exceeded", amrsite.IdempotentRoute, limitedKey, "quotas of teams", func(s *checkerTest) { s.runOften(maxQuotaRuns()+1, 0) }},
		{"quota used up", amrsite.IdempotentRoute, limitedKey, "", func(s *checkerTest) {
			s.runOften(maxQuotaRuns(), 0)
			s.clock.Advance(quotaWindow + 1)
			s.send(amrsite.IdempotentRoute, limitedKey)
			s.runOften(1, 0)
		}},
		{"runs of requests that were held back", amrsite.IdempotentRoute, limitedKey, "", func(s *checkerTest) { s.runOften(maxQuotaRuns()+1, quotaWindow+1) }},
		{"idempotent request runs twice", amrsite.IdempotentRoute, permanentKey, "", func(s *checkerTest) { s.run("a"); s.run("b") }},
		{"refused after it ran", amrsite.NonIdempotentRoute, permanentKey, "refused means not run", func(s *checkerTest) { s.run("a"); s.answer(503, "", "") }},
		{"runs after it was refused", amrsite.StreamRoute, permanentKey, "refused means not run", func(s *checkerTest) { s.answer(503, "", ""); s.run("a") }},
		{"failure status without a promise after it ran", amrsite.NonIdempotentRoute, permanentKey, "", func(s *checkerTest) { s.run("a"); s.answer(502, "", "") }},
		{"truncated answer", amrsite.IdempotentRoute, permanentKey, "complete answers", func(s *checkerTest) { s.run("a"); s.answer(200, stamp, whole[:9]) }},
		{"answer of another server", amrsite.IdempotentRoute, permanentKey, "complete answers", func(s *checkerTest) { s.run("a"); s.answer(200, "stamp-of-b", whole) }},
		{"repeated part of a stream", amrsite.ResumableStreamRoute, permanentKey, "complete answers", func(s *checkerTest) {
			s.run("a")
			s.answer(200, stamp, amrsite.StreamBody(1)+amrsite.StreamBody(2))
		}},
		{"successful answer without a run", amrsite.IdempotentRoute, permanentKey, "complete answers", func(s *checkerTest) { s.answer(200, stamp, whole) }},
		{"no answer", amrsite.IdempotentRoute, permanentKey, "an answer", func(s *checkerTest) { s.run("a"); s.checkAnswer(s.tracked, amrsite.Response{}, errors.New("reset")) }},
		{"no answer while the router is killed", amrsite.IdempotentRoute, permanentKey, "", func(s *checkerTest) {
			s.run("a")
			s.disturbances.begin("router-1", s.clock.Now())
			s.clock.Advance(time.Millisecond)
			s.checkAnswer(s.tracked, amrsite.Response{}, errors.New("reset"))
		}},
		{"answer after the deadline", amrsite.IdempotentRoute, permanentKey, "an answer in time", func(s *checkerTest) { s.clock.Advance(3 * time.Second); s.answer(504, "", "") }},
		{"valid key refused", amrsite.IdempotentRoute, permanentKey, "allowed requests", func(s *checkerTest) { s.answer(401, "", "") }},
		{"existing route not found", amrsite.IdempotentRoute, permanentKey, "allowed requests", func(s *checkerTest) { s.answer(404, "", "") }},
		{"runs long after its key was revoked", amrsite.IdempotentRoute, revocableKey, "records in force in time", func(s *checkerTest) {
			s.recordKeyChange(false)
			s.clock.Advance(3 * time.Second)
			s.send(amrsite.IdempotentRoute, revocableKey)
			s.clock.Advance(time.Millisecond)
			s.run("a")
		}},
		{"runs shortly after its key was revoked", amrsite.IdempotentRoute, revocableKey, "", func(s *checkerTest) {
			s.recordKeyChange(false)
			s.clock.Advance(time.Second)
			s.send(amrsite.IdempotentRoute, revocableKey)
			s.clock.Advance(time.Millisecond)
			s.run("a")
		}},
		{"runs at a server that began to drain long ago", amrsite.IdempotentRoute, permanentKey, "no requests to draining servers", func(s *checkerTest) {
			s.recordDraining("a", true)
			s.clock.Advance(3 * time.Second)
			s.send(amrsite.IdempotentRoute, permanentKey)
			s.clock.Advance(time.Millisecond)
			s.run("a")
		}},
		{"begins on weights that were replaced long ago", amrsite.StreamRoute, permanentKey, "declared weights in time", func(s *checkerTest) { s.runAfterWeights(9*time.Second, amrsite.StreamRoute) }},
		{"begins on weights that were replaced just now", amrsite.StreamRoute, permanentKey, "", func(s *checkerTest) { s.runAfterWeights(7*time.Second, amrsite.StreamRoute) }},
		{"runs at a plain service, which has no weights", amrsite.IdempotentRoute, permanentKey, "", func(s *checkerTest) { s.runAfterWeights(9*time.Second, amrsite.IdempotentRoute) }},
		{"begins on old weights after a fault of a link", amrsite.StreamRoute, permanentKey, "", func(s *checkerTest) {
			s.disturbances.begin(linkFaults, s.clock.Now())(s.clock.Now().Add(2 * time.Second))
			s.runAfterWeights(9*time.Second, amrsite.StreamRoute)
		}},
		{"begins on old weights, sent by a router that was stopping", amrsite.StreamRoute, permanentKey, "", func(s *checkerTest) {
			s.disturbances.begin(gonePrefix+"router-1", s.clock.Now())(s.clock.Now().Add(8 * time.Second))
			s.runAfterWeights(9*time.Second, amrsite.StreamRoute)
		}},
		{"run of a request that was not sent", amrsite.IdempotentRoute, permanentKey, "only sent requests", func(s *checkerTest) { s.checkRun(amrsite.Run{ID: "other"}) }},
		{"deadline later than that of the caller", amrsite.IdempotentRoute, permanentKey, "deadlines", func(s *checkerTest) {
			s.checkRun(amrsite.Run{ID: "r", Header: http.Header{amrsite.TeamHeader: {teamOfKey(s.tracked.request.Key)}, amrsite.DeadlineHeader: {"9000"}}})
		}},
		{"key forwarded to the server", amrsite.IdempotentRoute, permanentKey, "keys", func(s *checkerTest) {
			s.checkRun(amrsite.Run{ID: "r", Header: http.Header{amrsite.TeamHeader: {teamOfKey(s.tracked.request.Key)}, amrsite.DeadlineHeader: {"900"}, amrsite.KeyHeader: {"k1"}}})
		}},
		{"poison request that is not quarantined", amrsite.IdempotentRoute, permanentKey, "quarantine", func(s *checkerTest) {
			s.tracked.request.Poison = "p"
			for range quarantineCrashes + maxLateRuns + 1 {
				s.run("a")
				s.clock.Advance(4 * time.Second)
				s.tracked.sent = s.clock.Now()
			}
		}},
		{"part that crashes servers and is not quarantined", amrsite.ResumableStreamRoute, permanentKey, "quarantine", func(s *checkerTest) {
			s.tracked.request.PromptParts = "1:800," + amrsite.CrashingPart + "1:410,2:250"
			for range partCrashes + maxLateRuns + 1 {
				s.run("a")
				s.clock.Advance(4 * time.Second)
				s.tracked.sent = s.clock.Now()
			}
		}},
		{"two holders with the same fence", amrsite.IdempotentRoute, permanentKey, "one holder", func(s *checkerTest) {
			s.checkOrders("e", []amrsite.Order{{Holder: "a", Fence: 1, At: s.clock.Now()}, {Holder: "b", Fence: 1, At: s.clock.Now().Add(time.Minute)}})
		}},
		{"decreasing fence", amrsite.IdempotentRoute, permanentKey, "one holder", func(s *checkerTest) {
			s.checkOrders("e", []amrsite.Order{{Holder: "a", Fence: 2, At: s.clock.Now()}, {Holder: "a", Fence: 1, At: s.clock.Now().Add(time.Minute)}})
		}},
		{"new holder before the handover time", amrsite.IdempotentRoute, permanentKey, "one holder", func(s *checkerTest) {
			s.checkOrders("e", []amrsite.Order{{Holder: "a", Fence: 1, At: s.clock.Now()}, {Holder: "b", Fence: 2, At: s.clock.Now().Add(time.Second)}})
		}},
		{"new holder after the handover time", amrsite.IdempotentRoute, permanentKey, "", func(s *checkerTest) {
			s.checkOrders("e", []amrsite.Order{{Holder: "a", Fence: 1, At: s.clock.Now()}, {Holder: "b", Fence: 2, At: s.clock.Now().Add(time.Minute)}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newCheckerTest(c.route, c.key)
			c.actions(s)
			var want []string
			if c.promise != "" {
				want = []string{c.promise}
			}
			is.Equal(Result{Violations: s.Violations()}.brokenPromises(), want)
		})
	}
}
