// Package amrsite simulates a platform that routers run on: its metadata store,
// backend servers that use its protocol, and clients. It keeps all data in memory
// and is for tests.
package amrsite

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Store simulates the platform's metadata store, which has versioned rows,
// conditional transactions and a feed of changes. It is safe for concurrent use.
// Create it with NewStore.
type Store struct {
	clock clockwork.Clock

	mu           sync.Mutex
	state                      // Lost in part when the store is restored.
	era          uint64        // Rises each time that the store is restored.
	changed      chan struct{} // Closed and replaced after each change, to wake calls of the feed.
	faults       StoreFaults
	replacements map[string]string // Replacements of addresses in values that are read over HTTP.
	calls        map[string]int    // Number of calls by name.
	maxBodyBytes int               // In configurations; 0 for MaxBodyBytes.
	variation    Variation         // Of configurations.
}

// state is what a store keeps.
type state struct {
	version     uint64          // Version of the last change.
	rows        map[rowName]row // Current rows.
	history     []change        // Changes after droppedUpTo, oldest first.
	droppedUpTo uint64          // Last version that was dropped from the history.
}

// clone returns a copy of the state.
func (s state) clone() state {
	s.rows = maps.Clone(s.rows)
	s.history = slices.Clone(s.history)
	return s
}

// Backup is a copy of the contents of a Store.
type Backup struct {
	state state
}

// StoreFaults are the faults of a Store.
type StoreFaults struct {
	Down          bool          // Every call fails with the status 503 and has no effect.
	LoseResponses bool          // Transactions are applied, but their connections are closed without a response.
	ClockAhead    time.Duration // Offset of the time in responses from the clock of the store.
}

// rowName identifies a row.
type rowName struct {
	table, key string
}

type row struct {
	value   []byte
	version uint64
}

// change is an entry of the feed: a row that was written or deleted.
type change struct {
	name    rowName
	row     row
	deleted bool
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{clock: clock, state: state{rows: make(map[rowName]row)}, era: 1, changed: make(chan struct{}), replacements: make(map[string]string), calls: make(map[string]int)}
}

// Put writes a row, in any table. Transactions over HTTP cannot write the tables of
// operators and backend servers.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(rowName{table, key}, value)
	s.wake()
}

// Delete deletes a row, in any table.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(rowName{table, key})
	s.wake()
}

// Value returns the value of a row, or nil if there is no such row.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowName{table, key}].value
}

// LastKey returns the key of the row, among those of the table whose keys have the
// prefix, that was written last, or an empty string if there is none.
func (s *Store) LastKey(table, prefix string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, version := "", uint64(0)
	for name, row := range s.rows {
		if name.table == table && strings.HasPrefix(name.key, prefix) && row.version > version {
			last, version = name.key, row.version
		}
	}
	return last
}

// SetFaults replaces the simulated faults. They also apply to calls of the feed that
// are waiting for changes.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// ReplaceAddress replaces the address by another one in all values that are
// read over HTTP. Tests use it to put a proxy between routers and a backend
// server.
func (s *Store) ReplaceAddress(address, other string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replacements[address] = other
}

// DropHistory drops all changes so far from the feed. Calls of the feed that
// start at an earlier version then fail with the status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.droppedUpTo = s.version
	s.wake()
}

// Backup returns a copy of the contents.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{state: s.clone()}
}

// Restore replaces the contents by those of the backup, which begins a new era. All
// changes since the backup are lost, and their versions are given out again.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = b.state.clone()
	s.era++
	s.wake()
}

// Calls returns the number of HTTP calls with the name, such as rows-get.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// put writes a row and records the change with the current version. The caller holds
// mu.
func (s *Store) put(name rowName, value []byte) {
	r := row{value: value, version: s.version}
	s.rows[name] = r
	s.history = append(s.history, change{name: name, row: r})
}

// remove deletes a row and records the change with the current version. The caller
// holds mu.
func (s *Store) remove(name rowName) {
	delete(s.rows, name)
	s.history = append(s.history, change{name: name, row: row{version: s.version}, deleted: true})
}

// wake wakes the calls of the feed that are waiting for changes. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the handler of the store's HTTP API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /amaranthreach/rows-get", s.count("rows-get", s.get))
	mux.HandleFunc("GET /amaranthreach/rows-feed", s.count("rows-feed", s.feed))
	mux.HandleFunc("POST /amaranthreach/rows-tx", s.count("rows-tx", s.transact))
	return mux
}

// count counts the calls with the name. While the store is down it responds with the
// status 503; otherwise it passes the calls to next.
func (s *Store) count(name string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[name]++
		down := s.faults.Down
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
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

// respond writes a response with the rows, after replacing addresses in their values.
// The caller holds mu.
func (s *Store) respond(w http.ResponseWriter, status int, rows []rowJSON, hasMore bool) {
	for i := range rows {
		for address, other := range s.replacements {
			rows[i].Value = bytes.ReplaceAll(rows[i].Value, []byte(address), []byte(other))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsJSON{Rows: rows, HasMore: hasMore, Ver: s.version, NowMs: s.clock.Now().Add(s.faults.ClockAhead).UnixMilli()}) // The client detects an error.
}

// get serves the rows of a range of keys of a table, in the order of their keys.
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
	s.respond(w, http.StatusOK, rows[:min(limit, len(rows))], more)
}

// feed serves the changes of a table after a version. If there are none, it waits for
// the first change, at most for the time that the client asks for. A version that the
// store does not have gets the status 410.
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
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10)) // The store may have been restored during the wait.
		if after < s.droppedUpTo || after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if rows := s.since(q.Get("table"), after); len(rows) > 0 || expired {
			s.respond(w, http.StatusOK, rows, false)
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

// since returns the changes of the table after the version, oldest first. The caller
// holds mu.
func (s *Store) since(table string, after uint64) []rowJSON {
	var rows []rowJSON
	for _, c := range s.history {
		if c.name.table == table && c.row.version > after {
			rows = append(rows, rowJSON{Table: table, Key: c.name.key, Value: c.row.value, Ver: c.row.version, Tombstone: c.deleted})
		}
	}
	return rows
}

// transact applies a transaction if all rows have the expected versions. Like the
// platform, it does not let routers write the tables of operators and backend
// servers.
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
			s.respond(w, http.StatusPreconditionFailed, nil, false)
			return
		}
	}
	s.version++
	for _, p := range tx.Put {
		s.put(rowName{p.Table, p.Key}, p.Value)
	}
	for _, d := range tx.Delete {
		s.remove(rowName{d.Table, d.Key})
	}
	s.wake()
	if s.faults.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, http.StatusOK, nil, false)
}
