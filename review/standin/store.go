package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. Each
// router reaches it at an address of its own, so that one of them can be cut off.
type store struct {
	start time.Time

	mu      sync.Mutex
	era     int
	ver     uint64
	rows    map[rowName]rowState
	history []rowChange
	dropped uint64                         // Version up to which the history is no longer available.
	deaf    bool                           // Watches hear nothing.
	epoch   int                            // Rises when watches are cut.
	onWrite func(key string, value []byte) // Called, with mu held, before a router's write is applied; may be nil.
	changed chan struct{}
	down    bool            // The store is away: no call gets an answer.
	cut     map[string]bool // Viewers whose calls get no answer.
	rewrite map[string][]string
}

type rowName struct{ table, part, key string }

type rowState struct {
	value []byte
	ver   uint64
}

type rowChange struct {
	name    rowName
	state   rowState
	deleted bool
}

func newStore() *store {
	return &store{start: time.Now(), era: 1, rows: map[rowName]rowState{}, changed: make(chan struct{}), cut: map[string]bool{}, rewrite: map[string][]string{}}
}

// put writes a row as the operator or a backend server does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(rowName{table, "", key}, data)
	s.wake()
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.unset(rowName{table, "", key})
	s.wake()
}

func (s *store) set(n rowName, v []byte) {
	s.rows[n] = rowState{v, s.ver}
	s.history = append(s.history, rowChange{n, s.rows[n], false})
}

func (s *store) unset(n rowName) {
	delete(s.rows, n)
	s.history = append(s.history, rowChange{n, rowState{nil, s.ver}, true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the value of a row, or nil.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowName{table, "", key}].value
}

// setCut cuts the viewer off, or heals the cut.
func (s *store) setCut(viewer string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[viewer] = cut
	s.wake()
}

// setDown takes the store away from all viewers and writers, or brings it back.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// compact discards the history so far, and cuts the watches, which hear again from then on.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped, s.deaf = nil, s.ver, false
	s.epoch++
	s.wake()
}

// replace replaces texts in the values that the viewer reads: pairs of old and new ones.
func (s *store) replace(viewer string, pairs ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewrite[viewer] = append(s.rewrite[viewer], pairs...)
}

// serve serves the store for the viewer and returns its address.
func (s *store) serve(viewer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	mux := http.NewServeMux()
	handle := func(pattern string, f func(viewer string, w http.ResponseWriter, r *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if s.silent(viewer, r) {
				return
			}
			f(viewer, w, r)
		})
	}
	handle("GET /amaranthreach/rows-get", s.get)
	handle("GET /amaranthreach/rows-parts", s.parts)
	handle("GET /amaranthreach/rows-feed", s.feed)
	handle("POST /amaranthreach/rows-tx", s.tx)
	go http.Serve(l, mux)
	return l.Addr().String()
}

// silent holds the call without an answer while the viewer is cut off, and then breaks it
// off. It reports whether it did.
func (s *store) silent(viewer string, r *http.Request) bool {
	held := false
	for {
		s.mu.Lock()
		cut, changed := s.cut[viewer] || s.down, s.changed
		s.mu.Unlock()
		if !cut {
			if held {
				panic(http.ErrAbortHandler)
			}
			return false
		}
		held = true
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

type rowWire struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// answer writes an answer with rows. The caller must hold s.mu.
func (s *store) answer(viewer string, w http.ResponseWriter, status int, more bool, rows []rowWire) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	if rows == nil {
		rows = []rowWire{}
	}
	json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Since(s.start).Milliseconds()})
}

// wire returns the row as the viewer reads it. The caller must hold s.mu.
func (s *store) wire(viewer string, n rowName, st rowState, deleted bool) rowWire {
	value := string(st.value)
	if pairs := s.rewrite[viewer]; len(pairs) > 0 {
		value = strings.NewReplacer(pairs...).Replace(value)
	}
	return rowWire{n.table, n.part, n.key, base64.StdEncoding.EncodeToString([]byte(value)), st.ver, deleted}
}

func (s *store) get(viewer string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowWire
	for n, st := range s.rows {
		if n.table == q.Get("table") && n.part == q.Get("part") && n.key >= q.Get("from") && (q.Get("to") == "" || n.key < q.Get("to")) {
			rows = append(rows, s.wire(viewer, n, st, false))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(viewer, w, 200, more, rows)
}

func (s *store) parts(_ string, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte(`{"parts":[""],"hasMore":false}`))
}

func (s *store) feed(viewer string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(400)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	for expired := false; ; {
		if s.silent(viewer, r) {
			return
		}
		s.mu.Lock()
		changed := s.changed
		if after > s.ver || after < s.dropped {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(410)
			s.mu.Unlock()
			return
		}
		if epoch != s.epoch {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		var rows []rowWire
		for _, c := range s.history {
			if s.deaf {
				break
			}
			if c.name.table == q.Get("table") && c.state.ver > after {
				rows = append(rows, s.wire(viewer, c.name, c.state, c.deleted))
			}
		}
		if len(rows) > 0 || expired && !s.deaf { // An answer without rows would hide the changes.
			s.answer(viewer, w, 200, false, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(viewer string, w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Put, Delete []rowWire }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range append(append([]rowWire{}, t.Put...), t.Delete...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(403)
			return
		}
	}
	for _, e := range t.Expected {
		if s.rows[rowName{e.Table, e.Part, e.Key}].ver != e.Ver {
			var rows []rowWire
			for _, e := range t.Expected {
				n := rowName{e.Table, e.Part, e.Key}
				if st, ok := s.rows[n]; ok {
					rows = append(rows, s.wire(viewer, n, st, false))
				}
			}
			s.answer(viewer, w, 412, false, rows)
			return
		}
	}
	s.ver++
	for _, p := range t.Put {
		v, err := base64.StdEncoding.DecodeString(p.Value)
		if err != nil {
			w.WriteHeader(400)
			return
		}
		if s.onWrite != nil {
			s.onWrite(p.Key, v)
		}
		s.set(rowName{p.Table, p.Part, p.Key}, v)
	}
	for _, d := range t.Delete {
		s.unset(rowName{d.Table, d.Part, d.Key})
	}
	s.wake()
	s.answer(viewer, w, 200, false, nil)
}
