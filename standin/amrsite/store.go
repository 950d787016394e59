// Package amrsite stands in for the users' platform: its metadata store, and
// backend servers that speak its protocol. It is made for tests of what runs
// there; it keeps everything in memory.
package amrsite

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Store is a metadata store: rows with versions, conditional transactions and a
// feed of changes. Create it with NewStore.
type Store struct {
	clock clockwork.Clock

	mu      sync.Mutex
	version uint64
	rows    map[rowName]row
	history []change
	oldest  uint64 // Changes up to this version are forgotten.
	changed chan struct{}
	faults  StoreFaults
	readAs  map[string]string
	calls   map[string]int
}

// StoreFaults are the faults of a Store.
type StoreFaults struct {
	Down        bool          // Every call is answered 503 and does nothing.
	LostAnswers bool          // Transactions are applied and not answered.
	ClockAhead  time.Duration // Of the time that answers tell.
}

type rowName struct {
	table, key string
}

type row struct {
	value   []byte
	version uint64
}

type change struct {
	name    rowName
	row     row
	deleted bool
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{clock: clock, rows: make(map[rowName]row), changed: make(chan struct{}), readAs: make(map[string]string), calls: make(map[string]int)}
}

// Put writes a row as an operator or a backend server does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(rowName{table, key}, value)
	s.wake()
}

// Delete drops a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.drop(rowName{table, key})
	s.wake()
}

// Value returns the value of a row, or nil.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowName{table, key}].value
}

// SetFaults sets the faults from now on. Calls that wait for changes end.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// ReadAs has values that name the address be read with the other one in its
// place, as where a proxy stands before it.
func (s *Store) ReadAs(address, other string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAs[address] = other
}

// ForgetHistory drops all changes so far.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.version
	s.wake()
}

// Calls returns the number of calls of the name.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

func (s *Store) put(name rowName, value []byte) {
	r := row{value: value, version: s.version}
	s.rows[name] = r
	s.history = append(s.history, change{name: name, row: r})
}

func (s *Store) drop(name rowName) {
	delete(s.rows, name)
	s.history = append(s.history, change{name: name, row: row{version: s.version}, deleted: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /amaranthreach/rows-get", s.count("rows-get", s.get))
	mux.HandleFunc("GET /amaranthreach/rows-feed", s.count("rows-feed", s.feed))
	mux.HandleFunc("POST /amaranthreach/rows-tx", s.count("rows-tx", s.transact))
	return mux
}

// count counts the calls and answers them while the store is down.
func (s *Store) count(name string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[name]++
		down := s.faults.Down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

type rowJSON struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowsJSON struct {
	Rows    []rowJSON `json:"rows"`
	HasMore bool      `json:"hasMore"`
	Ver     uint64    `json:"ver"`
	NowMs   int64     `json:"nowMs"`
}

type txJSON struct {
	Expected []rowJSON `json:"expected"`
	Put      []rowJSON `json:"put"`
	Delete   []rowJSON `json:"delete"`
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []rowJSON, hasMore bool) {
	for i := range rows {
		for address, other := range s.readAs {
			rows[i].Value = bytes.ReplaceAll(rows[i].Value, []byte(address), []byte(other))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsJSON{Rows: rows, HasMore: hasMore, Ver: s.version, NowMs: s.clock.Now().Add(s.faults.ClockAhead).UnixMilli()}) // The caller notices.
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowJSON
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, rowJSON{Table: name.table, Key: name.key, Value: row.value, Ver: row.version})
		}
	}
	slices.SortFunc(rows, func(a, b rowJSON) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], more)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := s.clock.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		changed := s.changed
		if s.faults.Down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.oldest {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if rows := s.since(q.Get("table"), after); len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-timer.Chan():
			expired = true
		case <-changed:
		}
	}
}

// since returns the changes of the table after the version, oldest first.
func (s *Store) since(table string, after uint64) []rowJSON {
	var rows []rowJSON
	for _, c := range s.history {
		if c.name.table == table && c.row.version > after {
			rows = append(rows, rowJSON{Table: table, Key: c.name.key, Value: c.row.value, Ver: c.row.version, Tombstone: c.deleted})
		}
	}
	return rows
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx txJSON
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(append(slices.Clone(tx.Put), tx.Delete...), func(r rowJSON) bool { return r.Table == operatorTable || r.Table == serversTable }) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	for _, e := range tx.Expected {
		if s.rows[rowName{e.Table, e.Key}].version != e.Ver {
			s.answer(w, http.StatusPreconditionFailed, nil, false)
			return
		}
	}
	s.version++
	for _, p := range tx.Put {
		s.put(rowName{p.Table, p.Key}, p.Value)
	}
	for _, d := range tx.Delete {
		s.drop(rowName{d.Table, d.Key})
	}
	s.wake()
	if s.faults.LostAnswers {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, http.StatusOK, nil, false)
}
