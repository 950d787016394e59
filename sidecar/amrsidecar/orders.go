package amrsidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrplatform"
)

// orderTimeout limits the execution of an order. It is also the default time
// for which a started sidecar executes no order, because an order sent by the
// sidecar's previous process may still be running for that long.
const orderTimeout = 5 * time.Second

// orderExecutor executes orders at the backend server. Its order guard admits
// one order at a time, and only from the current holder of the deployment's
// lease.
type orderExecutor struct {
	clock   clockwork.Clock
	table   amrplatform.Table
	backend backend

	mu         sync.Mutex
	orderGuard *amrorder.OrderGuard
	lastID     uint64
	loading    bool // Set while the backend server loads weights.
}

func newOrderExecutor(clock clockwork.Clock, table amrplatform.Table, backend backend, initialDelay time.Duration) *orderExecutor {
	return &orderExecutor{
		clock:      clock,
		table:      table,
		backend:    backend,
		orderGuard: amrorder.NewOrderGuard(clock.Now(), initialDelay),
	}
}

// Order executes an order at the backend server and returns its outcome.
func (g *gate) Order(ctx context.Context, request *amrgate.OrderRequest) (*amrgate.OrderReply, error) {
	order := amrorder.Order{
		Kind:       request.GetKind(),
		Value:      request.GetValue(),
		Deployment: request.GetDeployment(),
		Fence:      request.GetFence(),
		Holder:     request.GetHolder(),
	}
	answer := g.orderExecutor.run(ctx, order)
	g.sidecar.log.Info("order handled", "kind", order.Kind, "value", order.Value, "holder", order.Holder,
		"fence", order.Fence, "floor", answer.Floor, "outcome", string(answer.Outcome))
	return &amrgate.OrderReply{Outcome: string(answer.Outcome), Floor: answer.Floor, Message: answer.Message}, nil
}

// run executes the order if the order guard admits it. The order is not
// canceled when the caller disconnects: the backend server may have begun to
// execute it, and the order guard has to learn how it ends.
func (o *orderExecutor) run(ctx context.Context, order amrorder.Order) amrorder.AnswerOrder {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), o.clock, orderTimeout)
	defer cancel()
	id, action := o.receive(order)
	for {
		switch a := action.(type) {
		case amrorder.ReadFloor:
			item, err := o.table.Get(ctx, amrorder.LeaseKey(a.Deployment))
			action = o.apply(amrorder.FloorRead{ID: id, Floor: amrorder.LeaseFence(item), Err: err})
		case amrorder.ExecuteOrder:
			action = o.apply(amrorder.OrderExecuted{ID: id, Err: o.execute(ctx, a.Order)})
		case amrorder.AnswerOrder:
			return a
		}
	}
}

// receive passes a new order to the order guard and returns the order's ID and
// the first action.
func (o *orderExecutor) receive(order amrorder.Order) (uint64, amrorder.OrderGuardAction) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	return o.lastID, o.orderGuard.Apply(o.clock.Now(), amrorder.OrderReceived{ID: o.lastID, Order: order})
}

func (o *orderExecutor) apply(event amrorder.OrderGuardEvent) amrorder.OrderGuardAction {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.orderGuard.Apply(o.clock.Now(), event)
}

// execute sends the order to the backend server. Until an order to load weights
// has ended, the sidecar tells routers that it is not ready, and declines
// dispatches.
func (o *orderExecutor) execute(ctx context.Context, order amrorder.Order) error {
	if order.Kind == amrorder.KindLoadWeights {
		o.setLoading(true)
		defer o.setLoading(false)
	}
	return o.backend.order(ctx, order)
}

func (o *orderExecutor) setLoading(loading bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading = loading
}

func (o *orderExecutor) isLoading() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loading
}

// engineOrder is the body of an order sent to an engine.
type engineOrder struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
	Fence uint64 `json:"fence"`
}

// order sends the order to the engine and then polls the engine's status, so that
// a new version of the weights is known when order returns.
func (e *engine) order(ctx context.Context, order amrorder.Order) error {
	body, err := json.Marshal(engineOrder{Kind: order.Kind, Value: order.Value, Fence: order.Fence})
	if err != nil {
		return err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	post.GetBody = nil // Prevents net/http from sending the order again on a new connection.
	response, err := e.client.Do(post)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the engine answered an order with status %d; look at its log", response.StatusCode)
	}
	e.poll(ctx)
	return nil
}

// order returns an error, since a plain service takes no orders.
func (s *service) order(context.Context, amrorder.Order) error {
	return fmt.Errorf("a plain service takes no orders; correct the type of the deployment")
}
