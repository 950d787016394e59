package amrengine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"amaranthreach.example/standin/amrpace"
)

// Order is an order that the engine has executed.
type Order struct {
	Kind  string    // One of load-weights, load-adapter and set-role.
	Value string    // Version of the weights, name of the adapter, or role.
	Fence uint64    // Fencing token of the order.
	At    time.Time // Time at which the execution ended.
}

const (
	orderLoadWeights = "load-weights"
	orderLoadAdapter = "load-adapter"
	orderSetRole     = "set-role"

	maxOrderBytes = 1 << 16
)

type orderRequest struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
	Fence uint64 `json:"fence"`
}

// floorReply is the body of the response to an order. Floor is the highest
// fencing token that the incarnation has accepted; an order with a lower one is
// rejected.
type floorReply struct {
	Floor uint64 `json:"floor"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !slices.Contains([]string{orderLoadWeights, orderLoadAdapter, orderSetRole}, order.Kind) {
		writeError(w, http.StatusBadRequest, "the kind of the order is not known")
		return
	}
	if floor, ok := e.checkFence(order); !ok {
		writeJSON(w, http.StatusConflict, floorReply{floor})
		return
	}
	if err := e.execute(r.Context(), order); err != nil {
		w.Header().Set("Retry-After", retryAfter)
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, floorReply{e.fenceFloor()})
}

// checkFence reports whether the engine accepts the order and returns the fence
// floor. An order whose fence is below the floor is rejected; any other raises
// the floor to its fence. If fences are not enforced, every order is accepted
// and the floor stays as it is.
func (e *Engine) checkFence(order orderRequest) (floor uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settings.enforceFences {
		return e.floor, true
	}
	if order.Fence < e.floor {
		return e.floor, false
	}
	e.floor = order.Fence
	return e.floor, true
}

func (e *Engine) fenceFloor() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.floor
}

// execute executes the order and records it. It returns errBusy, errLoadFailed
// or the error of the weight store or of ctx. If the engine crashes during the
// execution, execute panics with http.ErrAbortHandler, which closes the connection.
func (e *Engine) execute(ctx context.Context, order orderRequest) error {
	incarnation := e.Incarnation()
	var err error
	switch order.Kind {
	case orderLoadWeights:
		err = e.loadWeights(ctx, order.Value)
	case orderLoadAdapter:
		err = e.sleep(ctx, defaultAdapterTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.incarnation != incarnation {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return err
	}
	switch order.Kind {
	case orderLoadAdapter:
		e.adapters = append(e.adapters, order.Value)
	case orderSetRole:
		e.role = order.Value
	}
	e.orders = append(e.orders, Order{order.Kind, order.Value, order.Fence, e.settings.clock.Now()})
	return nil
}

// loadWeights loads a version of the weights. Running requests continue to
// their end. While the load lasts, the engine rejects new requests and starts
// no waiting ones; afterwards waiting requests that need other weights fail.
func (e *Engine) loadWeights(ctx context.Context, version string) error {
	incarnation, err := e.startLoad()
	if err != nil {
		return err
	}
	if e.settings.weightStore != nil {
		err = e.settings.weightStore.Load(ctx, version)
	} else {
		err = e.sleep(ctx, defaultLoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.incarnation != incarnation {
		panic(http.ErrAbortHandler)
	}
	e.loading = false
	if err == nil {
		e.replaceWeights(version)
	}
	e.advance()
	e.scheduler.resume(e.settings.clock.Now())
	e.advanceAndArmTimer()
	return err
}

// startLoad stops the scheduler from starting requests and returns the current
// incarnation. It returns errBusy if a load is in progress and errLoadFailed if
// loads are set to fail.
func (e *Engine) startLoad() (incarnation string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading {
		return "", errBusy
	}
	if e.failLoads {
		return "", errLoadFailed
	}
	e.advance()
	if e.down {
		panic(http.ErrAbortHandler)
	}
	e.loading = true
	e.scheduler.pause()
	return e.incarnation, nil
}

// replaceWeights sets the version of the weights, clears the cache and ends the
// waiting requests that need another version. The caller holds mu.
func (e *Engine) replaceWeights(version string) {
	e.weights = version
	e.scheduler.cache.clear()
	now := e.settings.clock.Now()
	for _, j := range slices.Clone(e.scheduler.waiting) {
		if j.weights != "" && j.weights != version {
			e.scheduler.cancel(j, RunWrongWeights, now)
		}
	}
}

// sleep waits for d, divided by the time scale, or until ctx is done, whose
// error it then returns.
func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	return amrpace.SleepUntil(ctx, e.settings.clock, e.settings.clock.Now().Add(e.settings.scaled(d)))
}
