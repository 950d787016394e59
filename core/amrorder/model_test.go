package amrorder

import (
	"encoding/binary"
	"fmt"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrplatform"
)

// TestOrderLeaseModel explores all interleavings of two routers that compete for
// the lease of a deployment, the table service, and a sidecar whose engine does
// not check orders. Each case allows some of these faults: one lost reply to a
// write, one write that is applied late, and one restart of the sidecar. A
// paused holder is modeled by an order that is in flight for an arbitrary time.
// The test checks that
//   - an order that was stale when it reached the sidecar is never executed,
//   - the engine never executes an order with a lower fencing token than an
//     earlier one,
//   - no two routers hold the lease at the same time.
func TestOrderLeaseModel(t *testing.T) {
	tests := []struct {
		name     string
		first    modelState
		executed int // Number of orders that at least one interleaving must execute, so that the check is not vacuous.
	}{
		{"lease", newModel(modelState{ticksLeft: 3, lostRepliesLeft: 1, lateWritesLeft: 1}, 0), 0},
		{"orders and a restart", newModel(modelState{ticksLeft: 3, restartsLeft: 1}, 1).withLeaseHeld(), 2},
		{"orders and a lost reply", newModel(modelState{ticksLeft: 3, lostRepliesLeft: 1}, 1).withLeaseHeld(), 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			states, executed := explore(t, test.first)
			t.Logf("%d states", states)
			if executed < test.executed {
				t.Fatalf("at most %d orders were executed, want %d", executed, test.executed)
			}
		})
	}
}

// explore visits all states that are reachable from the first. It returns their
// number, and the largest number of orders executed in any of them.
func explore(t *testing.T, first modelState) (states, executed int) {
	visited := map[xxh3.Uint128]bool{first.key(): true}
	stack := []modelState{first}
	for len(stack) > 0 {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, next := range m.steps() {
			if next.violation != "" {
				t.Fatalf("%s:\n%s", next.violation, next.trace)
			}
			if key := next.key(); !visited[key] {
				visited[key] = true
				stack = append(stack, next)
				executed = max(executed, next.executed)
			}
		}
	}
	return len(visited), executed
}

const (
	modelTTL    = 2 * time.Second
	modelStep   = time.Second
	modelSettle = time.Second
)

// modelState is a state of the model. A step copies the state; slices, maps and
// the targets of pointers are copied before they are changed.
type modelState struct {
	now             time.Time
	ticksLeft       int // Number of steps by which the time may still advance.
	item            amrplatform.Item
	routers         [2]router
	lateWrite       *amrplatform.Txn // A write that is applied later; its router got an unknown outcome.
	lostRepliesLeft int              // Number of replies to writes that may still be lost.
	lateWritesLeft  int              // Number of writes that may still be applied late.
	sidecar         sidecar
	restartsLeft    int         // Number of times that the sidecar may still restart.
	orphanedOrder   *modelOrder // An order that the previous sidecar process sent to the engine.
	highestFence    uint64      // Highest fencing token that the engine has seen.
	executed        int         // Number of orders that the engine has executed.
	violation       string      // Description of a violated property; empty if there is none.
	trace           *trace
}

// trace is the list of steps that led to a state, the last one first.
type trace struct {
	step   string
	before *trace
}

// String returns the steps in order.
func (t *trace) String() string {
	if t == nil {
		return ""
	}
	return t.before.String() + "\n" + t.step
}

type router struct {
	lease   Lease
	request LeaseAction // In flight to the table service.
	reply   LeaseEvent  // In flight from the table service.
	order   *modelOrder // In flight to the sidecar.
	orders  int         // Number of orders that the router may still send.
}

type modelOrder struct {
	id    uint64
	fence uint64
	stale bool // The order was stale when it reached the sidecar.
}

type sidecar struct {
	orderGuard  OrderGuard
	readPending bool // A read of the lease's fencing token is in flight.
	order       *modelOrder
	execute     bool // The order is in flight to the engine.
	nextID      uint64
}

// newModel completes the initial state. Each of the two routers may send the
// given number of orders.
func newModel(m modelState, orders int) modelState {
	m.now = time.Unix(1000, 0)
	for i := range m.routers {
		m.routers[i] = router{lease: NewLease(m.now.Add(-modelTTL), "m", fmt.Sprintf("router-%d", i), modelTTL), orders: orders}
	}
	m.sidecar.orderGuard = *NewOrderGuard(m.now, 0)
	return m
}

// withLeaseHeld returns the state after the first router has acquired the lease
// and the second has read it.
func (m modelState) withLeaseHeld() modelState {
	for i := range m.routers {
		r := &m.routers[i]
		m.apply(r, LeaseTick{})
		m.serveRead(r)
		m.apply(r, r.reply)
		if write, ok := r.request.(WriteLease); ok {
			r.reply = LeaseWritten{Err: m.commit(write.Txn)}
			m.apply(r, r.reply)
		}
	}
	return m
}

// step returns a copy of the state after the step f, whose name is appended to
// the trace.
func (m modelState) step(name string, f func(m *modelState)) modelState {
	m.sidecar.orderGuard = m.sidecar.orderGuard.clone()
	m.trace = &trace{step: name, before: m.trace}
	f(&m)
	return m
}

// clone returns a copy that shares no memory with g.
func (g OrderGuard) clone() OrderGuard {
	g.floors = maps.Clone(g.floors)
	if g.pending != nil {
		pending := *g.pending
		g.pending = &pending
	}
	return g
}

// steps returns all states that can follow this one.
func (m modelState) steps() []modelState {
	var next []modelState
	for i := range m.routers {
		next = append(next, m.routerSteps(i)...)
	}
	next = append(next, m.sidecarSteps()...)
	if m.lateWrite != nil {
		next = append(next, m.step("late write is applied", func(m *modelState) {
			txn := *m.lateWrite
			m.lateWrite = nil
			_ = m.commit(txn) // It has no effect if the item has changed.
		}))
	}
	if m.ticksLeft > 0 {
		next = append(next, m.step("time passes", func(m *modelState) {
			m.ticksLeft--
			m.now = m.now.Add(modelStep)
			m.orphanedOrder = nil // It has reached the engine by now, or never will.
			m.checkHolders()
		}))
	}
	return next
}

// routerSteps returns the states that a step of router i can lead to.
func (m modelState) routerSteps(i int) []modelState {
	var next []modelState
	add := func(name string, f func(m *modelState, r *router)) {
		next = append(next, m.step(fmt.Sprintf("router %d: %s", i, name), func(m *modelState) { f(m, &m.routers[i]) }))
	}
	r := m.routers[i]
	switch request := r.request.(type) {
	case ReadLease:
		add("read served", func(m *modelState, r *router) { m.serveRead(r) })
	case WriteLease:
		add("write served", func(m *modelState, r *router) {
			r.request, r.reply = nil, LeaseWritten{Err: m.commit(request.Txn)}
		})
		if m.lateWritesLeft > 0 && m.lateWrite == nil {
			add("reply lost, write applied late", func(m *modelState, r *router) {
				m.lateWritesLeft--
				m.lateWrite = &request.Txn
				r.request, r.reply = nil, LeaseWritten{Err: amrplatform.OutcomeUnknown.New("lost")}
			})
		}
	}
	if r.reply != nil {
		add("reply arrives", func(m *modelState, r *router) { m.apply(r, r.reply) })
		if written, ok := r.reply.(LeaseWritten); ok && written.Err == nil && m.lostRepliesLeft > 0 {
			add("reply lost", func(m *modelState, r *router) {
				m.lostRepliesLeft--
				m.apply(r, LeaseWritten{Err: amrplatform.OutcomeUnknown.New("lost")})
			})
		}
	}
	if r.request == nil && r.reply == nil && !m.now.Before(r.lease.nextAt) {
		add("tick", func(m *modelState, r *router) { m.apply(r, LeaseTick{}) })
	}
	if fence, ok := r.lease.Held(m.now); ok && r.order == nil && r.orders > 0 {
		add("sends an order", func(_ *modelState, r *router) {
			r.orders--
			r.order = &modelOrder{fence: fence}
		})
	}
	if r.order != nil {
		add("order arrives", func(m *modelState, r *router) { m.receive(r) })
	}
	return next
}

// apply passes the event to the router's lease, and keeps the action that it
// returns as the request in flight.
func (m *modelState) apply(r *router, event LeaseEvent) {
	r.reply = nil
	r.request = r.lease.Apply(m.now, event)
	m.checkHolders()
}

func (m *modelState) serveRead(r *router) {
	r.request = nil
	if m.item.Version == 0 {
		r.reply = LeaseRead{Err: amrplatform.NotFound.New("none")}
		return
	}
	r.reply = LeaseRead{Item: m.item}
}

func (m *modelState) commit(txn amrplatform.Txn) error {
	if txn.Checks[0].Version != m.item.Version {
		return amrplatform.Conflict.New("changed")
	}
	m.item = amrplatform.Item{Value: txn.Puts[0].Value, Version: m.item.Version + 1}
	return nil
}

// checkHolders records a violation if both routers hold the lease.
func (m *modelState) checkHolders() {
	a, heldA := m.routers[0].lease.Held(m.now)
	b, heldB := m.routers[1].lease.Held(m.now)
	if heldA && heldB {
		m.violation = fmt.Sprintf("two routers hold the lease, with tokens %d and %d", a, b)
	}
}

// receive delivers the order in flight from the router to the sidecar.
func (m *modelState) receive(r *router) {
	order := *r.order
	r.order = nil
	m.sidecar.nextID++
	order.id = m.sidecar.nextID
	order.stale = order.fence < LeaseFence(m.item)
	m.act(&order, OrderReceived{ID: order.id, Order: Order{Deployment: "m", Fence: order.fence}})
}

// act passes the event to the sidecar's check of orders and performs the action
// that it returns.
func (m *modelState) act(order *modelOrder, event OrderGuardEvent) {
	switch m.sidecar.orderGuard.Apply(m.now, event).(type) {
	case ReadFloor:
		m.sidecar.order, m.sidecar.readPending = order, true
	case ExecuteOrder:
		m.sidecar.order, m.sidecar.execute = order, true
	case AnswerOrder:
		if order == m.sidecar.order {
			m.sidecar.order = nil
		}
	}
}

// sidecarSteps returns the states that a step of the sidecar or the engine can
// lead to.
func (m modelState) sidecarSteps() []modelState {
	var next []modelState
	s := m.sidecar
	if s.readPending {
		// The read and its reply are one step: a delay of the reply has the same
		// effect as a delay of the order that is sent to the engine after it.
		next = append(next, m.step("sidecar: lease read", func(m *modelState) {
			m.sidecar.readPending = false
			m.act(s.order, FloorRead{ID: s.order.id, Floor: LeaseFence(m.item)})
		}))
	}
	if s.execute {
		next = append(next, m.step("engine: order executed", func(m *modelState) {
			m.sidecar.execute = false
			m.execute(s.order)
			m.act(s.order, OrderExecuted{ID: s.order.id})
		}))
	}
	if m.orphanedOrder != nil {
		next = append(next, m.step("engine: order of the previous sidecar process executed", func(m *modelState) {
			m.execute(m.orphanedOrder)
			m.orphanedOrder = nil
		}))
	}
	if m.restartsLeft > 0 {
		next = append(next, m.step("sidecar: restart", func(m *modelState) {
			m.restartsLeft--
			if s.execute {
				m.orphanedOrder = s.order
			}
			m.sidecar = sidecar{orderGuard: *NewOrderGuard(m.now, modelSettle), nextID: s.nextID}
		}))
	}
	return next
}

// execute makes the engine execute the order, and records a violation if it
// should have been rejected.
func (m *modelState) execute(order *modelOrder) {
	m.executed++
	switch {
	case order.stale:
		m.violation = fmt.Sprintf("an order with token %d was executed although it was stale on arrival", order.fence)
	case order.fence < m.highestFence:
		m.violation = fmt.Sprintf("an order with token %d was executed after one with token %d", order.fence, m.highestFence)
	}
	m.highestFence = max(m.highestFence, order.fence)
}

// key returns a hash of the state without its trace. States have the same key if
// they differ only in times that the code does not distinguish, or in item
// versions that are in the same order.
func (m modelState) key() xxh3.Uint128 {
	var versions []uint64
	for _, v := range m.versions() {
		versions = append(versions, *v)
	}
	k := make(key, 0, 256)
	for _, v := range versions {
		rank := 0
		for _, other := range versions {
			if other < v {
				rank++
			}
		}
		k = k.ints(rank)
	}
	k = k.ints(m.ticksLeft, m.lostRepliesLeft, m.lateWritesLeft, m.restartsLeft, int(m.highestFence), m.executed)
	k = k.bytes(m.item.Value).flags(m.lateWrite != nil)
	if m.lateWrite != nil {
		k = k.bytes(m.lateWrite.Puts[0].Value)
	}
	for _, r := range m.routers {
		k = k.lease(m.now, r.lease).router(r)
	}
	s := m.sidecar
	k = k.ints(int(max(s.orderGuard.settledAt.Sub(m.now), 0)), int(s.orderGuard.floors["m"]))
	k = k.flags(s.orderGuard.pending != nil, s.readPending, s.execute).order(s.order).order(m.orphanedOrder)
	return xxh3.Hash128(k)
}

// key is the encoding of a state, to which its methods append values.
type key []byte

func (k key) ints(values ...int) key {
	for _, v := range values {
		k = binary.AppendVarint(k, int64(v))
	}
	return k
}

func (k key) flags(flags ...bool) key {
	for _, f := range flags {
		k = strconv.AppendBool(k, f)
	}
	return k
}

func (k key) bytes(b []byte) key {
	return append(k.ints(len(b)), b...)
}

func (k key) order(o *modelOrder) key {
	if o == nil {
		return append(k, '-')
	}
	return k.ints(int(o.fence)).flags(o.stale)
}

func (k key) lease(now time.Time, l Lease) key {
	k = k.flags(l.pending).ints(int(max(l.nextAt.Sub(now), 0)), int(max(l.validUntil.Sub(now), 0)), int(l.fence))
	k = k.bytes(l.observed.Value).ints(int(min(now.Sub(l.observedAt), modelTTL)))
	if l.unresolvedSince.IsZero() {
		return append(k, '-')
	}
	return k.ints(int(min(now.Sub(l.unresolvedSince), modelTTL)))
}

func (k key) router(r router) key {
	switch request := r.request.(type) {
	case ReadLease:
		k = append(k, 'r')
	case WriteLease:
		k = append(k, 'w').bytes(request.Txn.Puts[0].Value)
	}
	switch reply := r.reply.(type) {
	case LeaseRead:
		k = append(k, 'R').bytes(reply.Item.Value)
	case LeaseWritten:
		k = append(k, 'W').flags(reply.Err == nil, errorx.IsOfType(reply.Err, amrplatform.Conflict))
	}
	return k.order(r.order).ints(r.orders)
}

// versions returns pointers to all item versions in the state, in a fixed order.
func (m modelState) versions() []*uint64 {
	versions := []*uint64{&m.item.Version}
	if m.lateWrite != nil {
		versions = append(versions, &m.lateWrite.Checks[0].Version)
	}
	for _, r := range m.routers {
		versions = append(versions, &r.lease.observed.Version, &r.lease.requiredVersion)
		if request, ok := r.request.(WriteLease); ok {
			versions = append(versions, &request.Txn.Checks[0].Version)
		}
		if reply, ok := r.reply.(LeaseRead); ok {
			versions = append(versions, &reply.Item.Version)
		}
	}
	return versions
}
