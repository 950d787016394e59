package amrsite

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Fault is what a Server does wrong.
type Fault int

// The faults of a server.
const (
	None      Fault = iota
	Reject          // It says that it is full.
	Drop            // It runs the request and closes the connection.
	BreakOff        // It breaks its answer off in the middle.
	WrongHead       // It answers with bytes that are no answer.
	Fail            // It answers 500.
	Hang            // It answers nothing.
)

const (
	stampPrefix = "stamp-of-"
	shortAnswer = "the whole answer of "
)

// Server is a backend server: an engine where it has a model, a plain service
// otherwise. It remembers what it ran.
type Server struct {
	Name  string
	Model string // Empty for a plain service.
	clock clockwork.Clock

	mu       sync.Mutex
	version  int
	named    int // The newest version that it can load.
	busy     bool
	accepted int
	orders   []Order
	runs     []Run
	parts    map[string]bool
	fault    Fault
	faults   int // Requests that the fault is still for; below 0 for all.
	events   int
	pause    time.Duration // Between events.
	work     time.Duration // Of a plain service for a request.
	loading  time.Duration
	observe  func(Run) // Called with each run as it begins; may be nil.
}

// Order is an order that a server took.
type Order struct {
	Version int
	Holder  string
	Fence   uint64
	At      time.Time
}

// Run is a request that a server ran.
type Run struct {
	ID      string
	Server  string
	Header  http.Header
	Version int // Of the weights.
	Resumed string
}

// NewServer returns a server that has no faults.
func NewServer(clock clockwork.Clock, name, model string) *Server {
	return &Server{
		Name: name, Model: model, clock: clock,
		version: 1, named: 1, parts: make(map[string]bool),
		events: 4, pause: 5 * time.Millisecond, loading: 30 * time.Millisecond,
	}
}

// SetFault has the server do wrong with the next n requests; n below 0 for all.
func (s *Server) SetFault(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faults = f, n
}

// SetStream sets the number of events of streams and the time between two.
func (s *Server) SetStream(events int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.pause = events, pause
}

// SetWork sets the time that a plain service takes for a request.
func (s *Server) SetWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

// Observe has f called with each run as it begins, in place of remembering it.
func (s *Server) Observe(f func(Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = f
}

// NameVersion tells the server of a version that it may be ordered to load.
func (s *Server) NameVersion(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named = version
}

// Runs returns what the server ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Orders returns the orders that the server took.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// Version returns the version of the server's weights.
func (s *Server) Version() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Handler serves the server's calls and requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /amaranthreach/report", s.report)
	mux.HandleFunc("POST /amaranthreach/order", s.order)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"models":[{"name":%q,"version":%d}],"busy":%v,"seq":%d,"waiting":0,"running":0}`, s.Model, s.version, s.busy, s.accepted)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected int    `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case order.Version > s.named || order.Holder == "" || order.Fence == 0:
		w.WriteHeader(http.StatusBadRequest)
	case order.Version == s.version:
		w.WriteHeader(http.StatusOK)
	case s.busy || order.Expected != s.accepted:
		w.WriteHeader(http.StatusConflict)
	default:
		s.accepted++
		s.busy = true
		s.orders = append(s.orders, Order{Version: order.Version, Holder: order.Holder, Fence: order.Fence, At: s.clock.Now()})
		s.clock.AfterFunc(s.loading, func() { s.load(order.Version) })
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *Server) load(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.busy = version, false
	clear(s.parts)
}

// serve runs a request, or does what the fault says.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // A broken request ends below.
	status, fault, version := s.begin(r)
	if status != 0 {
		if status != http.StatusMisdirectedRequest {
			w.Header().Set("Amaranthreach-Not-Run", "1")
		}
		w.Header().Set("Amaranthreach-Instance-Id", s.Name)
		w.WriteHeader(status)
		return
	}
	h := w.Header()
	h.Set("Amaranthreach-Attempt-Id", r.Header.Get("Amaranthreach-Attempt-Id"))
	h.Set("Amaranthreach-Server-Stamp", stampPrefix+s.Name)
	h.Set("Amaranthreach-Instance-Load", "1,0,8")
	if s.Model != "" {
		h.Set("Amaranthreach-Weight-Versions", strconv.Itoa(version))
	}
	if r.URL.Query().Has(poisonQuery) {
		fault = Drop
	}
	if s.Model == "" {
		s.clock.Sleep(s.workTime())
	}
	switch fault {
	case Drop:
		panic(http.ErrAbortHandler)
	case WrongHead:
		s.wrongHead(w)
		return
	case Hang:
		<-r.Context().Done()
		return
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.Model == "" {
		s.short(w, fault)
		return
	}
	s.stream(w, r, fault)
}

// begin decides whether the request runs. It returns the status of an answer
// that it does not, or 0, the fault that it meets and the weights.
func (s *Server) begin(r *http.Request) (status int, fault Fault, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want := r.Header.Get("Amaranthreach-Expect-Instance"); want != "" && want != s.Name {
		return http.StatusMisdirectedRequest, None, 0
	}
	if want := r.Header.Get("Amaranthreach-Expect-Version"); want != "" && want != strconv.Itoa(s.version) {
		return http.StatusMisdirectedRequest, None, 0
	}
	if s.faults != 0 {
		fault = s.fault
		s.faults--
	}
	if fault == Reject || s.busy {
		return http.StatusServiceUnavailable, fault, 0
	}
	run := Run{
		ID: r.Header.Get("Amaranthreach-Attempt-Id"), Server: s.Name, Header: r.Header.Clone(),
		Version: s.version, Resumed: r.Header.Get("Last-Event-Id"),
	}
	if s.observe != nil {
		s.observe(run)
	} else {
		s.runs = append(s.runs, run)
	}
	for part := range strings.SplitSeq(r.Header.Get("Amaranthreach-Prefix-Hash"), ",") {
		s.parts[r.Header.Get("Amaranthreach-Cache-Salt")+"/"+part] = true
	}
	return 0, fault, s.version
}

func (s *Server) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work
}

func (s *Server) wrongHead(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // Only for a server without connections.
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "no answer at all\r\n\r\n") // The caller notices.
}

func (s *Server) short(w http.ResponseWriter, fault Fault) {
	w.Header().Set("Content-Length", strconv.Itoa(len(shortAnswer+s.Name)))
	w.WriteHeader(http.StatusOK)
	if fault == BreakOff {
		_, _ = io.WriteString(w, shortAnswer) // The caller notices.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, shortAnswer+s.Name) // The caller notices.
}

// stream answers with events that have increasing ids, from behind the one that
// a resumed request names.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := first + 1; id <= s.events; id++ {
		writeEvent(w, id)
		_ = http.NewResponseController(w).Flush() // The caller notices.
		s.clock.Sleep(s.pause)
		if fault == BreakOff && id == s.events/2 {
			fmt.Fprintf(w, "id: %d\nda", id+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func writeEvent(w io.Writer, id int) {
	fmt.Fprintf(w, "id: %d\ndata: token\n\n", id)
}
