package amrledger

import (
	"container/list"
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrreason"
)

// This file is a model checker. It runs Execution and Claims, the state machines
// of routers and sidecars, on a simulated table and simulated connections, and
// visits every state that can be reached by interleaving their steps and
// injecting faults. A budget limits the number of faults of each kind.

const (
	modelServers   = 2
	maxModelStates = 1_000_000
)

var modelDeadline = time.Unix(100, 0)

// budget is the number of times that each kind of fault may still occur.
type budget struct {
	lostAnswers   int // Writes that take effect but whose answer is lost.
	delayedWrites int // Writes that take effect after their caller got WriteUnknown.
	refusals      int // Table calls that are refused.
	restarts      int // Restarts of the sidecar of server 0.
	cuts          int // Connections to sidecars that fail during a dispatch.
	unreachable   int // Seal requests that get no answer.
	engineFails   int // Runs that fail without an answer.
	crashes       int // Routers that stop.
	seals         int // Seal requests that arrive before the claim and seal it.
	declines      int // Dispatches that a sidecar declines because it is overloaded.
	ticks         int // Advances of the sidecars' clocks, each by more than a dispatch window.
}

// flaw names a safety mechanism that is disabled on purpose, to check that the
// model detects its absence.
type flaw string

const (
	flawForgetSeals      flaw = "sidecars forget seals"
	flawIgnoreWindow     flaw = "sidecars forget claims and ignore the window"
	flawTrustRestart     flaw = "another incarnation counts as never ran"
	flawUnknownMeansDone flaw = "an unknown write counts as written"
	flawNoCheck          flaw = "rows are written without a check"
	flawRedispatch       flaw = "a lost connection is dispatched again"
)

// modelState is one state of the model.
type modelState struct {
	flaw      flaw
	remaining budget
	row       Row
	version   uint64
	pending   []WriteRow // Writes that may still take effect although their caller does not wait for them.
	clock     time.Duration
	sidecars  [modelServers]modelSidecar
	callers   []caller
	runs      []string // Tokens of the claims that ran.
	history   *history
}

// history is the sequence of transitions and events that led to a state, as a
// linked list.
type history struct {
	previous   *history
	transition string
	event      Event
}

// String returns the transitions and events in order, one on each line.
func (h *history) String() string {
	if h == nil {
		return ""
	}
	if h.event != nil {
		return fmt.Sprintf("%s    %T%+v\n", h.previous, h.event, h.event)
	}
	return fmt.Sprintf("%s%s\n", h.previous, h.transition)
}

type modelSidecar struct {
	process int // Number of restarts.
	claims  *Claims
	running []string // Tokens of the claims that are running.
}

// caller is one request, handled by a router of its own.
type caller struct {
	execution        Execution
	started          bool
	after            int    // Index of the caller that must end before this one starts, or -1.
	action           Action // Next action, not carried out yet.
	waiting          string // Token of the claim whose dispatch has no result yet.
	result           Action // Answered or Refused, once it has ended.
	crashed          bool   // Its router has stopped.
	runsAtLastAccess int    // Number of runs when it last accessed the table.
}

// newModelState returns the initial state with one caller for each element of
// afters. The element is the index of the caller that must end before this one
// starts, or -1.
func newModelState(remaining budget, afters ...int) modelState {
	m := modelState{remaining: remaining}
	for s := range m.sidecars {
		m.sidecars[s].claims = NewClaims(incarnation(s, 0))
	}
	for i, after := range afters {
		m.callers = append(m.callers, caller{after: after, execution: NewExecution(Request{
			RowKey: "claim/k", RequestID: fmt.Sprint("r", i), Digest: "d", Token: fmt.Sprint("t", i), Deadline: modelDeadline,
		})})
	}
	return m
}

func incarnation(server, process int) string {
	return fmt.Sprintf("s%d-%d", server, process)
}

// clone returns a copy of all parts of the state that a transition may change.
func (m modelState) clone() modelState {
	m.pending = slices.Clone(m.pending)
	m.callers = slices.Clone(m.callers)
	m.runs = slices.Clone(m.runs)
	for s := range m.sidecars {
		m.sidecars[s].running = slices.Clone(m.sidecars[s].running)
		m.sidecars[s].claims = cloneClaims(m.sidecars[s].claims)
	}
	return m
}

// cloneClaims returns a copy of the claims that shares their answers.
func cloneClaims(c *Claims) *Claims {
	n := *c
	n.byAge, n.records = list.New(), make(map[string]*list.Element)
	for e := c.byAge.Front(); e != nil; e = e.Next() {
		r := *e.Value.(*claimRecord)
		n.add(&r)
	}
	return &n
}

var seed = maphash.MakeSeed()

// key returns a hash that identifies the state regardless of its history.
func (m modelState) key() uint64 {
	sum := hashOf(0, m.remaining)
	sum = hashOf(sum, m.row)
	sum = hashOf(sum, m.version)
	sum = hashOf(sum, m.clock)
	for _, write := range m.pending {
		sum = hashOf(sum, write)
	}
	for _, c := range m.callers {
		sum = hashOf(hashOf(sum, c), fmt.Sprintf("%T %T", c.action, c.result)) // maphash.Comparable does not distinguish the types of empty structs.
	}
	for _, s := range m.sidecars {
		sum = hashOf(sum, s.process)
		for _, token := range slices.Concat(s.running, []string{"runs"}, m.runs) {
			sum = hashOf(sum, token)
		}
		for e := s.claims.byAge.Front(); e != nil; e = e.Next() {
			sum = hashOf(sum, *e.Value.(*claimRecord))
		}
	}
	return sum
}

// hashOf returns a hash of v combined with the hash of the values before it.
func hashOf[T comparable](before uint64, v T) uint64 {
	return maphash.Comparable(seed, struct {
		before uint64
		v      T
	}{before, v})
}

// explore visits every state that can be reached from the first one and returns
// their number. It stops at the first state that violates an invariant, and
// returns an error with the transitions that lead to it.
func explore(first modelState) (states int, err error) {
	seen := make(map[uint64]struct{})
	stack := []modelState{first}
	for len(stack) > 0 {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, next := range m.nextStates() {
			if err := next.checkInvariants(); err != nil {
				return len(seen), fmt.Errorf("%w after:\n%s", err, next.history)
			}
			key := next.key()
			if _, ok := seen[key]; ok {
				continue
			}
			seen[key] = struct{}{}
			stack = append(stack, next)
		}
		if len(seen) > maxModelStates {
			return len(seen), errors.New("more states than the model allows")
		}
	}
	return len(seen), nil
}

// checkInvariants returns an error if the request ran more than once, or if a
// caller got an answer that no run gave or a refusal that is not true.
func (m modelState) checkInvariants() error {
	if len(m.runs) > 1 {
		return fmt.Errorf("the request ran %d times", len(m.runs))
	}
	for i, c := range m.callers {
		switch result := c.result.(type) {
		case Answered:
			if len(m.runs) != 1 || string(result.Answer.Body) != m.runs[0] {
				return fmt.Errorf("caller %d got an answer that no run gave", i)
			}
		case Refused:
			if err := m.checkRefusal(c, result); err != nil {
				return fmt.Errorf("caller %d: %w", i, err)
			}
		}
	}
	return nil
}

func (m modelState) checkRefusal(c caller, result Refused) error {
	ownRan := slices.ContainsFunc(m.runs, func(token string) bool {
		return strings.HasPrefix(token, c.execution.request.Token+".")
	})
	switch {
	case result.Reason == amrreason.Internal:
		return errors.New("got an internal error")
	case result.Ran == amrreason.NotRun && ownRan:
		return errors.New("got a not-run refusal, but its claim ran")
	case result.Ran == amrreason.NotRun && c.runsAtLastAccess > 0:
		return errors.New("got a not-run refusal, but another claim on the key had run before")
	case result.Ran == amrreason.DidRun && len(m.runs) == 0:
		return errors.New("got a refusal saying that the request ran, but no claim ran")
	}
	return nil
}

// transition returns a copy of the state that f has changed, with the name added
// to its history.
func (m modelState) transition(name string, f func(*modelState)) modelState {
	next := m.clone()
	next.history = &history{previous: m.history, transition: name}
	f(&next)
	return next
}

var answers sync.Map // Of *Answer by token.

// answerOf returns the answer of a claim. It returns the same pointer for the
// same token, because the pointer is hashed into the keys of states.
func answerOf(token string) *Answer {
	answer, _ := answers.LoadOrStore(token, &Answer{Body: []byte(token)})
	return answer.(*Answer)
}

// nextStates returns the states that one transition can lead to.
func (m modelState) nextStates() []modelState {
	var next []modelState
	for i, c := range m.callers {
		if c.crashed || c.result != nil {
			continue
		}
		switch {
		case !c.started && (c.after < 0 || m.callers[c.after].result != nil || m.callers[c.after].crashed):
			next = append(next, m.transition(fmt.Sprint(i, " starts"), func(m *modelState) {
				m.callers[i].started = true
				m.deliver(i, Begun{})
			}))
		case c.action != nil:
			next = append(next, m.perform(i)...)
		}
		if c.started && m.remaining.crashes > 0 {
			next = append(next, m.transition(fmt.Sprint(i, " router stops"), func(m *modelState) {
				m.remaining.crashes--
				if write, ok := m.callers[i].action.(WriteRow); ok {
					m.pending = append(m.pending, write)
				}
				m.callers[i] = caller{execution: c.execution, started: true, crashed: true}
			}))
		}
	}
	return append(next, m.environmentSteps()...)
}

// deliver passes the event to the execution of the caller and stores its next
// action. After three pauses, the request's deadline has passed.
func (m *modelState) deliver(i int, event Event) {
	c := &m.callers[i]
	now := modelDeadline.Add(-time.Second)
	if c.execution.pauses >= 3 {
		now = modelDeadline
	}
	if f, ok := event.(WriteFailed); ok && f.Failure == WriteUnknown && m.flaw == flawUnknownMeansDone {
		event = Written{}
	}
	if _, ok := event.(ConnectionLost); ok && m.flaw == flawRedispatch {
		c.action = Dispatch{Claim: c.execution.row}
		return
	}
	var action Action
	c.execution, action = c.execution.Step(now, event)
	switch action.(type) {
	case Answered, Refused:
		c.result = action
	case Wait:
		m.deliver(i, Waited{})
	default:
		c.action = action
	}
}

// reply delivers the result of the caller's action in the same transition. The
// event changes nothing but the caller, so a delay before it is equivalent to a
// delay before the caller's next action and need not be explored.
func (m *modelState) reply(i int, event Event) {
	m.callers[i].action = nil
	m.history = &history{previous: m.history, event: event}
	m.deliver(i, event)
}

// environmentSteps returns the states after one step of a sidecar, of a delayed
// write or of the clocks.
func (m modelState) environmentSteps() []modelState {
	var next []modelState
	for s, sidecar := range m.sidecars {
		for _, token := range sidecar.running {
			next = append(next, m.transition(fmt.Sprint(s, " finishes ", token), func(m *modelState) {
				m.endRun(s, token, answerOf(token))
			}))
			if m.remaining.engineFails > 0 {
				next = append(next, m.transition(fmt.Sprint(s, " fails ", token), func(m *modelState) {
					m.remaining.engineFails--
					m.endRun(s, token, nil)
				}))
			}
		}
	}
	if m.remaining.restarts > 0 {
		next = append(next, m.transition("0 restarts", (*modelState).restart))
	}
	for p, write := range m.pending {
		next = append(next, m.transition(fmt.Sprint("late write of ", write.Row.Token), func(m *modelState) {
			m.pending = slices.Delete(m.pending, p, p+1)
			m.apply(write)
		}))
	}
	if m.remaining.ticks > 0 {
		next = append(next, m.transition("clocks move", func(m *modelState) {
			m.remaining.ticks--
			m.clock += 2
		}))
	}
	return next
}

// endRun ends the run of a claim with the answer, or without one if it is nil.
func (m *modelState) endRun(s int, token string, answer *Answer) {
	sidecar := &m.sidecars[s]
	sidecar.running = slices.DeleteFunc(sidecar.running, func(t string) bool { return t == token })
	var event Event = Interrupted{Reason: amrreason.EngineLost}
	if answer != nil {
		sidecar.claims.Finish(token, answer)
		event = Completed{Answer: answer}
	} else {
		sidecar.claims.Fail(token)
	}
	for i := range m.callers {
		if m.callers[i].waiting == token {
			m.callers[i].waiting = ""
			m.reply(i, event)
		}
	}
}

// restart replaces the process of the sidecar of server 0. The connections of
// its running dispatches are lost.
func (m *modelState) restart() {
	m.remaining.restarts--
	old := m.sidecars[0]
	m.sidecars[0] = modelSidecar{process: old.process + 1, claims: NewClaims(incarnation(0, old.process+1))}
	for i := range m.callers {
		if slices.Contains(old.running, m.callers[i].waiting) {
			m.callers[i].waiting = ""
			m.reply(i, ConnectionLost{})
		}
	}
}

// apply carries out a write if the row is at the expected version, and reports
// whether it did.
func (m *modelState) apply(write WriteRow) bool {
	if write.Version != m.version && m.flaw != flawNoCheck {
		return false
	}
	m.row, m.version = write.Row, m.version+1
	return true
}

// TestModel checks that no interleaving of requests with the same key, sidecar
// steps and faults runs a request twice or returns a wrong answer or refusal.
func TestModel(t *testing.T) {
	scenarios := map[string]modelState{
		"two-routers-lost-write-and-late-write": newModelState(budget{seals: 1, lostAnswers: 1, delayedWrites: 1}, -1, -1),
		"paused-holder-and-outage":              newModelState(budget{seals: 1, ticks: 1, refusals: 1}, -1, -1),
		"restart-and-cut":                       newModelState(budget{seals: 1, restarts: 1, cuts: 1}, -1, -1),
		"restart-and-lost-write":                newModelState(budget{seals: 1, restarts: 1, lostAnswers: 1}, -1, -1),
		"router-stops-and-late-write":           newModelState(budget{seals: 1, crashes: 1, delayedWrites: 1}, -1, -1),
		"engine-fails-and-unreachable":          newModelState(budget{seals: 1, engineFails: 1, unreachable: 1}, -1, -1),
		"declined-and-outage":                   newModelState(budget{seals: 1, declines: 1, refusals: 1}, -1, -1),
		"retries-after-the-end":                 newModelState(budget{restarts: 1, lostAnswers: 1, cuts: 1, refusals: 1}, -1, 0, 1),
	}
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, err := explore(scenarios[name])
			is.New(t).NoErr(err)
			t.Log(states, "states")
		})
	}
}

// TestModelNoticesFlaws checks that the model finds a violation for each safety
// mechanism that is disabled. Otherwise TestModel would prove nothing about that
// mechanism.
func TestModelNoticesFlaws(t *testing.T) {
	flaws := map[flaw]budget{
		flawForgetSeals:      {},
		flawIgnoreWindow:     {ticks: 1},
		flawTrustRestart:     {restarts: 1},
		flawUnknownMeansDone: {delayedWrites: 1},
		flawNoCheck:          {},
		flawRedispatch:       {restarts: 1},
	}
	for _, f := range slices.Sorted(maps.Keys(flaws)) {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			remaining := flaws[f]
			remaining.seals = 1
			first := newModelState(remaining, -1, -1)
			first.flaw = f
			_, err := explore(first)
			is := is.New(t)
			is.True(err != nil)
			is.True(!strings.Contains(err.Error(), "more states"))
			t.Log(err)
		})
	}
}
