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

// Fault is a simulated fault of a Server.
type Fault int

// The faults of a server.
const (
	FaultNone             Fault = iota
	FaultReject                 // The server rejects the request with the status 503, as if all its slots were in use.
	FaultDropConnection         // The server runs the request and closes the connection without a response.
	FaultTruncate               // The server closes the connection in the middle of the response body.
	FaultMalformed              // The server sends bytes that are not an HTTP response.
	FaultServerError            // The server runs the request and responds with the status 500.
	FaultNoResponse             // The server runs the request and sends no response.
	FaultEndlessHead            // The server sends a header without end.
	FaultEndlessBody            // The server sends a body without a length and without end.
	FaultDribble                // The server sends a stream that never ends, a byte now and then.
	FaultNoLength               // The server sends a whole response with neither a length nor chunks and closes the connection.
	FaultIncompleteEvent        // The server sends a stream with a length that ends inside an event.
	FaultNoLengthTruncate       // The same, but a stream ends inside an event. The response of a plain service is whole.
	FaultEarlyReset             // The server begins a response with neither a length nor chunks before it has read the request, and resets the connection inside the body.
	FaultEarlyWhole             // The same, but the response is whole, and the server ends it in order and reads the request after that. This is no fault by HTTP.
	FaultInvalidStatus          // The server sends a response with the status 000, whose body looks like a whole response with the status 200.
	FaultFieldName              // The server sends a response with a blank in the name of a field.
	FaultLengthName             // The server sends a response without a length by HTTP, because a blank follows the name of that field, with more bytes after its body.
	FaultInterim                // The server sends interim responses and then a whole response. This is no fault by HTTP.
	FaultOddFields              // The server sends a whole response with unusual fields. This is no fault by HTTP.
)

const (
	// stampPrefix precedes the server's name in the header with its stamp.
	stampPrefix = "stamp-of-"

	// serviceBody precedes the server's name in the body of a plain service.
	serviceBody = "the whole answer of "
)

// Server simulates a backend server: an engine if it has a model, otherwise a plain
// service. It records the requests that it runs and the orders that it accepts. It
// is safe for concurrent use. Create it with NewServer.
type Server struct {
	Name  string
	Model string // Empty for a plain service.
	clock clockwork.Clock

	mu          sync.Mutex
	version     int  // Version of the loaded weights.
	newest      int  // Newest version of the weights that can be loaded.
	loading     bool // The server is loading weights and rejects requests.
	accepted    int  // Number of accepted orders.
	orders      []Order
	runs        []Run
	cachedParts map[string]bool // Cached parts of prompts, by cache salt and hash.
	started     time.Time       // Identifies the incarnation.
	fault       Fault
	faultsLeft  int           // Number of requests that the fault still applies to; negative for all.
	leaving     bool          // The server tells in all responses that it is leaving.
	limit       string        // Requests per second that the server names in all responses; empty for none.
	arrivals    []time.Time   // Times at which requests arrived while the server named a limit.
	retryAfter  string        // Value of the Retry-After header of rejections; empty for none.
	rejected    int           // Number of rejected requests.
	events      int           // Number of events of a stream.
	pause       time.Duration // Time between two events.
	serviceTime time.Duration // Time that a plain service takes for a request.
	loadTime    time.Duration // Time to load weights.
	crashes     int           // Number of crashes so far.
	crashedAt   time.Time     // Time of the last crash.
	slowness    float64       // Multiple of the usual time that work takes, which the server reports as its pace; 0 for the usual time and no report.
	memory      memory
	observe     func(Run) // Called at the start of each run; may be nil.

	observeRejection func(id, retryAfter string) // Called for each rejected request; may be nil.
}

// Order is an order to load weights that a server accepted.
type Order struct {
	Version int       // Version of the weights.
	Holder  string    // Router that sent the order; it holds the rollout lease.
	Fence   uint64    // Fencing token of the lease.
	At      time.Time // Time of acceptance.
}

// Run is a request that a server ran.
type Run struct {
	ID          string
	Server      string
	Header      http.Header
	Version     int    // Version of the loaded weights.
	Leaving     bool   // Whether the server tells that it is leaving.
	LastEventID string // Id of the event after which a stream was resumed; empty for other requests.
}

// NewServer returns a server without faults that has version 1 of the weights
// loaded. The model is "" for a plain service.
func NewServer(clock clockwork.Clock, name, model string) *Server {
	return &Server{
		Name: name, Model: model, clock: clock, started: clock.Now(),
		version: 1, newest: 1, cachedParts: make(map[string]bool),
		events: 4, pause: 5 * time.Millisecond, loadTime: 30 * time.Millisecond,
	}
}

// Started returns the time at which this incarnation of the server started.
func (s *Server) Started() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Restart begins a new incarnation of the server, which has accepted no orders. It has the
// weights that it had before, and a load in progress is lost.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started, s.accepted, s.loading = s.clock.Now(), 0, false
}

// SetFault applies the fault to the next n requests, or to all further requests if
// n is negative.
func (s *Server) SetFault(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultsLeft = f, n
}

// SetLeaving sets whether the server tells in all responses that it is leaving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetLimit sets the requests per second that the server names in all responses to
// requests as the number that it takes. It names none if the text is empty.
func (s *Server) SetLimit(perSecond string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// LimitedArrivals returns the times at which requests arrived while the server named a
// limit, in order. Requests that it rejected count.
func (s *Server) LimitedArrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// SetRetryAfter sets the value of the Retry-After header of rejections. They have
// no such header if it is empty.
func (s *Server) SetRetryAfter(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = value
}

// Rejected returns the number of requests that the server has rejected.
func (s *Server) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// SetStream sets the number of events in a stream and the time between two events.
func (s *Server) SetStream(events int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.pause = events, pause
}

// SetServiceTime sets the time that a plain service takes for a request. It is
// initially zero.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// SetLoadTime sets the time that an engine takes to load weights.
func (s *Server) SetLoadTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadTime = d
}

// Observe sets a function that is called at the start of each run. The server
// then stops recording runs for the method Runs. The function is called with
// the server's lock held and must not call its methods.
func (s *Server) Observe(f func(Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = f
}

// ObserveRejections sets a function that is called with the ID of each rejected
// request and the value of the Retry-After header.
func (s *Server) ObserveRejections(f func(id, retryAfter string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeRejection = f
}

// PublishVersion makes the version of the weights available to the server: it refuses
// orders to load a newer one.
func (s *Server) PublishVersion(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = version
}

// Runs returns a copy of the list of requests that the server ran, in the order of
// their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Orders returns a copy of the list of orders that the server accepted, in order.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// Version returns the version of the loaded weights.
func (s *Server) Version() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Handler returns the handler of the server's control protocol and of requests from
// routers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /amaranthreach/report", s.report)
	mux.HandleFunc("POST /amaranthreach/order", s.order)
	mux.HandleFunc("/", s.serve)
	return s.withSignals(mux)
}

// withSignals returns a handler that sets the headers in which a server tells that it is
// leaving, or how many requests it takes.
func (s *Server) withSignals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		leaving, limit := s.leaving, s.limit
		s.mu.Unlock()
		if leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		if limit != "" {
			w.Header().Set("Server-Limit", limit)
		}
		next.ServeHTTP(w, r)
	})
}

// report serves the server's status: its weights and whether it is loading others.
func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"models":[{"name":%q,"version":%d}],"busy":%v,"seq":%d,"waiting":0,"running":0,"born":%d}`, s.Model, s.version, s.loading, s.accepted, s.started.UnixMilli())
}

// order accepts or refuses an order to load weights. It refuses an invalid one with
// the status 400. An order for the loaded version has no effect. Any other order is
// refused with the status 409 while the server is loading, or if the sender expects
// another number of accepted orders than there are, and thus does not know of an
// earlier order.
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
	case order.Version > s.newest || order.Holder == "" || order.Fence == 0:
		w.WriteHeader(http.StatusBadRequest)
	case order.Version == s.version:
		w.WriteHeader(http.StatusOK)
	case s.loading || order.Expected != s.accepted:
		w.WriteHeader(http.StatusConflict)
	default:
		s.accepted++
		s.loading = true
		s.orders = append(s.orders, Order{Version: order.Version, Holder: order.Holder, Fence: order.Fence, At: s.clock.Now()})
		started := s.started
		s.clock.AfterFunc(s.loadTime, func() { s.finishLoad(started, order.Version) })
		w.WriteHeader(http.StatusAccepted)
	}
}

// finishLoad replaces the loaded weights and empties the prefix cache, unless the incarnation
// that began to load them has ended.
func (s *Server) finishLoad(started time.Time, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started.Equal(started) {
		return
	}
	s.version, s.loading = version, false
	clear(s.cachedParts)
}

// serve runs a request, or simulates the fault that applies to it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !s.respondsEarly(r) {
		_, _ = io.Copy(io.Discard, r.Body) // An error of the body has no effect on the response.
	}
	if !s.awaitBegin(r) {
		panic(http.ErrAbortHandler)
	}
	status, fault, version := s.begin(r)
	crashes := s.Crashes()
	if status != 0 {
		s.reject(w, r, status)
		return
	}
	if s.Model != "" {
		defer s.release(r)
		if !s.hold(r) {
			s.crash()
			reset(w)
		}
	}
	h := w.Header()
	h.Set("Amaranthreach-Attempt-Id", r.Header.Get("Amaranthreach-Attempt-Id"))
	h.Set("Amaranthreach-Server-Stamp", stampPrefix+s.Name)
	h.Set("Amaranthreach-Instance-Load", s.load())
	if s.Model != "" {
		h.Set("Amaranthreach-Weight-Versions", strconv.Itoa(version))
	}
	if r.URL.Query().Has(poisonQuery) {
		fault = FaultDropConnection
	}
	if s.Model == "" {
		s.clock.Sleep(s.currentServiceTime())
	}
	switch fault {
	case FaultDropConnection:
		panic(http.ErrAbortHandler)
	case FaultMalformed:
		s.sendMalformed(w, "no answer at all\r\n\r\n", "")
		return
	case FaultEndlessHead:
		s.sendMalformed(w, "HTTP/1.1 200 OK\r\n", "X-Line: x\r\n")
		return
	case FaultEndlessBody:
		s.sendMalformed(w, "HTTP/1.1 200 OK\r\nAmaranthreach-Attempt-Id: "+r.Header.Get("Amaranthreach-Attempt-Id")+"\r\n\r\n", "no answer at all ")
		return
	case FaultNoResponse:
		<-r.Context().Done()
		return
	case FaultServerError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.sendRaw(w, r, fault) {
		return
	}
	switch {
	case fault == FaultDribble:
		s.dribble(w, r)
	case s.Model == "":
		s.respond(w, fault)
	case crashingPart(r.Header.Get(partsHeader)) != "":
		s.clock.Sleep(s.currentPause())
		s.crash()
		reset(w)
	case r.URL.Query().Has(floodQuery):
		flood(w, r)
	default:
		s.stream(w, r, fault, crashes)
	}
}

// begin decides whether the request runs, and records it if so. It returns the
// status 0 if the request runs, and otherwise the status of the rejection. The
// other results are the fault that applies to the request and the version of the
// loaded weights.
func (s *Server) begin(r *http.Request) (status int, fault Fault, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != "" {
		s.arrivals = append(s.arrivals, s.clock.Now())
	}
	if want := r.Header.Get("Amaranthreach-Expect-Instance"); want != "" && want != s.Name {
		return http.StatusMisdirectedRequest, FaultNone, 0
	}
	if want := r.Header.Get("Amaranthreach-Expect-Version"); want != "" && want != strconv.Itoa(s.version) {
		return http.StatusMisdirectedRequest, FaultNone, 0
	}
	if s.faultsLeft != 0 && s.fault.appliesTo(r) {
		fault = s.fault
		s.faultsLeft--
	}
	if fault == FaultReject || s.loading || s.crashes > 0 && s.clock.Since(s.crashedAt) < crashTime {
		return http.StatusServiceUnavailable, fault, 0
	}
	run := Run{
		ID: r.Header.Get("Amaranthreach-Attempt-Id"), Server: s.Name, Header: r.Header.Clone(),
		Version: s.version, Leaving: s.leaving, LastEventID: r.Header.Get("Last-Event-Id"),
	}
	if s.observe != nil {
		s.observe(run)
	} else {
		s.runs = append(s.runs, run)
	}
	for part := range strings.SplitSeq(r.Header.Get(partsHeader), ",") {
		s.cachedParts[r.Header.Get(saltHeader)+"/"+part] = true
	}
	return 0, fault, s.version
}

// currentServiceTime returns the time that a plain service takes for a request.
func (s *Server) currentServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceTime
}
