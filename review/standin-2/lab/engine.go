package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of the deployment.
const (
	Model      = "m0"
	EnginePool = "modelos-linguagem"
	AppPool    = "app-pedidos"
	Host       = "jepu9.example"
	Key        = "key-of-the-tenant"
	Tenant     = "tenant-1"

	// loadTime is the time that an engine takes for new weights.
	loadTime = 540 * time.Millisecond
)

// Order is an order as it reached an engine.
type Order struct {
	At      time.Time
	Engine  string
	Holder  string
	Fence   uint64
	Version int
	Status  int
}

// Engine is a stand-in of a model runner, or of a runner of a plain service if Pool is AppPool.
type Engine struct {
	Name    string
	Address string
	Pool    string
	Zone    string
	store   *Store
	record  *Record

	mu       sync.Mutex
	born     time.Time
	version  int
	busy     bool
	seq      int
	beats    int
	Orders   []Order
	Software string
	Events   int           // Of a stream.
	Pause    time.Duration // Between two events.
	OnOrder  func(Order)   // Called when an order was accepted.
	Ran      map[string]int

	crashed     bool
	incarnation int
	quietUntil  time.Time // The runner doesn't write its entry before.

	// LateOrders is the number of next orders that get no answer and are carried out LateBy
	// after they arrived.
	LateOrders int
	LateBy     time.Duration
	server     *http.Server
}

// NewEngine starts a runner with weights of version 1 and lists it in the store.
func NewEngine(name, pool, zone string, store *Store, record *Record) *Engine {
	e := &Engine{Name: name, Pool: pool, Zone: zone, store: store, record: record, born: time.Now(), version: 1, Software: "v1", Events: 8, Pause: 20 * time.Millisecond, Ran: make(map[string]int)}
	e.Address = "127.0.0.1:0"
	e.listen()
	e.List()
	return e
}

// listen accepts connections at the address of the runner.
func (e *Engine) listen() {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		Fail("%v", err)
	}
	e.Address = listener.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server := e.server
	go func() { _ = server.Serve(listener) }()
}

// Crash ends the runner, which starts again after the time under the id that it had. It
// has the weights that it had before, and its count of orders starts anew.
func (e *Engine) Crash(down time.Duration) {
	e.CrashAs(down, e.Software, 0)
}

// CrashAs is Crash for a runner that starts again with a version of the software, and writes
// its entry the given time after its start.
func (e *Engine) CrashAs(down time.Duration, software string, listedAfter time.Duration) {
	e.mu.Lock()
	e.crashed = true
	server := e.server
	e.record.Add("%s crashes", e.Name)
	e.mu.Unlock()
	_ = server.Close()
	time.Sleep(down)
	e.mu.Lock()
	e.crashed, e.busy, e.seq, e.beats, e.born = false, false, 0, 0, time.Now()
	e.incarnation++
	e.Software, e.quietUntil = software, time.Now().Add(listedAfter)
	e.listen()
	e.record.Add("%s starts again under its id, with weights of version %d and software %s", e.Name, e.version, software)
	incarnation := e.incarnation
	e.mu.Unlock()
	time.AfterFunc(listedAfter, func() {
		e.mu.Lock()
		current := e.incarnation == incarnation && !e.crashed
		e.mu.Unlock()
		if current {
			e.List()
		}
	})
}

// Version returns the version of the weights.
func (e *Engine) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Beat lists the runner again every 1.2 s until the channel is closed.
func (e *Engine) Beat(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
			e.mu.Lock()
			quiet := e.crashed || time.Now().Before(e.quietUntil)
			e.mu.Unlock()
			if !quiet && !e.store.isDown() {
				e.List()
			}
		}
	}
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// List writes the entry of the runner.
func (e *Engine) List() {
	e.mu.Lock()
	e.beats++
	entry := map[string]any{
		"service": e.Pool, "addr": e.Address, "zone": e.Zone, "version": e.Software, "slots": 128, "state": "ready",
		"coldLeftMs": 0, "seq": e.beats, "born": e.born.UnixMilli(),
	}
	if e.Pool == EnginePool {
		entry["stage"] = "colocated"
		entry["models"] = []any{map[string]any{"name": Model, "version": e.version, "adapters": []any{}}}
	}
	e.mu.Unlock()
	e.store.Put(serversTable, e.Name, entry)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Amaranthreach-Attempt-Id")
	if id != "" {
		h.Set("Amaranthreach-Attempt-Id", id)
	}
	if expected := r.Header.Get("Amaranthreach-Expect-Instance"); expected != "" && expected != e.Name {
		h.Set("Amaranthreach-Instance-Id", e.Name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/amaranthreach/report":
		e.report(w)
	case "/amaranthreach/order":
		e.order(w, r)
	case "/healthz":
		h.Set("Amaranthreach-Instance-Id", e.Name)
		w.WriteHeader(http.StatusOK)
	default:
		e.run(w, r, id)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": Model, "version": e.version, "adapters": []any{}}},
		"busy": e.busy, "seq": e.seq, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 119837, "handles": 0, "born": e.born.UnixMilli(),
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderJSON
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "version" || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	late := e.LateOrders > 0
	if late {
		e.LateOrders--
		e.record.Add("%s gets an order of %s: version %d, expected %s, fence %d; no answer, carried out in %v", e.Name, o.Holder, o.Version, o.expected(), *o.Fence, e.LateBy)
	}
	e.mu.Unlock()
	if late {
		time.AfterFunc(e.LateBy, func() { e.accept(o, "a late") })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(e.accept(o, "an"))
}

type orderJSON struct {
	Op, Model, Mode, Holder string
	Version                 int
	Fence                   *uint64
	Expected                *int
}

func (o orderJSON) expected() string {
	if o.Expected == nil {
		return "none"
	}
	return strconv.Itoa(*o.Expected)
}

// accept carries out the order if it may, and returns the status of the answer.
func (e *Engine) accept(o orderJSON, article string) int {
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case e.crashed:
		status = http.StatusServiceUnavailable
	case e.busy || o.Expected != nil && *o.Expected != e.seq:
		status = http.StatusConflict
	case o.Version == e.version:
		status = http.StatusOK
	default:
		e.busy = true
		e.seq++
	}
	got := Order{At: time.Now(), Engine: e.Name, Holder: o.Holder, Fence: *o.Fence, Version: o.Version, Status: status}
	e.Orders = append(e.Orders, got)
	e.record.Add("%s gets %s order of %s: version %d, expected %s, fence %d -> %d", e.Name, article, o.Holder, o.Version, o.expected(), *o.Fence, status)
	incarnation := e.incarnation
	e.mu.Unlock()
	if status == http.StatusAccepted {
		go e.load(o.Version, incarnation)
		if e.OnOrder != nil {
			e.OnOrder(got)
		}
	}
	return status
}

func (e *Engine) load(version, incarnation int) {
	time.Sleep(loadTime)
	e.mu.Lock()
	if e.incarnation != incarnation || e.crashed {
		e.mu.Unlock()
		return
	}
	e.version, e.busy = version, false
	e.record.Add("%s has weights of version %d", e.Name, version)
	e.mu.Unlock()
	if !e.store.isDown() {
		e.List()
	}
}

// run runs a request: a stream of events at an engine, a short body elsewhere.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, id string) {
	h := w.Header()
	e.mu.Lock()
	version, busy, events, pause, software := e.version, e.busy, e.Events, e.Pause, e.Software
	e.mu.Unlock()
	expected := r.Header.Get("Amaranthreach-Expect-Version")
	switch {
	case id == "":
		h.Set("Amaranthreach-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case e.Pool == EnginePool && expected != "" && expected != strconv.Itoa(version):
		h.Set("Amaranthreach-Weight-Versions", strconv.Itoa(version))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.Pool == EnginePool && busy:
		h.Set("Amaranthreach-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.Ran[id]++
	e.mu.Unlock()
	e.record.Add("%s runs %s", e.Name, id)
	h.Set("Amaranthreach-Server-Stamp", "stamp-of-"+e.Name)
	h.Set("Amaranthreach-Instance-Load", "1,0,128")
	if e.Pool != EnginePool {
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "the whole answer to %s", id)
		return
	}
	h.Set("Amaranthreach-Weight-Versions", strconv.Itoa(version))
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d by %s of %s\n\n", n, n, software, e.Name)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
	}
}

// Config returns a configuration of two routes, with one tenant.
func Config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stream", "host": Host, "prefix": "/stream/", "kind": "stream", "timeoutMs": 15000, "goalMs": 400, "priority": 0, "service": EnginePool, "attempts": 2, "public": false, "sticky": true, "resumable": true, "gapGoalMs": 250},
			map[string]any{"name": "r-order", "host": Host, "prefix": "/order/", "kind": "non_idempotent", "timeoutMs": 800, "goalMs": 150, "priority": 2, "service": AppPool, "attempts": 1, "public": false, "sticky": false, "resumable": false},
			map[string]any{"name": "r-look", "host": Host, "prefix": "/look/", "kind": "idempotent", "timeoutMs": 800, "goalMs": 150, "priority": 2, "service": AppPool, "attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": EnginePool, "healthPath": "/healthz", "maxConns": 630, "proto": "h1", "tls": false, "engine": map[string]any{"slots": 128, "kvCapacity": 119837, "kvTokenBytes": 131072, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 4, "maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": Model}}}},
			map[string]any{"name": AppPool, "healthPath": "/healthz", "maxConns": 110, "proto": "h1", "tls": false},
		},
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleMs": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []any{Key}, "priority": 1, "isolated": false}},
	}
}

// NameVersion names a version of the weights, as the operator does.
func NameVersion(s *Store, version int) {
	s.Put(operatorTable, "version/"+Model, map[string]any{"model": Model, "version": version})
}

// PutConfig writes a configuration, as the operator does.
func PutConfig(s *Store, version int) {
	s.Put(operatorTable, "config", Config(version))
}

// Serve serves the store at a loopback address and returns that.
func Serve(h http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail("%v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(listener) }()
	return listener.Addr().String()
}
