package amrorder

import "time"

// Fence is a sidecar's check of the orders for its backend server. It admits
// one order at a time, and only an order whose fencing token is the highest
// that the table service has granted at the time of the check. A lease holder
// that was paused and lost its lease is therefore rejected even if its
// successor has not sent an order to this sidecar yet, and a restarted sidecar
// needs no stored state. It is not safe for concurrent use.
type Fence struct {
	settledAt time.Time
	floors    map[string]uint64 // Highest fencing token seen, by deployment.
	pending   *pendingOrder
}

// pendingOrder is the order that is being checked or executed.
type pendingOrder struct {
	id        uint64
	order     Order
	executing bool // The backend server is executing the order.
}

// The kinds of orders that a backend server executes.
const (
	KindLoadWeights = "load-weights"
	KindLoadAdapter = "load-adapter"
	KindSetRole     = "set-role"
)

// Order is a command for a backend server, sent by the holder of the order
// lease of its deployment.
type Order struct {
	Kind       string
	Value      string // Argument of the command, such as the weights to load.
	Deployment string
	Fence      uint64 // Fencing token of the lease under which the order is sent.
	Holder     string // Name of the lease holder.
}

// NewFence returns a Fence that rejects all orders as busy until the settle
// time has passed. The settle time must be long enough for any order that the
// previous sidecar process sent to the backend server to have ended.
func NewFence(now time.Time, settle time.Duration) *Fence {
	return &Fence{settledAt: now.Add(settle), floors: make(map[string]uint64)}
}

// Floor returns the lowest fencing token that this sidecar still accepts in
// orders for the deployment. It is 0 until the sidecar has read the lease.
func (f *Fence) Floor(deployment string) uint64 {
	return f.floors[deployment]
}

// FenceEvent is an input of Fence.Apply: an OrderReceived, a FloorRead or an
// OrderExecuted. The ID of an event identifies the order; the caller assigns a
// new one to each order that it receives.
type FenceEvent interface {
	fenceEvent()
}

// OrderReceived reports that an order has arrived at the sidecar.
type OrderReceived struct {
	ID    uint64
	Order Order
}

// FloorRead is the result of a ReadFloor action.
type FloorRead struct {
	ID    uint64
	Floor uint64
	Err   error
}

// OrderExecuted reports that the backend server executed an order, or failed to
// if Err is not nil.
type OrderExecuted struct {
	ID  uint64
	Err error
}

func (OrderReceived) fenceEvent() {}
func (FloorRead) fenceEvent()     {}
func (OrderExecuted) fenceEvent() {}

// FenceAction is an action that Fence asks its caller to perform: a ReadFloor,
// an ExecuteOrder or an AnswerOrder.
type FenceAction interface {
	fenceAction()
}

// ReadFloor requests the fencing token in the order lease of the deployment.
// The read must begin after the action was returned, because an earlier value
// could predate the loss of the sender's lease. The result is reported with
// FloorRead.
type ReadFloor struct {
	ID         uint64
	Deployment string
}

// ExecuteOrder requests that the order be sent to the backend server. The result
// is reported with OrderExecuted.
type ExecuteOrder struct {
	ID    uint64
	Order Order
}

// AnswerOrder requests that the reply be sent to the sender of the order. The
// order has ended.
type AnswerOrder struct {
	ID      uint64
	Outcome Outcome
	Floor   uint64 // Lowest fencing token that is still accepted.
	Message string // Reason for the outcome; empty on success.
}

func (ReadFloor) fenceAction()    {}
func (ExecuteOrder) fenceAction() {}
func (AnswerOrder) fenceAction()  {}

// Outcome is the result of an order.
type Outcome string

// The outcomes of an order. Only orders that are done or failed have been sent
// to the backend server.
const (
	OutcomeDone         Outcome = "done"          // The backend server executed the order.
	OutcomeStaleFence   Outcome = "stale-fence"   // A later fencing token has been granted.
	OutcomeFloorUnknown Outcome = "floor-unknown" // The lease was unreadable or never had the order's token.
	OutcomeBusy         Outcome = "busy"          // The sidecar has just started or has another order in progress.
	OutcomeFailed       Outcome = "failed"        // The order could not be executed.
)

// Apply processes an event that occurred at time now. It returns the action
// that the caller must perform, or nil if there is none. It ignores a FloorRead
// or OrderExecuted for an order that is not pending.
func (f *Fence) Apply(now time.Time, event FenceEvent) FenceAction {
	switch e := event.(type) {
	case OrderReceived:
		return f.receive(now, e)
	case FloorRead:
		if f.pending == nil || f.pending.id != e.ID || f.pending.executing {
			return nil
		}
		return f.checkFence(e)
	case OrderExecuted:
		if f.pending == nil || f.pending.id != e.ID {
			return nil
		}
		if e.Err != nil {
			return f.finish(OutcomeFailed, e.Err.Error())
		}
		return f.finish(OutcomeDone, "")
	}
	return nil
}

// receive rejects the order, or makes it the pending one and asks for the
// current fencing token.
func (f *Fence) receive(now time.Time, e OrderReceived) FenceAction {
	floor := f.floors[e.Order.Deployment]
	rejection := AnswerOrder{ID: e.ID, Floor: floor}
	switch {
	case e.Order.Fence < floor:
		rejection.Outcome = OutcomeStaleFence
		rejection.Message = "a later holder of the lease has given orders: read the lease again"
		return rejection
	case now.Before(f.settledAt):
		rejection.Outcome = OutcomeBusy
		rejection.Message = "the sidecar has just started: try again after a pause"
		return rejection
	case f.pending != nil:
		rejection.Outcome = OutcomeBusy
		rejection.Message = "another order is being carried out: try again after a pause"
		return rejection
	}
	f.pending = &pendingOrder{id: e.ID, order: e.Order}
	return ReadFloor{ID: e.ID, Deployment: e.Order.Deployment}
}

// checkFence compares the token of the pending order with the one that was
// read from the lease. A token above the lease's cannot have been granted.
func (f *Fence) checkFence(e FloorRead) FenceAction {
	order := f.pending.order
	if e.Err != nil {
		return f.finish(OutcomeFloorUnknown, "the lease cannot be read: try again when the table service is back")
	}
	f.floors[order.Deployment] = max(f.floors[order.Deployment], e.Floor)
	switch {
	case order.Fence < f.floors[order.Deployment]:
		return f.finish(OutcomeStaleFence, "the lease has another holder: read the lease again")
	case order.Fence > e.Floor:
		return f.finish(OutcomeFloorUnknown, "the lease was never granted under this number: read the lease again")
	}
	f.pending.executing = true
	return ExecuteOrder{ID: e.ID, Order: order}
}

// finish ends the pending order and returns the reply to its sender.
func (f *Fence) finish(outcome Outcome, message string) FenceAction {
	action := AnswerOrder{
		ID:      f.pending.id,
		Outcome: outcome,
		Floor:   f.floors[f.pending.order.Deployment],
		Message: message,
	}
	f.pending = nil
	return action
}
