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

// The model runs the real cores of routers and sidecars over a table and
// connections whose every interleaving and fault is explored, up to a budget
// of faults.

const (
	modelServers = 2
	maxStates    = 1_000_000
)

var modelDeadline = time.Unix(100, 0)

// budget is the number of faults of each kind that may still happen.
type budget struct {
	lost        int // Answers to writes lost after the write took effect.
	late        int // Writes that take effect after their caller was told unknown.
	refused     int // Calls of the table refused.
	restarts    int // Restarts of the sidecar of server 0.
	cuts        int // Connections to sidecars cut.
	unreachable int // Seals that get no answer.
	engineFails int // Runs that give no answer.
	crashes     int // Routers that stop.
	seals       int // Seals that come before the claim was dispatched.
	declines    int // Dispatches declined for load.
	ticks       int // Steps of the sidecars' clocks, each the length of a window.
}

// flaw is a mechanism broken on purpose, to show that the model notices.
type flaw string

const (
	flawForgetSeals      flaw = "sidecars forget seals"
	flawIgnoreWindow     flaw = "sidecars forget claims and ignore the window"
	flawTrustRestart     flaw = "another incarnation counts as never ran"
	flawUnknownMeansDone flaw = "an unknown write counts as written"
	flawNoCheck          flaw = "rows are written without a check"
	flawRedispatch       flaw = "a lost connection is dispatched again"
)

// world is one state of the model.
type world struct {
	flaw     flaw
	left     budget
	row      Row
	version  uint64
	pending  []WriteRow // Writes that may still take effect.
	clock    time.Duration
	sidecars [modelServers]modelSidecar
	callers  []caller
	runs     []string // Tokens of the claims that ran.
	trail    *trail
}

// trail is how the world came about.
type trail struct {
	before *trail
	step   string
	event  Event
}

// String returns the steps in order, one a line.
func (t *trail) String() string {
	if t == nil {
		return ""
	}
	if t.event != nil {
		return fmt.Sprintf("%s    %T%+v\n", t.before, t.event, t.event)
	}
	return fmt.Sprintf("%s%s\n", t.before, t.step)
}

type modelSidecar struct {
	process int
	claims  *Claims
	running []string
}

// caller is one request at one router.
type caller struct {
	execution Execution
	started   bool
	after     int    // Starts only after the caller of this index has ended; -1 for any time.
	action    Action // Not carried out yet.
	waiting   string // Token whose dispatch has given no reply yet.
	end       Action
	dead      bool
	runsAtOp  int // Runs at its last call of the table.
}

func newWorld(left budget, afters ...int) world {
	w := world{left: left}
	for s := range w.sidecars {
		w.sidecars[s].claims = NewClaims(incarnation(s, 0))
	}
	for i, after := range afters {
		w.callers = append(w.callers, caller{after: after, execution: NewExecution(Request{
			RowKey: "claim/k", RequestID: fmt.Sprint("r", i), Digest: "d", Token: fmt.Sprint("t", i), Deadline: modelDeadline,
		})})
	}
	return w
}

func incarnation(server, process int) string {
	return fmt.Sprintf("s%d-%d", server, process)
}

// clone copies what the next step may change.
func (w world) clone() world {
	w.pending = slices.Clone(w.pending)
	w.callers = slices.Clone(w.callers)
	w.runs = slices.Clone(w.runs)
	for s := range w.sidecars {
		w.sidecars[s].running = slices.Clone(w.sidecars[s].running)
		w.sidecars[s].claims = cloneClaims(w.sidecars[s].claims)
	}
	return w
}

func cloneClaims(c *Claims) *Claims {
	n := *c
	n.order, n.records = list.New(), make(map[string]*list.Element)
	for e := c.order.Front(); e != nil; e = e.Next() {
		r := *e.Value.(*record)
		n.add(&r)
	}
	return &n
}

var seed = maphash.MakeSeed()

// key identifies the state, its history aside.
func (w world) key() uint64 {
	sum := hashOf(0, w.left)
	sum = hashOf(sum, w.row)
	sum = hashOf(sum, w.version)
	sum = hashOf(sum, w.clock)
	for _, write := range w.pending {
		sum = hashOf(sum, write)
	}
	for _, c := range w.callers {
		sum = hashOf(hashOf(sum, c), fmt.Sprintf("%T %T", c.action, c.end)) // Hashes leave out the types of empty structs.
	}
	for _, s := range w.sidecars {
		sum = hashOf(sum, s.process)
		for _, token := range slices.Concat(s.running, []string{"runs"}, w.runs) {
			sum = hashOf(sum, token)
		}
		for e := s.claims.order.Front(); e != nil; e = e.Next() {
			sum = hashOf(sum, *e.Value.(*record))
		}
	}
	return sum
}

// hashOf returns the hash of v behind that of what came before.
func hashOf[T comparable](before uint64, v T) uint64 {
	return maphash.Comparable(seed, struct {
		before uint64
		v      T
	}{before, v})
}

// explore visits every state that can be reached and returns the first
// violation with the steps that lead to it.
func explore(first world) (states int, err error) {
	seen := make(map[uint64]struct{})
	stack := []world{first}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, next := range w.successors() {
			if err := next.check(); err != nil {
				return len(seen), fmt.Errorf("%w after:\n%s", err, next.trail)
			}
			key := next.key()
			if _, ok := seen[key]; ok {
				continue
			}
			seen[key] = struct{}{}
			stack = append(stack, next)
		}
		if len(seen) > maxStates {
			return len(seen), errors.New("more states than the model allows")
		}
	}
	return len(seen), nil
}

// check returns an error when a promise is broken.
func (w world) check() error {
	if len(w.runs) > 1 {
		return fmt.Errorf("the request ran %d times", len(w.runs))
	}
	for i, c := range w.callers {
		switch end := c.end.(type) {
		case Answered:
			if len(w.runs) != 1 || string(end.Answer.Body) != w.runs[0] {
				return fmt.Errorf("caller %d got an answer of no run", i)
			}
		case Refused:
			if err := w.checkRefusal(c, end); err != nil {
				return fmt.Errorf("caller %d: %w", i, err)
			}
		}
	}
	return nil
}

func (w world) checkRefusal(c caller, end Refused) error {
	own := slices.ContainsFunc(w.runs, func(token string) bool {
		return strings.HasPrefix(token, c.execution.request.Token+".")
	})
	switch {
	case end.Reason == amrreason.Internal:
		return errors.New("internal error")
	case end.Ran == amrreason.NotRun && own:
		return errors.New("told not-run, but it ran")
	case end.Ran == amrreason.NotRun && c.runsAtOp > 0:
		return errors.New("told not-run of a key that had run")
	case end.Ran == amrreason.DidRun && len(w.runs) == 0:
		return errors.New("told ran, but it did not")
	}
	return nil
}

// step returns the world after f changed it.
func (w world) step(name string, f func(*world)) world {
	next := w.clone()
	next.trail = &trail{before: w.trail, step: name}
	f(&next)
	return next
}

var answers sync.Map // Of *Answer by token.

// answerOf returns the same pointer for the same token, as state keys hold it.
func answerOf(token string) *Answer {
	answer, _ := answers.LoadOrStore(token, &Answer{Body: []byte(token)})
	return answer.(*Answer)
}

func (w world) successors() []world {
	var next []world
	for i, c := range w.callers {
		if c.dead || c.end != nil {
			continue
		}
		switch {
		case !c.started && (c.after < 0 || w.callers[c.after].end != nil || w.callers[c.after].dead):
			next = append(next, w.step(fmt.Sprint(i, " starts"), func(w *world) {
				w.callers[i].started = true
				w.feed(i, Begun{})
			}))
		case c.action != nil:
			next = append(next, w.perform(i)...)
		}
		if c.started && w.left.crashes > 0 {
			next = append(next, w.step(fmt.Sprint(i, " router stops"), func(w *world) {
				w.left.crashes--
				if write, ok := w.callers[i].action.(WriteRow); ok {
					w.pending = append(w.pending, write)
				}
				w.callers[i] = caller{execution: c.execution, started: true, dead: true}
			}))
		}
	}
	return append(next, w.surroundings()...)
}

// feed gives the event to a caller's execution.
func (w *world) feed(i int, event Event) {
	c := &w.callers[i]
	now := modelDeadline.Add(-time.Second)
	if c.execution.pauses >= 3 {
		now = modelDeadline
	}
	if f, ok := event.(WriteFailed); ok && f.Failure == WriteUnknown && w.flaw == flawUnknownMeansDone {
		event = Written{}
	}
	if _, ok := event.(ConnectionLost); ok && w.flaw == flawRedispatch {
		c.action = Dispatch{Claim: c.execution.row}
		return
	}
	var action Action
	c.execution, action = c.execution.Step(now, event)
	switch action.(type) {
	case Answered, Refused:
		c.end = action
	case Wait:
		w.feed(i, Waited{})
	default:
		c.action = action
	}
}

// reply answers a caller's action. Taking in the answer touches nothing but
// the caller, so that a pause before it equals one before the next action.
func (w *world) reply(i int, event Event) {
	w.callers[i].action = nil
	w.trail = &trail{before: w.trail, event: event}
	w.feed(i, event)
}

// surroundings returns the steps of sidecars, late writes and clocks.
func (w world) surroundings() []world {
	var next []world
	for s, sidecar := range w.sidecars {
		for _, token := range sidecar.running {
			next = append(next, w.step(fmt.Sprint(s, " finishes ", token), func(w *world) {
				w.endRun(s, token, answerOf(token))
			}))
			if w.left.engineFails > 0 {
				next = append(next, w.step(fmt.Sprint(s, " fails ", token), func(w *world) {
					w.left.engineFails--
					w.endRun(s, token, nil)
				}))
			}
		}
	}
	if w.left.restarts > 0 {
		next = append(next, w.step("0 restarts", (*world).restart))
	}
	for p, write := range w.pending {
		next = append(next, w.step(fmt.Sprint("late write of ", write.Row.Token), func(w *world) {
			w.pending = slices.Delete(w.pending, p, p+1)
			w.apply(write)
		}))
	}
	if w.left.ticks > 0 {
		next = append(next, w.step("clocks move", func(w *world) {
			w.left.ticks--
			w.clock += 2
		}))
	}
	return next
}

func (w *world) endRun(s int, token string, answer *Answer) {
	sidecar := &w.sidecars[s]
	sidecar.running = slices.DeleteFunc(sidecar.running, func(t string) bool { return t == token })
	var event Event = Broken{Reason: amrreason.EngineLost}
	if answer != nil {
		sidecar.claims.Finish(token, answer)
		event = Ended{Answer: answer}
	} else {
		sidecar.claims.Fail(token)
	}
	for i := range w.callers {
		if w.callers[i].waiting == token {
			w.callers[i].waiting = ""
			w.reply(i, event)
		}
	}
}

func (w *world) restart() {
	w.left.restarts--
	old := w.sidecars[0]
	w.sidecars[0] = modelSidecar{process: old.process + 1, claims: NewClaims(incarnation(0, old.process+1))}
	for i := range w.callers {
		if slices.Contains(old.running, w.callers[i].waiting) {
			w.callers[i].waiting = ""
			w.reply(i, ConnectionLost{})
		}
	}
}

// apply carries out a write and reports whether its check held.
func (w *world) apply(write WriteRow) bool {
	if write.Version != w.version && w.flaw != flawNoCheck {
		return false
	}
	w.row, w.version = write.Row, w.version+1
	return true
}

// TestModel explores every interleaving of the callers, sidecars and faults.
func TestModel(t *testing.T) {
	scenarios := map[string]world{
		"two-routers-lost-write-and-late-write": newWorld(budget{seals: 1, lost: 1, late: 1}, -1, -1),
		"paused-holder-and-outage":              newWorld(budget{seals: 1, ticks: 1, refused: 1}, -1, -1),
		"restart-and-cut":                       newWorld(budget{seals: 1, restarts: 1, cuts: 1}, -1, -1),
		"restart-and-lost-write":                newWorld(budget{seals: 1, restarts: 1, lost: 1}, -1, -1),
		"router-stops-and-late-write":           newWorld(budget{seals: 1, crashes: 1, late: 1}, -1, -1),
		"engine-fails-and-unreachable":          newWorld(budget{seals: 1, engineFails: 1, unreachable: 1}, -1, -1),
		"declined-and-outage":                   newWorld(budget{seals: 1, declines: 1, refused: 1}, -1, -1),
		"retries-after-the-end":                 newWorld(budget{restarts: 1, lost: 1, cuts: 1, refused: 1}, -1, 0, 1),
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

// TestModelNoticesFlaws shows that the model finds each broken mechanism.
func TestModelNoticesFlaws(t *testing.T) {
	flaws := map[flaw]budget{
		flawForgetSeals:      {},
		flawIgnoreWindow:     {ticks: 1},
		flawTrustRestart:     {restarts: 1},
		flawUnknownMeansDone: {late: 1},
		flawNoCheck:          {},
		flawRedispatch:       {restarts: 1},
	}
	for _, f := range slices.Sorted(maps.Keys(flaws)) {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			left := flaws[f]
			left.seals = 1
			first := newWorld(left, -1, -1)
			first.flaw = f
			_, err := explore(first)
			is := is.New(t)
			is.True(err != nil)
			is.True(!strings.Contains(err.Error(), "more states"))
			t.Log(err)
		})
	}
}
