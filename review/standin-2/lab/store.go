package lab

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Tables of the store that the routers must not write.
const (
	operatorTable = "op"
	serversTable  = "servers"
)

// maxRows and maxBytes limit a response with rows.
const (
	maxRows  = 500
	maxBytes = 1 << 20
)

type rowName struct{ table, part, key string }

type row struct {
	value   []byte
	version uint64
}

type change struct {
	name    rowName
	row     row
	deleted bool
}

// contents is what the store keeps and loses in part when it is restored from a copy.
type contents struct {
	version uint64
	rows    map[rowName]row
	history []change
}

func (c contents) clone() contents {
	c.rows = maps.Clone(c.rows)
	c.history = slices.Clone(c.history)
	return c
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	started time.Time

	mu sync.Mutex
	contents
	era     uint64
	down    bool
	changed chan struct{}

	// OnTransaction is called after each transaction of a router, if it is not nil.
	OnTransaction func(keys []string)
}

// NewStore returns an empty store in its first era.
func NewStore() *Store {
	return &Store{started: time.Now(), contents: contents{rows: make(map[rowName]row)}, era: 1, changed: make(chan struct{})}
}

// Put writes a row as the operator or a backend server does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(rowName{table: table, key: key}, data)
	s.wake()
}

// Delete deletes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(rowName{table: table, key: key})
	s.wake()
}

// Copy returns a copy of the contents.
func (s *Store) Copy() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clone()
}

// SetDown makes every call fail with the status 503, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Restore replaces the contents by a copy. The era rises by one.
func (s *Store) Restore(saved any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = saved.(contents).clone()
	s.era++
	s.wake()
}

// Rows returns the values of the rows of a table whose keys have the prefix.
func (s *Store) Rows(table, prefix string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string][]byte)
	for name, r := range s.rows {
		if name.table == table && strings.HasPrefix(name.key, prefix) {
			found[name.key] = r.value
		}
	}
	return found
}

func (s *Store) put(name rowName, value []byte) {
	r := row{value: value, version: s.version}
	s.rows[name] = r
	s.history = append(s.history, change{name: name, row: r})
}

func (s *Store) remove(name rowName) {
	delete(s.rows, name)
	s.history = append(s.history, change{name: name, row: row{version: s.version}, deleted: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
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
	Across   bool      `json:"across"`
}

// Handler returns the handler of the calls of the routers.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /amaranthreach/rows-get", s.checked(s.get))
	mux.HandleFunc("GET /amaranthreach/rows-feed", s.checked(s.feed))
	mux.HandleFunc("POST /amaranthreach/rows-tx", s.checked(s.transact))
	return mux
}

// checked answers with 503 while the store is down.
func (s *Store) checked(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.setEra(w)
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(4 * time.Millisecond) // As in the site files.
		next(w, r)
	}
}

func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func (s *Store) respond(w http.ResponseWriter, status int, rows []rowJSON, more bool, version uint64) {
	s.setEra(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []rowJSON{}
	}
	_ = json.NewEncoder(w).Encode(rowsJSON{Rows: rows, HasMore: more, Ver: version, NowMs: time.Since(s.started).Milliseconds()})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowJSON
	for name, r := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, rowJSON{Table: name.table, Part: name.part, Key: name.key, Value: r.value, Ver: r.version})
		}
	}
	slices.SortFunc(rows, func(a, b rowJSON) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.respond(w, http.StatusOK, rows[:min(limit, len(rows))], more, s.version)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.version {
			s.setEra(w)
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if rows := s.since(q.Get("table"), after); len(rows) > 0 || expired {
			s.respond(w, http.StatusOK, rows, false, s.version)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

func (s *Store) since(table string, after uint64) []rowJSON {
	var rows []rowJSON
	for _, c := range s.history {
		if c.name.table == table && c.row.version > after {
			rows = append(rows, rowJSON{Table: table, Part: c.name.part, Key: c.name.key, Value: c.row.value, Ver: c.row.version, Tombstone: c.deleted})
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
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, p := range append(slices.Clone(tx.Put), tx.Delete...) {
		if p.Table == operatorTable || p.Table == serversTable {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range tx.Expected {
		if s.rows[rowName{e.Table, e.Part, e.Key}].version != e.Ver {
			s.respond(w, http.StatusPreconditionFailed, nil, false, s.version)
			return
		}
	}
	s.version++
	var keys []string
	for _, p := range tx.Put {
		s.put(rowName{p.Table, p.Part, p.Key}, p.Value)
		keys = append(keys, p.Key)
	}
	for _, d := range tx.Delete {
		s.remove(rowName{d.Table, d.Part, d.Key})
	}
	s.respond(w, http.StatusOK, nil, false, s.version)
	_ = http.NewResponseController(w).Flush() // The writer gets its answer first, and then those who wait for changes.
	s.wake()
	if s.OnTransaction != nil {
		s.OnTransaction(keys)
	}
}
