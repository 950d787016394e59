// Package amrkv implements a small in-memory stand-in for the KV cache store,
// to which engines export cache blocks and from which they import them.
package amrkv

import (
	"io"
	"net/http"
	"sync/atomic"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	defaultCapacity = 1 << 16 // In blocks.
	maxBlockBytes   = 1 << 20
)

// Store holds cache blocks in memory. When it is full it evicts the least
// recently used block. It is safe for concurrent use.
type Store struct {
	blocks      *lru.Cache[string, []byte]
	unavailable atomic.Bool
}

// Option configures a store that New creates.
type Option func(*options)

type options struct {
	capacity int
}

// WithCapacity sets the maximum number of blocks in the store. Values below 1
// count as 1. The default is 65536.
func WithCapacity(blocks int) Option {
	return func(o *options) { o.capacity = max(1, blocks) }
}

// New returns an empty store.
func New(opts ...Option) *Store {
	o := options{capacity: defaultCapacity}
	for _, opt := range opts {
		opt(&o)
	}
	blocks, err := lru.New[string, []byte](o.capacity)
	if err != nil {
		panic(err) // lru.New fails only if the capacity is not positive.
	}
	return &Store{blocks: blocks}
}

// Len returns the number of blocks in the store.
func (s *Store) Len() int {
	return s.blocks.Len()
}

// SetOutage simulates an outage. While it is set to true, every request to the
// handler fails with status 503. The stored blocks are kept.
func (s *Store) SetOutage(unavailable bool) {
	s.unavailable.Store(unavailable)
}

// Handler returns the handler of the HTTP interface. PUT /v1/blocks/{key}
// stores the request body as a block, and GET and HEAD return a stored one.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/blocks/{key}", s.put)
	mux.HandleFunc("GET /v1/blocks/{key}", s.get)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.unavailable.Load() {
			http.Error(w, "the KV cache store is unavailable", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBlockBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.blocks.Add(r.PathValue("key"), data)
	w.WriteHeader(http.StatusNoContent)
}

// get also handles HEAD requests, for which net/http omits the body.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	data, ok := s.blocks.Get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no block has this key", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data) // An error means that the client has disconnected.
}
