package amrengine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"amaranthreach.example/standin/amrpace"
)

// Order is an order that was carried out.
type Order struct {
	Kind  string // load-weights, load-adapter or set-role.
	Value string
	Fence uint64
	At    time.Time // When it was done.
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
	if floor, ok := e.admitOrder(order); !ok {
		writeJSON(w, http.StatusConflict, floorReply{floor})
		return
	}
	if err := e.carryOut(r.Context(), order); err != nil {
		w.Header().Set("Retry-After", retryAfter)
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, floorReply{e.fenceFloor()})
}

// admitOrder checks the fence of an order.
func (e *Engine) admitOrder(order orderRequest) (floor uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settings.fences {
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

func (e *Engine) carryOut(ctx context.Context, order orderRequest) error {
	incarnation := e.Incarnation()
	var err error
	switch order.Kind {
	case orderLoadWeights:
		err = e.loadWeights(ctx, order.Value)
	case orderLoadAdapter:
		err = e.pauseFor(ctx, defaultAdapterTime)
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

// loadWeights replaces the weights. Requests that run go on to their end;
// those that wait for other weights fail, and no new ones are taken meanwhile.
func (e *Engine) loadWeights(ctx context.Context, version string) error {
	incarnation, err := e.beginLoad()
	if err != nil {
		return err
	}
	if e.settings.weightStore != nil {
		err = e.settings.weightStore.Load(ctx, version)
	} else {
		err = e.pauseFor(ctx, defaultLoadTime)
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
	e.progress()
	return err
}

func (e *Engine) beginLoad() (incarnation string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading {
		return "", errBusy
	}
	if e.loadFailing {
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

// replaceWeights drops all that depends on the old weights. The caller holds
// mu.
func (e *Engine) replaceWeights(version string) {
	e.weights = version
	e.scheduler.cache.clear()
	now := e.settings.clock.Now()
	for _, j := range slices.Clone(e.scheduler.waiting) {
		if j.weights != "" && j.weights != version {
			e.scheduler.cancel(j, OutcomeWrongWeights, now)
		}
	}
}

func (e *Engine) pauseFor(ctx context.Context, d time.Duration) error {
	return amrpace.SleepUntil(ctx, e.settings.clock, e.settings.clock.Now().Add(e.settings.scaled(d)))
}
