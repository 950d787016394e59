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

// TestOrderLeaseModel walks all interleavings of two routers that want the
// lease of a deployment, the table service and one sidecar before an engine
// that does not check orders, with one lost write answer, one write that
// arrives late and one restart of the sidecar. A paused holder is an order that
// is on its way for any length of time. It checks that
//   - an order that was stale when it reached the sidecar is never carried out,
//   - the engine never sees an older order after a newer one,
//   - no two routers hold the lease under one fencing number or at one time.
func TestOrderLeaseModel(t *testing.T) {
	tests := []struct {
		name    string
		first   world
		carried int // Orders that some way must carry out, so that the cases are reached.
	}{
		{"lease", newWorld(world{timeLeft: 3, loseLeft: 1, lateLeft: 1}, 0), 0},
		{"orders and a restart", newWorld(world{timeLeft: 3, restarts: 1}, 1).held(), 2},
		{"orders and a lost answer", newWorld(world{timeLeft: 3, loseLeft: 1}, 1).held(), 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			states, carried := explore(t, test.first)
			t.Logf("%d states", states)
			if carried < test.carried {
				t.Fatalf("at most %d orders were carried out, want %d", carried, test.carried)
			}
		})
	}
}

// explore walks all states that can be reached from the first.
func explore(t *testing.T, first world) (states, carried int) {
	visited := map[xxh3.Uint128]bool{first.key(): true}
	stack := []world{first}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, next := range w.steps() {
			if next.violation != "" {
				t.Fatalf("%s:\n%s", next.violation, next.trace)
			}
			if key := next.key(); !visited[key] {
				visited[key] = true
				stack = append(stack, next)
				carried = max(carried, next.carried)
			}
		}
	}
	return len(visited), carried
}

const (
	modelTTL    = 2 * time.Second
	modelStep   = time.Second
	modelSettle = time.Second
)

// world is a state of the model. Slices and pointers in it are not shared
// between worlds once they change.
type world struct {
	now       time.Time
	timeLeft  int
	item      amrplatform.Item
	routers   [2]router
	late      *amrplatform.Txn // A write whose answer was lost and that arrives later.
	loseLeft  int
	lateLeft  int
	sidecar   sidecar
	restarts  int
	orphan    *modelOrder // An order that the sidecar's process before had sent to the engine.
	highest   uint64      // Highest fencing number that the engine has seen.
	carried   int
	violation string
	trace     *trace
}

// trace is the way to a state, the last step first.
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
	lease  Lease
	asked  LeaseAction // On its way to the table service.
	answer LeaseEvent  // On its way back.
	order  *modelOrder // On its way to the sidecar.
	orders int         // Orders that it may still give.
}

type modelOrder struct {
	id    uint64
	fence uint64
	stale bool // It was stale when it reached the sidecar.
}

type sidecar struct {
	fence  Fence
	asked  bool // A read of the floor is on its way.
	order  *modelOrder
	carry  bool // The order is on its way to the engine.
	nextID uint64
}

// newWorld returns the world with two routers that may give a number of orders.
func newWorld(w world, orders int) world {
	w.now = time.Unix(1000, 0)
	for i := range w.routers {
		w.routers[i] = router{lease: NewLease(w.now.Add(-modelTTL), "m", fmt.Sprintf("router-%d", i), modelTTL), orders: orders}
	}
	w.sidecar.fence = *NewFence(w.now, 0)
	return w
}

// held returns the world after the first router took the lease and the second
// saw it.
func (w world) held() world {
	for i := range w.routers {
		r := &w.routers[i]
		w.apply(r, LeaseTick{})
		w.serveRead(r)
		w.apply(r, r.answer)
		if write, ok := r.asked.(WriteLease); ok {
			r.answer = LeaseWritten{Err: w.commit(write.Txn)}
			w.apply(r, r.answer)
		}
	}
	return w
}

// step returns a copy of the world after f, with a line in its trace.
func (w world) step(name string, f func(w *world)) world {
	w.sidecar.fence = w.sidecar.fence.clone()
	w.trace = &trace{step: name, before: w.trace}
	f(&w)
	return w
}

func (f Fence) clone() Fence {
	f.floors = maps.Clone(f.floors)
	if f.pending != nil {
		pending := *f.pending
		f.pending = &pending
	}
	return f
}

// steps returns all worlds that may come next.
func (w world) steps() []world {
	var next []world
	for i := range w.routers {
		next = append(next, w.routerSteps(i)...)
	}
	next = append(next, w.sidecarSteps()...)
	if w.late != nil {
		next = append(next, w.step("late write arrives", func(w *world) {
			txn := *w.late
			w.late = nil
			_ = w.commit(txn) // A failed check drops it.
		}))
	}
	if w.timeLeft > 0 {
		next = append(next, w.step("time passes", func(w *world) {
			w.timeLeft--
			w.now = w.now.Add(modelStep)
			w.orphan = nil // It has arrived or never will.
			w.checkHolders()
		}))
	}
	return next
}

func (w world) routerSteps(i int) []world {
	var next []world
	add := func(name string, f func(w *world, r *router)) {
		next = append(next, w.step(fmt.Sprintf("router %d: %s", i, name), func(w *world) { f(w, &w.routers[i]) }))
	}
	r := w.routers[i]
	switch asked := r.asked.(type) {
	case ReadLease:
		add("read served", func(w *world, r *router) { w.serveRead(r) })
	case WriteLease:
		add("write served", func(w *world, r *router) {
			r.asked, r.answer = nil, LeaseWritten{Err: w.commit(asked.Txn)}
		})
		if w.lateLeft > 0 && w.late == nil {
			add("answer lost, write late", func(w *world, r *router) {
				w.lateLeft--
				w.late = &asked.Txn
				r.asked, r.answer = nil, LeaseWritten{Err: amrplatform.OutcomeUnknown.New("lost")}
			})
		}
	}
	if r.answer != nil {
		add("answer arrives", func(w *world, r *router) { w.apply(r, r.answer) })
		if written, ok := r.answer.(LeaseWritten); ok && written.Err == nil && w.loseLeft > 0 {
			add("answer lost", func(w *world, r *router) {
				w.loseLeft--
				w.apply(r, LeaseWritten{Err: amrplatform.OutcomeUnknown.New("lost")})
			})
		}
	}
	if r.asked == nil && r.answer == nil && !w.now.Before(r.lease.nextAt) {
		add("tick", func(w *world, r *router) { w.apply(r, LeaseTick{}) })
	}
	if fence, ok := r.lease.Held(w.now); ok && r.order == nil && r.orders > 0 {
		add("gives an order", func(_ *world, r *router) {
			r.orders--
			r.order = &modelOrder{fence: fence}
		})
	}
	if r.order != nil {
		add("order arrives", func(w *world, r *router) { w.receive(r) })
	}
	return next
}

func (w *world) apply(r *router, event LeaseEvent) {
	r.answer = nil
	r.asked = r.lease.Apply(w.now, event)
	w.checkHolders()
}

func (w *world) serveRead(r *router) {
	r.asked = nil
	if w.item.Version == 0 {
		r.answer = LeaseRead{Err: amrplatform.NotFound.New("none")}
		return
	}
	r.answer = LeaseRead{Item: w.item}
}

func (w *world) commit(txn amrplatform.Txn) error {
	if txn.Checks[0].Version != w.item.Version {
		return amrplatform.Conflict.New("changed")
	}
	w.item = amrplatform.Item{Value: txn.Puts[0].Value, Version: w.item.Version + 1}
	return nil
}

func (w *world) checkHolders() {
	a, heldA := w.routers[0].lease.Held(w.now)
	b, heldB := w.routers[1].lease.Held(w.now)
	if heldA && heldB {
		w.violation = fmt.Sprintf("two holders, under %d and %d", a, b)
	}
}

func (w *world) receive(r *router) {
	order := *r.order
	r.order = nil
	w.sidecar.nextID++
	order.id = w.sidecar.nextID
	order.stale = order.fence < LeaseFence(w.item)
	w.act(&order, OrderReceived{ID: order.id, Order: Order{Deployment: "m", Fence: order.fence}})
}

// act passes the event to the sidecar's fence and does what it asks for.
func (w *world) act(order *modelOrder, event FenceEvent) {
	switch w.sidecar.fence.Apply(w.now, event).(type) {
	case ReadFloor:
		w.sidecar.order, w.sidecar.asked = order, true
	case CarryOrder:
		w.sidecar.order, w.sidecar.carry = order, true
	case AnswerOrder:
		if order == w.sidecar.order {
			w.sidecar.order = nil
		}
	}
}

func (w world) sidecarSteps() []world {
	var next []world
	s := w.sidecar
	if s.asked {
		// The answer may be late, but so may the order that follows from it.
		next = append(next, w.step("sidecar: floor read", func(w *world) {
			w.sidecar.asked = false
			w.act(s.order, FloorRead{ID: s.order.id, Floor: LeaseFence(w.item)})
		}))
	}
	if s.carry {
		next = append(next, w.step("engine: order", func(w *world) {
			w.sidecar.carry = false
			w.carry(s.order)
			w.act(s.order, OrderCarried{ID: s.order.id})
		}))
	}
	if w.orphan != nil {
		next = append(next, w.step("engine: order of the sidecar before", func(w *world) {
			w.carry(w.orphan)
			w.orphan = nil
		}))
	}
	if w.restarts > 0 {
		next = append(next, w.step("sidecar: restart", func(w *world) {
			w.restarts--
			if s.carry {
				w.orphan = s.order
			}
			w.sidecar = sidecar{fence: *NewFence(w.now, modelSettle), nextID: s.nextID}
		}))
	}
	return next
}

// carry is the engine's taking of an order.
func (w *world) carry(order *modelOrder) {
	w.carried++
	switch {
	case order.stale:
		w.violation = fmt.Sprintf("an order under %d was carried out that was stale when it came", order.fence)
	case order.fence < w.highest:
		w.violation = fmt.Sprintf("an order under %d was carried out after one under %d", order.fence, w.highest)
	}
	w.highest = max(w.highest, order.fence)
}

// key identifies the state, whatever way led to it. Times that the code can
// not tell apart are the same in it, and versions count by their order only.
func (w world) key() xxh3.Uint128 {
	var versions []uint64
	for _, v := range w.versions() {
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
	k = k.ints(w.timeLeft, w.loseLeft, w.lateLeft, w.restarts, int(w.highest), w.carried)
	k = k.bytes(w.item.Value).flags(w.late != nil)
	if w.late != nil {
		k = k.bytes(w.late.Puts[0].Value)
	}
	for _, r := range w.routers {
		k = k.lease(w.now, r.lease).router(r)
	}
	s := w.sidecar
	k = k.ints(int(max(s.fence.settledAt.Sub(w.now), 0)), int(s.fence.floors["m"]))
	k = k.flags(s.fence.pending != nil, s.asked, s.carry).order(s.order).order(w.orphan)
	return xxh3.Hash128(k)
}

// key is the encoding of a state.
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
	k = k.flags(l.waiting).ints(int(max(l.nextAt.Sub(now), 0)), int(max(l.validUntil.Sub(now), 0)), int(l.fence))
	k = k.bytes(l.seen.Value).ints(int(min(now.Sub(l.seenSince), modelTTL)))
	if l.sentAt.IsZero() {
		return append(k, '-')
	}
	return k.ints(int(min(now.Sub(l.sentAt), modelTTL)))
}

func (k key) router(r router) key {
	switch asked := r.asked.(type) {
	case ReadLease:
		k = append(k, 'r')
	case WriteLease:
		k = append(k, 'w').bytes(asked.Txn.Puts[0].Value)
	}
	switch answer := r.answer.(type) {
	case LeaseRead:
		k = append(k, 'R').bytes(answer.Item.Value)
	case LeaseWritten:
		k = append(k, 'W').flags(answer.Err == nil, errorx.IsOfType(answer.Err, amrplatform.Conflict))
	}
	return k.order(r.order).ints(r.orders)
}

// versions returns the versions in the state, in a fixed order.
func (w world) versions() []*uint64 {
	versions := []*uint64{&w.item.Version}
	if w.late != nil {
		versions = append(versions, &w.late.Checks[0].Version)
	}
	for _, r := range w.routers {
		versions = append(versions, &r.lease.seen.Version, &r.lease.checked)
		if asked, ok := r.asked.(WriteLease); ok {
			versions = append(versions, &asked.Txn.Checks[0].Version)
		}
		if answer, ok := r.answer.(LeaseRead); ok {
			versions = append(versions, &answer.Item.Version)
		}
	}
	return versions
}
