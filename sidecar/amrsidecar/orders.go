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

// orderTimeout bounds an order, and so the time after which an order that the
// sidecar's process before sent has ended.
const orderTimeout = 5 * time.Second

// orders passes orders on to the backend server as its fence lets them.
type orders struct {
	clock   clockwork.Clock
	table   amrplatform.Table
	backend backend

	mu      sync.Mutex
	fence   *amrorder.Fence
	lastID  uint64
	loading bool // The backend server is loading weights.
}

func newOrders(clock clockwork.Clock, table amrplatform.Table, backend backend, settle time.Duration) *orders {
	return &orders{
		clock:   clock,
		table:   table,
		backend: backend,
		fence:   amrorder.NewFence(clock.Now(), settle),
	}
}

// Order passes an order on to the backend server.
func (g *gate) Order(ctx context.Context, request *amrgate.OrderRequest) (*amrgate.OrderReply, error) {
	order := amrorder.Order{
		Kind:       request.GetKind(),
		Value:      request.GetValue(),
		Deployment: request.GetDeployment(),
		Fence:      request.GetFence(),
		Holder:     request.GetHolder(),
	}
	answer := g.orders.run(ctx, order)
	g.sidecar.log.Info("order", "kind", order.Kind, "value", order.Value, "holder", order.Holder,
		"fence", order.Fence, "floor", answer.Floor, "outcome", string(answer.Outcome))
	return &amrgate.OrderReply{Outcome: string(answer.Outcome), Floor: answer.Floor, Message: answer.Message}, nil
}

// run takes the order through the fence. An order that has begun goes on when
// its giver goes away.
func (o *orders) run(ctx context.Context, order amrorder.Order) amrorder.AnswerOrder {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), o.clock, orderTimeout)
	defer cancel()
	id, action := o.receive(order)
	for {
		switch a := action.(type) {
		case amrorder.ReadFloor:
			item, err := o.table.Get(ctx, amrorder.LeaseKey(a.Deployment))
			action = o.apply(amrorder.FloorRead{ID: id, Floor: amrorder.LeaseFence(item), Err: err})
		case amrorder.ExecuteOrder:
			action = o.apply(amrorder.OrderExecuted{ID: id, Err: o.carry(ctx, a.Order)})
		case amrorder.AnswerOrder:
			return a
		}
	}
}

func (o *orders) receive(order amrorder.Order) (uint64, amrorder.FenceAction) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	return o.lastID, o.fence.Apply(o.clock.Now(), amrorder.OrderReceived{ID: o.lastID, Order: order})
}

func (o *orders) apply(event amrorder.FenceEvent) amrorder.FenceAction {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fence.Apply(o.clock.Now(), event)
}

// carry sends the order to the backend server. While it loads weights it takes
// no new work.
func (o *orders) carry(ctx context.Context, order amrorder.Order) error {
	if order.Kind == amrorder.KindLoadWeights {
		o.setLoading(true)
		defer o.setLoading(false)
	}
	return o.backend.order(ctx, order)
}

func (o *orders) setLoading(loading bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading = loading
}

func (o *orders) isLoading() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loading
}

type engineOrder struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
	Fence uint64 `json:"fence"`
}

// order sends the order to the engine and reads back its state.
func (e *engine) order(ctx context.Context, order amrorder.Order) error {
	body, err := json.Marshal(engineOrder{Kind: order.Kind, Value: order.Value, Fence: order.Fence})
	if err != nil {
		return err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	post.GetBody = nil // An order is sent once.
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

func (s *service) order(context.Context, amrorder.Order) error {
	return fmt.Errorf("a plain service takes no orders; correct the type of the deployment")
}
