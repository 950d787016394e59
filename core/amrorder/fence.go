package amrorder

import "time"

// Fence is a sidecar's check of the orders for its backend server. It lets one
// order through at a time, and only one whose fencing number is the highest
// that the table service has granted at the time of the check. So a holder
// that was paused and lost its lease can do nothing, whether or not its
// successor has given an order here, and a restarted sidecar needs no memory.
// Fence is not safe for concurrent use.
type Fence struct {
	settledAt time.Time
	floors    map[string]uint64 // Highest fencing number seen, by deployment.
	pending   *pendingOrder
}

// pendingOrder is the order that is being checked or carried out.
type pendingOrder struct {
	id       uint64
	order    Order
	carrying bool
}

// The kinds of orders.
const (
	KindLoadWeights = "load-weights"
	KindLoadAdapter = "load-adapter"
	KindSetRole     = "set-role"
)

// Order is an order to the backend server.
type Order struct {
	Kind       string
	Value      string
	Deployment string
	Fence      uint64
	Holder     string
}

// NewFence returns a Fence that takes no order until the settle time has
// passed: an order that the sidecar's process before sent to the backend
// server has ended by then.
func NewFence(now time.Time, settle time.Duration) *Fence {
	return &Fence{settledAt: now.Add(settle), floors: make(map[string]uint64)}
}

// Floor returns the lowest fencing number that the deployment's orders need,
// as far as the sidecar knows.
func (f *Fence) Floor(deployment string) uint64 {
	return f.floors[deployment]
}

// FenceEvent is something that Fence takes in: an OrderReceived, FloorRead or
// OrderCarried. Each names the order by the number its receiver gave it.
type FenceEvent interface {
	fenceEvent()
}

// OrderReceived says that an order has come in.
type OrderReceived struct {
	ID    uint64
	Order Order
}

// FloorRead is the outcome of a ReadFloor.
type FloorRead struct {
	ID    uint64
	Floor uint64
	Err   error
}

// OrderCarried says that the backend server answered an order.
type OrderCarried struct {
	ID  uint64
	Err error
}

func (OrderReceived) fenceEvent() {}
func (FloorRead) fenceEvent()     {}
func (OrderCarried) fenceEvent()  {}

// FenceAction is something that Fence wants done: a ReadFloor, CarryOrder or
// AnswerOrder.
type FenceAction interface {
	fenceAction()
}

// ReadFloor asks for the fencing number in the lease's item of the deployment,
// read after this moment.
type ReadFloor struct {
	ID         uint64
	Deployment string
}

// CarryOrder asks to pass the order on to the backend server.
type CarryOrder struct {
	ID    uint64
	Order Order
}

// AnswerOrder asks to answer the giver of the order.
type AnswerOrder struct {
	ID      uint64
	Outcome Outcome
	Floor   uint64
	Message string
}

func (ReadFloor) fenceAction()   {}
func (CarryOrder) fenceAction()  {}
func (AnswerOrder) fenceAction() {}

// Outcome says what became of an order.
type Outcome string

// The outcomes of an order. Only Done and Failed orders reached the backend
// server.
const (
	Done         Outcome = "done"
	StaleFence   Outcome = "stale-fence"
	FloorUnknown Outcome = "floor-unknown"
	Busy         Outcome = "busy"
	FailedOrder  Outcome = "failed"
)

// Apply takes in an event and returns what is to be done, or nil.
func (f *Fence) Apply(now time.Time, event FenceEvent) FenceAction {
	switch e := event.(type) {
	case OrderReceived:
		return f.receive(now, e)
	case FloorRead:
		if f.pending == nil || f.pending.id != e.ID || f.pending.carrying {
			return nil
		}
		return f.check(e)
	case OrderCarried:
		if f.pending == nil || f.pending.id != e.ID {
			return nil
		}
		if e.Err != nil {
			return f.answer(FailedOrder, e.Err.Error())
		}
		return f.answer(Done, "")
	}
	return nil
}

func (f *Fence) receive(now time.Time, e OrderReceived) FenceAction {
	floor := f.floors[e.Order.Deployment]
	refuse := AnswerOrder{ID: e.ID, Floor: floor}
	switch {
	case e.Order.Fence < floor:
		refuse.Outcome = StaleFence
		refuse.Message = "a later holder of the lease has given orders: read the lease again"
		return refuse
	case now.Before(f.settledAt):
		refuse.Outcome = Busy
		refuse.Message = "the sidecar has just started: try again after a pause"
		return refuse
	case f.pending != nil:
		refuse.Outcome = Busy
		refuse.Message = "another order is being carried out: try again after a pause"
		return refuse
	}
	f.pending = &pendingOrder{id: e.ID, order: e.Order}
	return ReadFloor{ID: e.ID, Deployment: e.Order.Deployment}
}

func (f *Fence) check(e FloorRead) FenceAction {
	order := f.pending.order
	if e.Err != nil {
		return f.answer(FloorUnknown, "the lease cannot be read: try again when the table service is back")
	}
	f.floors[order.Deployment] = max(f.floors[order.Deployment], e.Floor)
	switch {
	case order.Fence < f.floors[order.Deployment]:
		return f.answer(StaleFence, "the lease has another holder: read the lease again")
	case order.Fence > e.Floor:
		return f.answer(FloorUnknown, "the lease was never granted under this number: read the lease again")
	}
	f.pending.carrying = true
	return CarryOrder{ID: e.ID, Order: order}
}

// answer ends the pending order.
func (f *Fence) answer(outcome Outcome, message string) FenceAction {
	action := AnswerOrder{
		ID:      f.pending.id,
		Outcome: outcome,
		Floor:   f.floors[f.pending.order.Deployment],
		Message: message,
	}
	f.pending = nil
	return action
}
