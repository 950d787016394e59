package amrorder

import "time"

// OrderGuard is a sidecar's check of the orders for its backend server. It
// admits one order at a time, and only an order whose fencing token is the
// highest that the table service has granted at the time of the check. A lease
// holder that was paused and lost its lease is therefore rejected even if its
// successor has not sent an order to this sidecar yet, and a restarted sidecar
// needs no stored state. It is not safe for concurrent use.
type OrderGuard struct {
	settledAt time.Time
	floors    map[string]uint64 // Highest fencing token read from the lease, by deployment.
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

// Order is a command for a backend server, sent by the holder of the rollout
// lease of its deployment.
type Order struct {
	Kind       string
	Value      string // Argument of the command, such as the weights to load.
	Deployment string
	Fence      uint64 // Fencing token of the lease under which the order is sent.
	Holder     string // Name of the lease holder.
}

// NewOrderGuard returns an OrderGuard that rejects all orders as busy until the
// initial delay has passed. The delay must be long enough for any order that
// the previous sidecar process sent to the backend server to have ended.
func NewOrderGuard(now time.Time, initialDelay time.Duration) *OrderGuard {
	return &OrderGuard{settledAt: now.Add(initialDelay), floors: make(map[string]uint64)}
}

// Floor returns the lowest fencing token that this sidecar still accepts in
// orders for the deployment. It is 0 until the sidecar has read the lease.
func (g *OrderGuard) Floor(deployment string) uint64 {
	return g.floors[deployment]
}

// OrderGuardEvent is an input of OrderGuard.Apply: an OrderReceived, a
// FloorRead or an OrderExecuted. The ID of an event identifies the order; the
// caller assigns a new one to each order that it receives.
type OrderGuardEvent interface {
	orderGuardEvent()
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

func (OrderReceived) orderGuardEvent() {}
func (FloorRead) orderGuardEvent()     {}
func (OrderExecuted) orderGuardEvent() {}

// OrderGuardAction is an action that OrderGuard asks its caller to perform: a
// ReadFloor, an ExecuteOrder or an AnswerOrder.
type OrderGuardAction interface {
	orderGuardAction()
}

// ReadFloor requests the fencing token in the rollout lease of the deployment.
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
	Outcome OrderOutcome
	Floor   uint64 // Lowest fencing token that is still accepted.
	Message string // Reason for the outcome; empty on success.
}

func (ReadFloor) orderGuardAction()    {}
func (ExecuteOrder) orderGuardAction() {}
func (AnswerOrder) orderGuardAction()  {}

// OrderOutcome is the result of an order.
type OrderOutcome string

// The outcomes of an order. Only orders that are done or failed have been sent
// to the backend server.
const (
	OutcomeDone         OrderOutcome = "done"          // The backend server executed the order.
	OutcomeStaleFence   OrderOutcome = "stale-fence"   // A later fencing token has been granted.
	OutcomeFloorUnknown OrderOutcome = "floor-unknown" // The lease was unreadable or never had the order's token.
	OutcomeBusy         OrderOutcome = "busy"          // The sidecar has just started or has another order in progress.
	OutcomeFailed       OrderOutcome = "failed"        // The order could not be executed.
)

// Apply processes an event that occurred at time now. It returns the action
// that the caller must perform, or nil if there is none. It ignores a FloorRead
// or OrderExecuted for an order that is not pending.
func (g *OrderGuard) Apply(now time.Time, event OrderGuardEvent) OrderGuardAction {
	switch e := event.(type) {
	case OrderReceived:
		return g.receive(now, e)
	case FloorRead:
		if g.pending == nil || g.pending.id != e.ID || g.pending.executing {
			return nil
		}
		return g.checkFence(e)
	case OrderExecuted:
		if g.pending == nil || g.pending.id != e.ID {
			return nil
		}
		if e.Err != nil {
			return g.finish(OutcomeFailed, e.Err.Error())
		}
		return g.finish(OutcomeDone, "")
	}
	return nil
}

// receive rejects the order, or makes it the pending one and asks for the
// current fencing token.
func (g *OrderGuard) receive(now time.Time, e OrderReceived) OrderGuardAction {
	floor := g.floors[e.Order.Deployment]
	rejection := AnswerOrder{ID: e.ID, Floor: floor}
	switch {
	case e.Order.Fence < floor:
		rejection.Outcome = OutcomeStaleFence
		rejection.Message = "a later holder of the lease has given orders: read the lease again"
		return rejection
	case now.Before(g.settledAt):
		rejection.Outcome = OutcomeBusy
		rejection.Message = "the sidecar has just started: try again after a pause"
		return rejection
	case g.pending != nil:
		rejection.Outcome = OutcomeBusy
		rejection.Message = "another order is being carried out: try again after a pause"
		return rejection
	}
	g.pending = &pendingOrder{id: e.ID, order: e.Order}
	return ReadFloor{ID: e.ID, Deployment: e.Order.Deployment}
}

// checkFence compares the token of the pending order with the one that was
// read from the lease. A token above the lease's cannot have been granted.
func (g *OrderGuard) checkFence(e FloorRead) OrderGuardAction {
	order := g.pending.order
	if e.Err != nil {
		return g.finish(OutcomeFloorUnknown, "the lease cannot be read: try again when the table service is back")
	}
	g.floors[order.Deployment] = max(g.floors[order.Deployment], e.Floor)
	switch {
	case order.Fence < g.floors[order.Deployment]:
		return g.finish(OutcomeStaleFence, "the lease has another holder: read the lease again")
	case order.Fence > e.Floor:
		return g.finish(OutcomeFloorUnknown, "the lease was never granted under this number: read the lease again")
	}
	g.pending.executing = true
	return ExecuteOrder{ID: e.ID, Order: order}
}

// finish ends the pending order and returns the reply to its sender.
func (g *OrderGuard) finish(outcome OrderOutcome, message string) OrderGuardAction {
	action := AnswerOrder{
		ID:      g.pending.id,
		Outcome: outcome,
		Floor:   g.floors[g.pending.order.Deployment],
		Message: message,
	}
	g.pending = nil
	return action
}
